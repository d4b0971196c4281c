package config

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/runworks/runworks"
)

// InForce is a configuration in force, with the look-ups that requests need.
// It is never changed once built.
type InForce struct {
	// Version counts accepted documents, from 1.
	Version int64
	// Config is the document.
	Config *runworks.Config

	services  map[string]*runworks.Service
	models    map[string]*runworks.Service
	servers   map[string]*Place
	keys      map[string]*runworks.Customer
	customers map[string]*runworks.Customer
	tiers     map[string]*runworks.Tier
	homes     map[string]*rendezvous.Rendezvous
}

// Place is a backend server with the service it belongs to.
type Place struct {
	Service *runworks.Service
	Server  *runworks.BackendServer
}

// NewInForce builds the look-ups of a checked document.
func NewInForce(version int64, cfg *runworks.Config) *InForce {
	f := &InForce{
		Version: version, Config: cfg,
		services: map[string]*runworks.Service{}, models: map[string]*runworks.Service{},
		servers: map[string]*Place{}, keys: map[string]*runworks.Customer{},
		customers: map[string]*runworks.Customer{}, tiers: map[string]*runworks.Tier{},
		homes: map[string]*rendezvous.Rendezvous{},
	}
	for i := range cfg.Services {
		f.addService(&cfg.Services[i])
	}
	for i := range cfg.Customers {
		one := &cfg.Customers[i]
		f.customers[one.Name] = one
		for _, hash := range one.KeySHA256 {
			f.keys[hash] = one
		}
	}
	for i := range cfg.Tiers {
		f.tiers[cfg.Tiers[i].Name] = &cfg.Tiers[i]
	}
	return f
}

func (f *InForce) addService(s *runworks.Service) {
	f.services[s.Name] = s
	for _, model := range s.Models {
		f.models[model] = s
	}
	names := make([]string, 0, len(s.BackendServers))
	for i := range s.BackendServers {
		b := &s.BackendServers[i]
		f.servers[b.Name] = &Place{Service: s, Server: b}
		names = append(names, b.Name)
	}
	sort.Strings(names)
	f.homes[s.Name] = rendezvous.New(names, xxhash.Sum64String)
}

// CustomerByKey finds who owns a key; nil if nobody does.
func (f *InForce) CustomerByKey(key string) *runworks.Customer {
	return f.keys[runworks.HashKey(key)]
}

// Customer finds a customer by name; nil if there is none.
func (f *InForce) Customer(name string) *runworks.Customer { return f.customers[name] }

// Service finds a service by name; nil if there is none.
func (f *InForce) Service(name string) *runworks.Service { return f.services[name] }

// ServiceByModel finds the service that answers to a model; nil if there is none.
func (f *InForce) ServiceByModel(model string) *runworks.Service { return f.models[model] }

// Place finds a backend server by name; nil if there is none.
func (f *InForce) Place(server string) *Place { return f.servers[server] }

// Tier finds a tier by name; nil if there is none.
func (f *InForce) Tier(name string) *runworks.Tier { return f.tiers[name] }

// Rule finds the first rule for a customer, a kind and a service; nil if none
// allows it.
func (f *InForce) Rule(customer, kind, service string) *runworks.Rule {
	for i := range f.Config.Rules {
		r := &f.Config.Rules[i]
		if r.Kind != kind || !slices.Contains(r.Services, service) {
			continue
		}
		if len(r.Customers) == 0 || slices.Contains(r.Customers, customer) {
			return r
		}
	}
	return nil
}

// Home names the backend server whose agent decides about a customer's
// idempotency key, by rendezvous hash over the service's backend servers.
func (f *InForce) Home(service, customer, key string) string {
	ring := f.homes[service]
	if ring == nil {
		return ""
	}
	return ring.Lookup(customer + "\x00" + key)
}

// Reserved gives the slots of each engine kept for tiers higher than rank.
func (f *InForce) Reserved(rank int) int {
	n := 0
	for i := range f.Config.Tiers {
		if f.Config.Tiers[i].Rank < rank {
			n += f.Config.Tiers[i].ReservedSlots
		}
	}
	return n
}

// Heir names the backend server whose agent keeps the key records of another's
// home after a planned stop; empty if there is no other.
func (f *InForce) Heir(service, server string) string {
	s := f.services[service]
	if s == nil {
		return ""
	}
	var others []string
	for i := range s.BackendServers {
		if name := s.BackendServers[i].Name; name != server {
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return ""
	}
	sort.Strings(others)
	return rendezvous.New(others, xxhash.Sum64String).Lookup(server)
}

// MayUse says whether any rule opens a service to a customer.
func (f *InForce) MayUse(customer, service string) bool {
	for i := range f.Config.Rules {
		r := &f.Config.Rules[i]
		mine := len(r.Customers) == 0 || slices.Contains(r.Customers, customer)
		if mine && slices.Contains(r.Services, service) {
			return true
		}
	}
	return false
}
