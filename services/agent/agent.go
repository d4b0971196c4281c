package agent

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/notify"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/services/control"
	"github.com/runworks/runworks/services/idempotency"
	"github.com/runworks/runworks/services/reservation"
)

// Defaults of the limits of an Agent.
const (
	DefaultMaxWaiting         = 1000
	DefaultMaxResponseBytes   = 4 << 20
	DefaultMaxRetainedBytes   = 64 << 20
	DefaultMaxKeys            = 100_000
	DefaultKeyRetention       = 10 * time.Minute
	DefaultOrphanTimeout      = 5 * time.Second
	DefaultKeyedOrphanTimeout = 2 * time.Minute
)

// Agent schedules the requests of one backend server and runs on its host. Set the exported
// fields before Start.
type Agent struct {
	// Name is the name of the host; Server is the name of the backend server in the configuration.
	Name   string
	Server string
	// ProgramVersion is the version of the running program.
	ProgramVersion string
	// Config provides the active configuration.
	Config *config.Follower
	// Connect returns the Backend for the backend server at a base URL.
	Connect func(kind runworks.ServiceKind, address string) runworks.Backend
	Logger  hclog.Logger
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// HeartbeatInterval is the time between two heartbeats to each entry; 0 means
	// control.HeartbeatInterval.
	HeartbeatInterval time.Duration
	// MaxWaiting limits the number of queued reservations.
	MaxWaiting int
	// MaxResponseBytes limits the bytes buffered of one response.
	MaxResponseBytes int
	// MaxRetainedBytes limits the total size of the finished responses that are retained for
	// entries that lost their connection and for callers that retry with their idempotency key.
	MaxRetainedBytes int
	// OrphanTimeout is how long a run without an idempotency key continues without a reader;
	// KeyedOrphanTimeout is the same for a run with a key.
	OrphanTimeout      time.Duration
	KeyedOrphanTimeout time.Duration
	// KeySkew, KeyRetention and MaxKeys configure the key records; see idempotency.Table.
	KeySkew      time.Duration
	KeyRetention time.Duration
	MaxKeys      int

	incarnation runworks.Incarnation
	work        group.Group
	ctx         context.Context
	cancel      context.CancelFunc

	mu    sync.Mutex
	queue reservation.Queue
	links map[runworks.Incarnation]*link
	runs  map[runworks.RequestID]*run
	// retained holds the ended runs that have their response, the oldest first.
	retained         []*run
	retainedBytes    int
	busy             map[int]int
	slots            int
	backend          runworks.Backend
	kind             runworks.ServiceKind
	address          string
	draining         bool
	unreachableUntil time.Time
	changed          notify.Change
	keys             idempotency.Table
	runTimes         durationEstimate
	configs          []pastConfig
}

// pastConfig is a configuration that was active until a time, or still is if until is zero.
type pastConfig struct {
	cfg   *config.Snapshot
	until time.Time
}

// Start initializes the agent. It must be called once, before any connection is served.
func (a *Agent) Start(ctx context.Context) {
	a.setDefaults()
	a.incarnation = runworks.NewIncarnation()
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	a.links = make(map[runworks.Incarnation]*link)
	a.runs = make(map[runworks.RequestID]*run)
	a.busy = make(map[int]int)
	a.queue = reservation.Queue{MaxWaiting: a.MaxWaiting, ThresholdDuration: control.RefusalWindow}
	a.keys = idempotency.Table{Started: time.Now(), MaxClockSkew: a.KeySkew, Retention: a.KeyRetention, MaxKeys: a.MaxKeys}
	a.work.Go(a.sweep)
	if now := a.Config.Active(); now != nil {
		a.Configure(now)
	}
}

