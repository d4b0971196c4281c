package config

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/runworks/runworks"
)

// Snapshot is a configuration in force, with the look-ups that requests need.
// It is never changed once built.
type Snapshot struct {
	// Version counts accepted documents, from 1.
	Version int64
	// Config is the document.
	Config *runworks.Config

	services  map[string]*runworks.Service
	models    map[string]*runworks.Service
	servers   map[string]*ServerInfo
	keys      map[string]*runworks.Customer
	customers map[string]*runworks.Customer
	tiers     map[string]*runworks.Tier
	homes     map[string]*rendezvous.Rendezvous
}

// ServerInfo is a backend server with the service it belongs to.
type ServerInfo struct {
	Service *runworks.Service
	Server  *runworks.BackendServer
}

// NewSnapshot builds the look-ups of a checked document.
func NewSnapshot(version int64, cfg *runworks.Config) *Snapshot {
	f := &Snapshot{
		Version: version, Config: cfg,
		services: map[string]*runworks.Service{}, models: map[string]*runworks.Service{},
		servers: map[string]*ServerInfo{}, keys: map[string]*runworks.Customer{},
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

func (f *Snapshot) addService(s *runworks.Service) {
	f.services[s.Name] = s
	for _, model := range s.Models {
		f.models[model] = s
	}
	names := make([]string, 0, len(s.BackendServers))
	for i := range s.BackendServers {
		b := &s.BackendServers[i]
		f.servers[b.Name] = &ServerInfo{Service: s, Server: b}
		names = append(names, b.Name)
	}
	sort.Strings(names)
	f.homes[s.Name] = rendezvous.New(names, xxhash.Sum64String)
}

// CustomerByKey finds who owns a key; nil if nobody does.
func (f *Snapshot) CustomerByKey(key string) *runworks.Customer {
	return f.keys[runworks.HashKey(key)]
}

// Customer finds a customer by name; nil if there is none.
func (f *Snapshot) Customer(name string) *runworks.Customer { return f.customers[name] }

// Service finds a service by name; nil if there is none.
func (f *Snapshot) Service(name string) *runworks.Service { return f.services[name] }

// ServiceByModel finds the service that answers to a model; nil if there is none.
func (f *Snapshot) ServiceByModel(model string) *runworks.Service { return f.models[model] }

// Server finds a backend server by name; nil if there is none.
func (f *Snapshot) Server(server string) *ServerInfo { return f.servers[server] }

// Tier finds a tier by name; nil if there is none.
func (f *Snapshot) Tier(name string) *runworks.Tier { return f.tiers[name] }

// Rule finds the first rule for a customer, a kind and a service; nil if none
// allows it.
func (f *Snapshot) Rule(customer, kind, service string) *runworks.Rule {
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

// KeyOwner names the backend server whose agent decides about a customer's
// idempotency key, by rendezvous hash over the service's backend servers.
func (f *Snapshot) KeyOwner(service, customer, key string) string {
	ring := f.homes[service]
	if ring == nil {
		return ""
	}
	return ring.Lookup(customer + "\x00" + key)
}

// ReservedSlots gives the slots of each engine kept for tiers higher than rank.
func (f *Snapshot) ReservedSlots(rank int) int {
	n := 0
	for i := range f.Config.Tiers {
		if f.Config.Tiers[i].Rank < rank {
			n += f.Config.Tiers[i].ReservedSlots
		}
	}
	return n
}

// Successor names the backend server whose agent keeps the key records of another's
// home after a planned stop; empty if there is no other.
func (f *Snapshot) Successor(service, server string) string {
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

// Allows says whether any rule opens a service to a customer.
func (f *Snapshot) Allows(customer, service string) bool {
	for i := range f.Config.Rules {
		r := &f.Config.Rules[i]
		mine := len(r.Customers) == 0 || slices.Contains(r.Customers, customer)
		if mine && slices.Contains(r.Services, service) {
			return true
		}
	}
	return false
}
