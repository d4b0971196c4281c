package config

import (
	"encoding/hex"
	"fmt"
	"net/url"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/yamlfile"
)

const keyHashBytes = 32

// Check returns all mistakes of a configuration. A configuration without mistakes may become
// active.
func Check(cfg *runworks.Config) []yamlfile.Mistake {
	c := &checker{
		cfg:           cfg,
		serviceNames:  map[string]string{},
		tierNames:     map[string]string{},
		customerNames: map[string]string{},
	}
	c.services()
	c.tiers()
	c.customers()
	c.rules()
	return c.list
}

// checker collects the mistakes of one configuration.
type checker struct {
	cfg  *runworks.Config
	list []yamlfile.Mistake

	// The maps hold, for each name, the field in which it was first used.
	serviceNames  map[string]string
	tierNames     map[string]string
	customerNames map[string]string
}

func (c *checker) add(field, format string, args ...any) {
	c.list = append(c.list, yamlfile.Mistake{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// unique adds a mistake for an empty or duplicate name.
func (c *checker) unique(seen map[string]string, field, name string) {
	if name == "" {
		c.add(field, "must not be empty")
		return
	}
	if first, ok := seen[name]; ok {
		c.add(field, "%q is already used at %s", name, first)
		return
	}
	seen[name] = field
}

func (c *checker) services() {
	if len(c.cfg.Services) == 0 {
		c.add("$.services", "at least one service is needed")
	}
	servers, models := map[string]string{}, map[string]string{}
	for i := range c.cfg.Services {
		s := &c.cfg.Services[i]
		at := fmt.Sprintf("$.services[%d]", i)
		c.unique(c.serviceNames, at+".name", s.Name)
		c.serviceKind(at, s)
		for j, model := range s.Models {
			c.unique(models, fmt.Sprintf("%s.models[%d]", at, j), model)
		}
		if len(s.BackendServers) == 0 {
			c.add(at+".backend_servers", "at least one backend server is needed")
		}
		for j := range s.BackendServers {
			c.backendServer(servers, fmt.Sprintf("%s.backend_servers[%d]", at, j), &s.BackendServers[j])
		}
	}
}

func (c *checker) serviceKind(at string, s *runworks.Service) {
	switch s.Kind {
	case runworks.KindEngine:
		if len(s.Models) == 0 {
			c.add(at+".models", "an engine service needs at least one model")
		}
	case runworks.KindPlain:
		if len(s.Models) > 0 {
			c.add(at+".models", "a plain service has no models")
		}
	default:
		c.add(at+".kind", "%q is neither engine nor plain", s.Kind)
	}
}

func (c *checker) backendServer(seen map[string]string, at string, b *runworks.BackendServer) {
	c.unique(seen, at+".name", b.Name)
	if b.Hall == "" {
		c.add(at+".hall", "must not be empty")
	}
	u, err := url.Parse(b.Address)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.add(at+".address", "%q is not an address like http://10.0.0.1:8000", b.Address)
	}
	if b.Slots < 1 {
		c.add(at+".slots", "%d is less than 1", b.Slots)
	}
	if b.Speed < 0 {
		c.add(at+".speed", "%g is negative", b.Speed)
	}
}

func (c *checker) tiers() {
	if len(c.cfg.Tiers) == 0 {
		c.add("$.tiers", "at least one tier is needed")
	}
	ranks := map[int]string{}
	for i, t := range c.cfg.Tiers {
		at := fmt.Sprintf("$.tiers[%d]", i)
		c.unique(c.tierNames, at+".name", t.Name)
		if t.Rank < 0 {
			c.add(at+".rank", "%d is negative", t.Rank)
		}
		if first, ok := ranks[t.Rank]; ok {
			c.add(at+".rank", "rank %d is already used at %s", t.Rank, first)
		} else {
			ranks[t.Rank] = at
		}
		if t.Timeout <= 0 {
			c.add(at+".timeout", "a time limit above zero is needed, such as 30s")
		}
		if t.ReservedSlots < 0 {
			c.add(at+".reserved_slots", "%d is negative", t.ReservedSlots)
		}
	}
}

func (c *checker) customers() {
	keys := map[string]string{}
	for i, one := range c.cfg.Customers {
		at := fmt.Sprintf("$.customers[%d]", i)
		c.unique(c.customerNames, at+".name", one.Name)
		if len(one.KeySHA256) == 0 {
			c.add(at+".key_sha256", "at least one key hash is needed")
		}
		for j, hash := range one.KeySHA256 {
			field := fmt.Sprintf("%s.key_sha256[%d]", at, j)
			if raw, err := hex.DecodeString(hash); err != nil || len(raw) != keyHashBytes {
				c.add(field, "not a SHA-256 hash in hexadecimal")
				continue
			}
			c.unique(keys, field, hash)
		}
		if one.RatePerSecond < 0 || one.Concurrency < 0 || one.Weight < 0 {
			c.add(at, "rate_per_second, concurrency and weight must not be negative")
		}
	}
}

func (c *checker) rules() {
	if len(c.cfg.Rules) == 0 {
		c.add("$.rules", "at least one rule is needed, or no call is allowed")
	}
	for i, r := range c.cfg.Rules {
		at := fmt.Sprintf("$.rules[%d]", i)
		for j, name := range r.Customers {
			_, known := c.customerNames[name]
			c.known(known, fmt.Sprintf("%s.customers[%d]", at, j), "customer", name)
		}
		if len(r.Services) == 0 {
			c.add(at+".services", "at least one service is needed")
		}
		for j, name := range r.Services {
			_, known := c.serviceNames[name]
			c.known(known, fmt.Sprintf("%s.services[%d]", at, j), "service", name)
		}
		_, known := c.tierNames[r.Tier]
		c.known(known, at+".tier", "tier", r.Tier)
		if r.MaxTimeout < 0 {
			c.add(at+".max_timeout", "must not be negative")
		}
	}
}

func (c *checker) known(ok bool, field, what, name string) {
	if !ok {
		c.add(field, "no %s is named %q", what, name)
	}
}
