package runworks

import (
	"strconv"
	"time"
)

// CallKind says how often a call may run.
type CallKind string

// The kinds of call.
const (
	// CallRepeatable may run more than once.
	CallRepeatable CallKind = "repeatable"
	// CallOnce runs at most once.
	CallOnce CallKind = "once"
	// CallStream is answered by a stream of events; it runs at most once unless
	// its route is resumable.
	CallStream CallKind = "stream"
)

// Routing is the intended state for callers who are told apart by host and
// path, as one version of the operators' document gives it.
type Routing struct {
	// Version rises with every change, in uneven steps.
	Version   int64
	Routes    []Route
	Services  []RoutedService
	Customers []RoutedCustomer
	Limits    CallLimits
}

// Route sends the calls below a path of a host to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash; the longest that fits wins.
	PathPrefix string
	Kind       CallKind
	// Resumable says that a stream may be taken up again after an event.
	Resumable bool
	// Timeout is the longest time that a call is held.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, that
	// callers expect.
	Target time.Duration
	// MaxGap is the longest pause between events that callers expect.
	MaxGap time.Duration
	// Rank orders the calls: 0 is the highest.
	Rank int
	// MaxAttempts bounds the backend servers on which one call runs.
	MaxAttempts int
	// Public says that no key is needed.
	Public bool
	// Shares are the services that take the calls, by weight.
	Shares []ServiceShare
}

// ServiceShare is a service's part of a route's calls.
type ServiceShare struct {
	Service string
	Weight  int
}

// RoutedService is a service whose backend servers are discovered.
type RoutedService struct {
	Name string
	Kind ServiceKind
	// MaxConnections bounds the connections that one backend server takes from
	// all entries together; 0 is not told.
	MaxConnections int
}

// RoutedCustomer is who calls, with a limit in tokens over all entries.
type RoutedCustomer struct {
	Name string
	// KeySHA256 are the SHA-256 hashes of the customer's keys, in hexadecimal.
	KeySHA256 []string
	// Rank takes the place of the route's rank, unless nil.
	Rank *int
	// TokensPerSecond bounds the tokens asked for; 0 is no bound.
	TokensPerSecond float64
	// TokenBurst is how many tokens may be asked for at once beyond that.
	TokenBurst float64
	// TokensPerCall is the cost of a call that states no tokens.
	TokensPerCall float64
}

// CallLimits bound what a caller may send, and how long it may stay idle.
type CallLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Instance is one life of a discovered backend server.
type Instance struct {
	// ID names the server; a start may keep it.
	ID string
	// Generation tells lives of one ID apart, the newest being the highest; 0 is not told.
	Generation int64
	// Service is the service it belongs to.
	Service string
	// Address is host:port.
	Address string
	// Hall is where it stands.
	Hall string
	// Slots is how many calls it runs at once.
	Slots int
	// Draining says that it will end, by its own word, and gets no new calls.
	Draining bool
	// Unreadable says that its newest record can't be read: it gets no new calls as long as
	// that stands.
	Unreadable bool
}

// Unavailable says whether the server gets no new calls, by its record.
func (i *Instance) Unavailable() bool { return i.Draining || i.Unreadable }

// IncarnationID names this life of the backend server among all entries: what one learned of a life
// must not count for the next.
func (i *Instance) IncarnationID() string {
	if i.Generation == 0 {
		return i.ID
	}
	return i.ID + "/" + strconv.FormatInt(i.Generation, 10)
}
