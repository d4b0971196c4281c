package runworks

import "context"

// HostRole says which process of the system a host runs.
type HostRole string

// The roles of a host.
const (
	RoleEntry HostRole = "entry"
	RoleAgent HostRole = "agent"
)

// Host is one line of the platform's host list.
type Host struct {
	Name string   `json:"name"`
	Role HostRole `json:"role"`
	// Hall is where the host stands.
	Hall string `json:"hall"`
	// Address is host:port of the process between entries and agents.
	Address string `json:"address"`
	// Draining is set once the host is to go away.
	Draining bool `json:"leaving,omitempty"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts gives the list as the platform sees it now.
	Hosts(ctx context.Context) ([]Host, error)
}
