package runworks

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// ServiceKind says what stands behind a service.
type ServiceKind string

// The kinds of service.
const (
	// KindEngine is a model engine, reached by the completions interface.
	KindEngine ServiceKind = "engine"
	// KindPlain is a plain application service, reached by path.
	KindPlain ServiceKind = "plain"
)

// Config is the whole intended state, as one file of the operators gives it.
type Config struct {
	Services  []Service  `json:"services" yaml:"services"`
	Tiers     []Tier     `json:"tiers" yaml:"tiers"`
	Customers []Customer `json:"customers" yaml:"customers"`
	Rules     []Rule     `json:"rules" yaml:"rules"`
}

// Service is a set of backend servers that can do the same work.
type Service struct {
	// Name is unique among the services.
	Name string `json:"name" yaml:"name"`
	// Kind is engine or plain.
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Models are the model names that an engine service answers to.
	Models []string `json:"models,omitempty" yaml:"models,omitempty"`
	// BackendServers do the work.
	BackendServers []BackendServer `json:"backend_servers" yaml:"backend_servers"`
}

// BackendServer is one engine or one plain server.
type BackendServer struct {
	// Name is unique among all backend servers.
	Name string `json:"name" yaml:"name"`
	// Hall is where it stands.
	Hall string `json:"hall" yaml:"hall"`
	// Address is its base URL, as its agent reaches it.
	Address string `json:"address" yaml:"address"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// Speed is its expected rate relative to the others of its service, 1 if zero.
	Speed float64 `json:"speed,omitempty" yaml:"speed,omitempty"`
	// ChecksOrders says whether it verifies who gives it an order.
	ChecksOrders bool `json:"checks_orders,omitempty" yaml:"checks_orders,omitempty"`
}

// Tier is a class of work; a lower rank goes first.
type Tier struct {
	Name string `json:"name" yaml:"name"`
	// Rank orders the tiers: 0 is the highest.
	Rank int `json:"rank" yaml:"rank"`
	// Timeout is the time limit of a request that names none.
	Timeout time.Duration `json:"timeout" yaml:"timeout"`
	// ReservedSlots are kept on each engine for this tier and higher ones.
	ReservedSlots int `json:"reserved_slots,omitempty" yaml:"reserved_slots,omitempty"`
}

// Customer is who calls, with the limits agreed.
type Customer struct {
	Name string `json:"name" yaml:"name"`
	// KeySHA256 are the SHA-256 hashes of the customer's keys, in hexadecimal.
	KeySHA256 []string `json:"key_sha256" yaml:"key_sha256"`
	// RatePerSecond bounds requests a second over all entries; 0 is no bound.
	RatePerSecond float64 `json:"rate_per_second,omitempty" yaml:"rate_per_second,omitempty"`
	// Concurrency bounds requests at once over all entries; 0 is no bound.
	Concurrency int `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// Weight is the customer's share within a tier relative to others, 1 if zero.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
}

// Rule lets customers use services for one kind of request.
type Rule struct {
	// Customers are the names the rule is for; empty means all.
	Customers []string `json:"customers,omitempty" yaml:"customers,omitempty"`
	// Kind is the request kind that callers name; empty is what they name none for.
	Kind string `json:"kind,omitempty" yaml:"kind,omitempty"`
	// Services are the names the rule opens.
	Services []string `json:"services" yaml:"services"`
	// Tier is the highest tier that the requests get.
	Tier string `json:"tier" yaml:"tier"`
	// NotRepeatable says that a request of this kind runs at most once.
	NotRepeatable bool `json:"not_repeatable,omitempty" yaml:"not_repeatable,omitempty"`
	// MaxTimeout bounds the time limit a caller may ask for; 0 is the tier's timeout.
	MaxTimeout time.Duration `json:"max_timeout,omitempty" yaml:"max_timeout,omitempty"`
}

// HashKey gives the form in which a customer's key stands in a configuration: its
// SHA-256 hash in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
