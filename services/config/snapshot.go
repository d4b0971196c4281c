package config

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/runworks/runworks"
)

// Snapshot is an active configuration with indexes for the look-ups that requests need. It is
// immutable.
type Snapshot struct {
	// Version counts the accepted documents, from 1.
	Version int64
	// Config is the document. It must not be changed.
	Config *runworks.Config

	services  map[string]*runworks.Service
	models    map[string]*runworks.Service
	servers   map[string]*ServerInfo
	keys      map[string]*runworks.Customer
	customers map[string]*runworks.Customer
	tiers     map[string]*runworks.Tier
	keyOwners map[string]*rendezvous.Rendezvous
}

// ServerInfo is a backend server and the service it belongs to.
type ServerInfo struct {
	Service *runworks.Service
	Server  *runworks.BackendServer
}

// NewSnapshot builds the indexes of a valid document.
func NewSnapshot(version int64, cfg *runworks.Config) *Snapshot {
	s := &Snapshot{
		Version: version, Config: cfg,
		services: map[string]*runworks.Service{}, models: map[string]*runworks.Service{},
		servers: map[string]*ServerInfo{}, keys: map[string]*runworks.Customer{},
		customers: map[string]*runworks.Customer{}, tiers: map[string]*runworks.Tier{},
		keyOwners: map[string]*rendezvous.Rendezvous{},
	}
	for i := range cfg.Services {
		s.addService(&cfg.Services[i])
	}
	for i := range cfg.Customers {
		one := &cfg.Customers[i]
		s.customers[one.Name] = one
		for _, hash := range one.KeySHA256 {
			s.keys[hash] = one
		}
	}
	for i := range cfg.Tiers {
		s.tiers[cfg.Tiers[i].Name] = &cfg.Tiers[i]
	}
	return s
}

func (c *Snapshot) addService(s *runworks.Service) {
	c.services[s.Name] = s
	for _, model := range s.Models {
		c.models[model] = s
	}
	names := make([]string, 0, len(s.BackendServers))
	for i := range s.BackendServers {
		b := &s.BackendServers[i]
		c.servers[b.Name] = &ServerInfo{Service: s, Server: b}
		names = append(names, b.Name)
	}
	sort.Strings(names)
	c.keyOwners[s.Name] = rendezvous.New(names, xxhash.Sum64String)
}

// CustomerByKey returns the customer with an API key; nil if there is none.
func (c *Snapshot) CustomerByKey(key string) *runworks.Customer {
	return c.keys[runworks.HashKey(key)]
}

// Customer returns a customer by name; nil if there is none.
func (c *Snapshot) Customer(name string) *runworks.Customer { return c.customers[name] }

// Service returns a service by name; nil if there is none.
func (c *Snapshot) Service(name string) *runworks.Service { return c.services[name] }

// ServiceByModel returns the service that serves a model; nil if there is none.
func (c *Snapshot) ServiceByModel(model string) *runworks.Service { return c.models[model] }

// Server returns a backend server by name; nil if there is none.
func (c *Snapshot) Server(server string) *ServerInfo { return c.servers[server] }

// Tier returns a tier by name; nil if there is none.
func (c *Snapshot) Tier(name string) *runworks.Tier { return c.tiers[name] }

// Rule returns the first rule for a customer, a kind and a service; nil if none matches.
func (c *Snapshot) Rule(customer, kind, service string) *runworks.Rule {
	for i := range c.Config.Rules {
		r := &c.Config.Rules[i]
		if r.Kind != kind || !slices.Contains(r.Services, service) {
			continue
		}
		if len(r.Customers) == 0 || slices.Contains(r.Customers, customer) {
			return r
		}
	}
	return nil
}

// KeyOwner returns the backend server whose agent owns a customer's idempotency key, by
// rendezvous hashing over the servers of the service; empty if the service is unknown.
func (c *Snapshot) KeyOwner(service, customer, key string) string {
	ring := c.keyOwners[service]
	if ring == nil {
		return ""
	}
	return ring.Lookup(customer + "\x00" + key)
}

// ReservedSlots returns the number of slots per backend server that are reserved for tiers
// higher than rank.
func (c *Snapshot) ReservedSlots(rank int) int {
	n := 0
	for i := range c.Config.Tiers {
		if c.Config.Tiers[i].Rank < rank {
			n += c.Config.Tiers[i].ReservedSlots
		}
	}
	return n
}

// Successor returns the backend server whose agent takes over the key records of a server's
// agent after a planned stop; empty if there is no other.
func (c *Snapshot) Successor(service, server string) string {
	s := c.services[service]
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

// Allows reports whether any rule allows a customer to use a service.
func (c *Snapshot) Allows(customer, service string) bool {
	for i := range c.Config.Rules {
		r := &c.Config.Rules[i]
		mine := len(r.Customers) == 0 || slices.Contains(r.Customers, customer)
		if mine && slices.Contains(r.Services, service) {
			return true
		}
	}
	return false
}
