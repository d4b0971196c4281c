package route

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/runworks/runworks"
)

// Table is an immutable routing with the indexes that calls need.
type Table struct {
	Routing *runworks.Routing

	// hosts holds the routes of each host, the longest path prefix first.
	hosts     map[string][]*runworks.Route
	customers map[string]*runworks.RoutedCustomer
	services  map[string]*runworks.RoutedService
}

// NewTable builds the indexes of a routing.
func NewTable(r *runworks.Routing) *Table {
	t := &Table{
		Routing: r, hosts: map[string][]*runworks.Route{},
		customers: map[string]*runworks.RoutedCustomer{}, services: map[string]*runworks.RoutedService{},
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for i := range r.Customers {
		for _, hash := range r.Customers[i].KeySHA256 {
			t.customers[hash] = &r.Customers[i]
		}
	}
	return t
}

// HasService reports whether the routing contains a service.
func (t *Table) HasService(service string) bool { return t.services[service] != nil }

// Service returns the service with a name, or nil if there is none.
func (t *Table) Service(name string) *runworks.RoutedService { return t.services[name] }

// Route returns the route with the longest matching path prefix; ErrNoRoute if there is none.
func (t *Table) Route(host, path string) (*runworks.Route, error) {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, nil
		}
	}
	return nil, runworks.ErrNoRoute
}

// Customer returns the customer that calls a route with a key: nil for a public route, or where
// the routing has no customers. The errors are ErrNoKey and ErrUnknownKey.
func (t *Table) Customer(r *runworks.Route, key string) (*runworks.RoutedCustomer, error) {
	if len(t.Routing.Customers) == 0 {
		return nil, nil
	}
	if key == "" {
		if r.Public {
			return nil, nil
		}
		return nil, runworks.ErrNoKey
	}
	customer := t.customers[runworks.HashKey(key)]
	if customer == nil && !r.Public {
		return nil, runworks.ErrUnknownKey
	}
	return customer, nil
}

// PickService returns the service for a call. It divides the hashes of the IDs by weight, so that
// every entry picks the same. It is empty for a route without services.
func PickService(r *runworks.Route, id runworks.RequestID) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	n := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return ""
}
