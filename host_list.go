package runworks

import "context"

// HostRole identifies the runworks program that a host runs.
type HostRole string

// The roles of a host.
const (
	RoleEntry HostRole = "entry"
	RoleAgent HostRole = "agent"
)

// Host is an item of the platform's host list.
type Host struct {
	Name string   `json:"name"`
	Role HostRole `json:"role"`
	// Hall is the hall in which the host is located.
	Hall string `json:"hall"`
	// Address is the host:port at which entries and agents reach the process.
	Address string `json:"address"`
	// Draining is set once the host is about to be removed.
	Draining bool `json:"leaving,omitempty"`
}

// HostList is the platform's list of live and draining hosts. It lags behind the actual state.
type HostList interface {
	// Hosts returns the platform's current list.
	Hosts(ctx context.Context) ([]Host, error)
}
