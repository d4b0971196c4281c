package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/httpconn"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/notify"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/services/pick"
	"github.com/runworks/runworks/services/retry"
)

// Default values of the fields of Entry.
const (
	DefaultSpreadDelay       = 5 * time.Millisecond
	DefaultHostsPollInterval = time.Second
)

// Entry accepts requests, grants each to one agent and returns its response. Set
// the exported fields before Start.
type Entry struct {
	// Name is the host's name.
	Name string
	// Hall is the hall of the host.
	Hall string
	// ProgramVersion is the version of this binary.
	ProgramVersion string
	// Config holds the active configuration.
	Config *config.Follower
	// Hosts is the platform's host list.
	Hosts runworks.HostList
	// HostsPollInterval is the time between reads of the host list; 0 is
	// DefaultHostsPollInterval.
	HostsPollInterval time.Duration
	// Dial opens connections to agents.
	Dial rpc.DialFunc
	// Keys are the fleet keys.
	Keys    rpc.FleetKeys
	Logger  hclog.Logger
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// OnEntries is called with the sorted names of the entries that are not draining,
	// after each read of the host list; it may be nil.
	OnEntries func(names []string)
	// OnShed is called with each request that is shed, before its caller is answered;
	// it may be nil. Tests use it to audit shedding.
	OnShed func(req *runworks.Request)
	// Picker chooses the agent that gets the first reservation; nil is pick.LeastWork.
	Picker runworks.Picker
	// SpreadDelay is how long a request has a reservation at only one agent before
	// it gets one at all eligible agents; 0 is DefaultSpreadDelay.
	SpreadDelay time.Duration

	incarnation runworks.Incarnation
	work        group.Group
	client      *http.Client
	retries     retry.Budget

	mu       sync.Mutex
	members  map[string]*member
	links    map[*link]struct{}
	pending  map[runworks.RequestID]*pending
	active   int
	tiers    map[string]*TierStatus
	stopping bool
	changed  notify.Change
}

// Start applies the defaults and initializes the entry; call it once, before Run.
func (e *Entry) Start() {
	if e.SpreadDelay <= 0 {
		e.SpreadDelay = DefaultSpreadDelay
	}
	if e.Picker == nil {
		e.Picker = pick.LeastWork{}
	}
	if e.HostsPollInterval <= 0 {
		e.HostsPollInterval = DefaultHostsPollInterval
	}
	e.incarnation = runworks.NewIncarnation()
	e.retries.Ratio, e.retries.Max = retryRatio, maxRetries
	e.members = make(map[string]*member)
	e.links = make(map[*link]struct{})
	e.pending = make(map[runworks.RequestID]*pending)
	e.tiers = make(map[string]*TierStatus)
	e.client = &http.Client{Transport: &http.Transport{
		DialContext:         e.Dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: httpconn.MaxHeadBytes,
	}}
}

// Run keeps connections to all agents of the host list until ctx is done.
func (e *Entry) Run(ctx context.Context) {
	ticker := time.NewTicker(e.HostsPollInterval)
	defer ticker.Stop()
	for {
		e.readHosts(ctx)
		select {
		case <-ctx.Done():
			e.work.Close()
			e.client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

// Incarnation returns the ID of this process of the entry; Start creates it.
func (e *Entry) Incarnation() runworks.Incarnation { return e.incarnation }

// Stop makes the entry reject new requests.
func (e *Entry) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopping {
		e.stopping = true
		e.Logger.Info("stopping: no new requests")
	}
}

// Drain calls Stop and waits until every request is answered. It returns the
// cause of ctx if that ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.Stop()
	for {
		e.mu.Lock()
		active, wait := e.active, e.changed.Wait()
		e.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-wait:
		}
	}
}

// Ready returns nil if the entry accepts requests, else runworks.ErrStopping or
// runworks.ErrNotReady.
func (e *Entry) Ready() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stopping:
		return runworks.ErrStopping
	case e.Config.Version() == 0:
		return runworks.ErrNotReady
	}
	return nil
}

// begin counts a request as waiting; it fails if the entry is stopping.
func (e *Entry) begin(tier string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return runworks.ErrStopping
	}
	e.active++
	if e.tiers[tier] == nil {
		e.tiers[tier] = &TierStatus{}
	}
	e.tiers[tier].Waiting++
	return nil
}

// markRunning counts a request as running: its response has started.
func (e *Entry) markRunning(tier string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tiers[tier].Waiting--
	e.tiers[tier].Running++
}

// finish uncounts a request; running reports whether its response had started.
func (e *Entry) finish(tier string, running bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if running {
		e.tiers[tier].Running--
	} else {
		e.tiers[tier].Waiting--
	}
	e.active--
	e.changed.Signal()
}

// AgentStatus is the state of one agent as the entry knows it.
type AgentStatus struct {
	Host      string `json:"host"`
	Server    string `json:"server"`
	Connected bool   `json:"connected"`
	Draining  bool   `json:"leaving"`
	Version   int64  `json:"version"`
	Slots     int    `json:"slots"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
}

// TierStatus counts the requests of one tier at an entry.
type TierStatus struct {
	// Waiting counts requests without a response yet, Running those whose response
	// has started.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}

// Status is the state of an entry as operators see it.
type Status struct {
	Name        string               `json:"name"`
	Incarnation runworks.Incarnation `json:"incarnation"`
	Version     int64                `json:"version"`
	Stopping    bool                 `json:"stopping"`
	Requests    int                  `json:"requests"`
	// Tiers counts the requests by the name of their tier.
	Tiers  map[string]TierStatus `json:"tiers"`
	Agents []AgentStatus         `json:"agents"`
}
