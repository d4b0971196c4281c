package runworks

import (
	"strconv"
	"time"
)

// CallKind determines how often a call may run.
type CallKind string

// The kinds of call.
const (
	// CallRepeatable may run more than once.
	CallRepeatable CallKind = "repeatable"
	// CallOnce runs at most once.
	CallOnce CallKind = "once"
	// CallStream is answered by a stream of events. It runs at most once unless its route is
	// resumable.
	CallStream CallKind = "stream"
)

// Routing is the desired state for calls routed by host and path, as defined by one version
// of the operators' document.
type Routing struct {
	// Version rises with every change, not necessarily by 1.
	Version   int64
	Routes    []Route
	Services  []RoutedService
	Customers []RoutedCustomer
	Limits    CallLimits
}

// Route maps the calls below a path prefix of a host to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash; the longest matching prefix wins.
	PathPrefix string
	Kind       CallKind
	// Resumable is set if a stream can be resumed after an event.
	Resumable bool
	// Timeout is the maximum duration of a call.
	Timeout time.Duration
	// Target is the latency that callers expect: the time to the response, or to the first
	// event of a stream.
	Target time.Duration
	// MaxGap is the longest pause between events that callers expect.
	MaxGap time.Duration
	// Rank is the priority of the calls; 0 is the highest.
	Rank int
	// MaxAttempts limits the number of backend servers on which one call runs.
	MaxAttempts int
	// Public is set if no API key is required.
	Public bool
	// Shares are the services that receive the calls, with their weights.
	Shares []ServiceShare
	// Regions are the regions whose backend servers may receive the calls; empty means all.
	Regions []string
}

// ServiceShare is a service and its weight within a route.
type ServiceShare struct {
	Service string
	Weight  int
}

// RoutedService is a service whose backend servers are discovered.
type RoutedService struct {
	Name string
	Kind ServiceKind
	// MaxConnections limits the connections of all entries to one backend server; 0 means not
	// specified.
	MaxConnections int
	// StatusPath is the path at which a backend server says which one it is; empty if not specified.
	StatusPath string
	// ColdStart is how long a backend server is slow after it started, and ColdRate how many calls
	// per second of all entries it bears meanwhile; 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// RoutedCustomer is a customer with a token limit that applies across all entries.
type RoutedCustomer struct {
	Name string
	// KeySHA256 are the hex-encoded SHA-256 hashes of the customer's API keys.
	KeySHA256 []string
	// Rank overrides the route's rank unless nil.
	Rank *int
	// TokensPerSecond limits the requested tokens per second; 0 means no limit.
	TokensPerSecond float64
	// TokenBurst is the number of tokens that may be requested at once beyond that rate.
	TokenBurst float64
	// TokensPerCall is the cost in tokens of a call that states none.
	TokensPerCall float64
	// Regions are the regions whose backend servers may receive the customer's calls, besides
	// Route.Regions; empty means all.
	Regions []string
}

// CallLimits limit the size of a caller's request and the time a caller may stay idle.
type CallLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Instance is one incarnation of a discovered backend server.
type Instance struct {
	// ID identifies the server; it may stay the same across restarts.
	ID string
	// Generation rises with each start under the same ID; 0 means unknown.
	Generation int64
	// Service is the name of the service the server belongs to.
	Service string
	// Address is host:port.
	Address string
	// Hall is the hall in which the server is located.
	Hall string
	// Version is the version of the server's software; it matters only during a roll-out.
	Version string
	// Slots is the number of calls the server runs concurrently.
	Slots int
	// Draining is set if the server reported that it will exit; it receives no new calls.
	Draining bool
	// Unreadable is set while the server's newest record can't be parsed; it receives no new
	// calls until a readable record arrives.
	Unreadable bool
	// Suspended is set while the operators suspended the server's hall; it receives no new calls.
	Suspended bool
	// ColdUntil is until when the server is slow from its start, as it stated; zero if it is not.
	ColdUntil time.Time
}

// Unavailable reports whether the server's record or its hall bars it from new calls.
func (i *Instance) Unavailable() bool { return i.Draining || i.Unreadable || i.Suspended }

// IncarnationID returns an ID of this incarnation that is the same at all entries. What was
// learned about one incarnation must not be applied to the next.
func (i *Instance) IncarnationID() string {
	if i.Generation == 0 {
		return i.ID
	}
	return i.ID + "/" + strconv.FormatInt(i.Generation, 10)
}