func (a *Agent) setDefaults() {
	if a.HeartbeatInterval <= 0 {
		a.HeartbeatInterval = control.HeartbeatInterval
	}
	if a.MaxWaiting <= 0 {
		a.MaxWaiting = DefaultMaxWaiting
	}
	if a.MaxResponseBytes <= 0 {
		a.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if a.MaxRetainedBytes <= 0 {
		a.MaxRetainedBytes = DefaultMaxRetainedBytes
	}
	if a.OrphanTimeout <= 0 {
		a.OrphanTimeout = DefaultOrphanTimeout
	}
	if a.KeyedOrphanTimeout <= 0 {
		a.KeyedOrphanTimeout = DefaultKeyedOrphanTimeout
	}
	if a.KeyRetention <= 0 {
		a.KeyRetention = DefaultKeyRetention
	}
	if a.MaxKeys <= 0 {
		a.MaxKeys = DefaultMaxKeys
	}
}

// Incarnation returns the ID of this incarnation of the agent.
func (a *Agent) Incarnation() runworks.Incarnation { return a.incarnation }

// Configure applies a new active configuration. A version that is not newer is ignored.
func (a *Agent) Configure(snapshot *config.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.configs); n > 0 && a.configs[n-1].cfg.Version >= snapshot.Version {
		return
	}
	a.recordConfig(snapshot)
	info := snapshot.Server(a.Server)
	if info == nil {
		if a.slots > 0 {
			a.Logger.Warn("backend server is no longer in the configuration", "server", a.Server)
		}
		a.slots = 0
		a.refuseAllLocked(control.RefusedUnserved)
		return
	}
	if a.kind != info.Service.Kind || a.address != info.Server.Address {
		a.kind, a.address = info.Service.Kind, info.Server.Address
		a.backend = a.Connect(a.kind, a.address)
	}
	a.slots = info.Server.Slots
	a.scheduleLocked()
}

// recordConfig appends a configuration to the history. Older ones are kept for as long as a
// key that was created while they were active can still be claimed.
func (a *Agent) recordConfig(snapshot *config.Snapshot) {
	now := time.Now()
	if n := len(a.configs); n > 0 {
		a.configs[n-1].until = now
	}
	a.configs = append(a.configs, pastConfig{cfg: snapshot})
	oldest := now.Add(-a.KeyRetention - 2*a.KeySkew)
	for len(a.configs) > 1 && a.configs[0].until.Before(oldest) {
		a.configs = a.configs[1:]
	}
}

// Heartbeat returns the current load of the agent.
func (a *Agent) Heartbeat() control.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heartbeatLocked()
}

func (a *Agent) heartbeatLocked() control.Heartbeat {
	return control.Heartbeat{
		Version: a.Config.Version(), Draining: a.draining,
		Slots: a.slots, Running: a.busyLocked(), Waiting: a.queue.Len(),
	}
}

// Status is the state of an agent as shown to operators.
type Status struct {
	Name        string               `json:"name"`
	Server      string               `json:"server"`
	Incarnation runworks.Incarnation `json:"incarnation"`
	Version     int64                `json:"version"`
	Draining    bool                 `json:"leaving"`
	Slots       int                  `json:"slots"`
	// RunningByRank and WaitingByRank count requests by the rank of their tier.
	RunningByRank map[int]int `json:"running_by_rank"`
	WaitingByRank map[int]int `json:"waiting_by_rank"`
	Entries       int         `json:"entries"`
	Keys          int         `json:"keys"`
}

// Status returns the agent's state.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	running := make(map[int]int, len(a.busy))
	for rank, n := range a.busy {
		if n > 0 {
			running[rank] = n
		}
	}
	return Status{
		Name: a.Name, Server: a.Server, Incarnation: a.incarnation, Version: a.Config.Version(),
		Draining: a.draining, Slots: a.slots, RunningByRank: running, WaitingByRank: a.queue.LenByRank(),
		Entries: len(a.links), Keys: a.keys.Len(),
	}
}

// busyLocked returns the number of slots in use by claimed and running requests.
func (a *Agent) busyLocked() int {
	n := 0
	for _, running := range a.busy {
		n += running
	}
	return n
}

// busyBelowLocked returns the number of slots in use by tiers lower than rank.
func (a *Agent) busyBelowLocked(rank int) int {
	n := 0
	for r, running := range a.busy {
		if r > rank {
			n += running
		}
	}
	return n
}
