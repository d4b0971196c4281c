package runworks

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// ServiceKind is the type of server behind a service.
type ServiceKind string

// The kinds of service.
const (
	// KindEngine is a model engine, called through the completions API.
	KindEngine ServiceKind = "engine"
	// KindPlain is an ordinary application service, called by path.
	KindPlain ServiceKind = "plain"
)

// Config is the complete desired state, as defined by one configuration file.
type Config struct {
	Services  []Service  `json:"services" yaml:"services"`
	Tiers     []Tier     `json:"tiers" yaml:"tiers"`
	Customers []Customer `json:"customers" yaml:"customers"`
	Rules     []Rule     `json:"rules" yaml:"rules"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	// Name is unique among services.
	Name string      `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Models are the model names served by an engine service.
	Models         []string        `json:"models,omitempty" yaml:"models,omitempty"`
	BackendServers []BackendServer `json:"backend_servers" yaml:"backend_servers"`
}

// BackendServer is one engine or one plain server.
type BackendServer struct {
	// Name is unique among all backend servers.
	Name string `json:"name" yaml:"name"`
	// Hall is the hall in which the server is located.
	Hall string `json:"hall" yaml:"hall"`
	// Address is the base URL at which the server's agent reaches it.
	Address string `json:"address" yaml:"address"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots" yaml:"slots"`
	// Speed is its expected throughput relative to the service's other servers; 0 means 1.
	Speed float64 `json:"speed,omitempty" yaml:"speed,omitempty"`
	// ChecksOrders is set if the server authenticates the sender of each request.
	ChecksOrders bool `json:"checks_orders,omitempty" yaml:"checks_orders,omitempty"`
}

// Tier is a priority class; a lower rank is served first.
type Tier struct {
	Name string `json:"name" yaml:"name"`
	// Rank is the tier's priority; 0 is the highest.
	Rank int `json:"rank" yaml:"rank"`
	// Timeout is the time limit of a request that specifies none.
	Timeout time.Duration `json:"timeout" yaml:"timeout"`
	// ReservedSlots is the number of slots on each engine reserved for this tier and higher ones.
	ReservedSlots int `json:"reserved_slots,omitempty" yaml:"reserved_slots,omitempty"`
}

// Customer is a client of the API and its limits.
type Customer struct {
	Name string `json:"name" yaml:"name"`
	// KeySHA256 are the hex-encoded SHA-256 hashes of the customer's API keys.
	KeySHA256 []string `json:"key_sha256" yaml:"key_sha256"`
	// RatePerSecond limits requests per second across all entries; 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty" yaml:"rate_per_second,omitempty"`
	// Concurrency limits concurrent requests across all entries; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// Weight is the customer's share within a tier relative to others; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
}

// Rule allows customers to use services for one kind of request.
type Rule struct {
	// Customers are the names of the customers the rule applies to; empty means all.
	Customers []string `json:"customers,omitempty" yaml:"customers,omitempty"`
	// Kind is the request kind specified by callers; empty matches requests that specify none.
	Kind string `json:"kind,omitempty" yaml:"kind,omitempty"`
	// Services are the names of the services the rule grants access to.
	Services []string `json:"services" yaml:"services"`
	// Tier is the name of the highest tier that matching requests may use.
	Tier string `json:"tier" yaml:"tier"`
	// NotRepeatable is set if a request of this kind may run at most once.
	NotRepeatable bool `json:"not_repeatable,omitempty" yaml:"not_repeatable,omitempty"`
	// MaxTimeout is the longest time limit a caller may request; 0 means the tier's timeout.
	MaxTimeout time.Duration `json:"max_timeout,omitempty" yaml:"max_timeout,omitempty"`
}

// HashKey returns the hex-encoded SHA-256 hash of an API key, the form in which a
// configuration stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
