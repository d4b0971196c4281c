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

// Defaults of an agent's bounds.
const (
	DefaultMaxWaiting         = 1000
	DefaultMaxAnswerBytes     = 4 << 20
	DefaultMaxRetainedBytes   = 64 << 20
	DefaultMaxKeys            = 100_000
	DefaultKeyRetention       = 10 * time.Minute
	DefaultOrphanTimeout      = 5 * time.Second
	DefaultKeyedOrphanTimeout = 2 * time.Minute
)

// Agent stands beside one backend server. Set the exported fields before Run.
type Agent struct {
	// Name is the host's name, and Server the backend server's in the configuration.
	Name   string
	Server string
	// ProgramVersion is the program's version.
	ProgramVersion string
	// Config gives the configuration in force.
	Config *config.Follower
	// Connect builds the way to the backend server at a base URL.
	Connect func(kind runworks.ServiceKind, address string) runworks.Backend
	Logger  hclog.Logger
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// HeartbeatInterval is the time between two reports to each entry; 0 is
	// control.HeartbeatInterval.
	HeartbeatInterval time.Duration
	// MaxWaiting bounds the waiting tickets.
	MaxWaiting int
	// MaxAnswerBytes bounds what is kept of one answer.
	MaxAnswerBytes int
	// MaxRetainedBytes bounds the answers kept for callers who come back with a key.
	MaxRetainedBytes int
	// OrphanTimeout is how long a run without a key outlives its reader, and
	// KeyedLimit the same with a key.
	OrphanTimeout      time.Duration
	KeyedOrphanTimeout time.Duration
	// KeySkew, KeyKeep and MaxKeys are the bounds of the key records (package idempotency).
	KeySkew      time.Duration
	KeyRetention time.Duration
	MaxKeys      int

	incarnation runworks.Incarnation
	work        group.Group
	life        context.Context
	end         context.CancelFunc

	mu      sync.Mutex
	queue   reservation.Queue
	links   map[runworks.Incarnation]*link
	runs    map[runworks.RequestID]*run
	busy    map[int]int
	slots   int
	backend runworks.Backend
	kind    runworks.ServiceKind
	address string
	leaving bool
	downTo  time.Time
	changed notify.Change
	keys    idempotency.Table
	rates   estimate
	past    []pastConfig
}

// pastConfig is a configuration that was in force until a time.
type pastConfig struct {
	cfg   *config.Snapshot
	until time.Time
}

// Start makes the agent ready; call it once, before any message comes.
func (a *Agent) Start(ctx context.Context) {
	a.defaults()
	a.incarnation = runworks.NewIncarnation()
	a.life, a.end = context.WithCancel(context.WithoutCancel(ctx))
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

func (a *Agent) defaults() {
	if a.HeartbeatInterval <= 0 {
		a.HeartbeatInterval = control.HeartbeatInterval
	}
	if a.MaxWaiting <= 0 {
		a.MaxWaiting = DefaultMaxWaiting
	}
	if a.MaxAnswerBytes <= 0 {
		a.MaxAnswerBytes = DefaultMaxAnswerBytes
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

// Incarnation names this life of the agent.
func (a *Agent) Incarnation() runworks.Incarnation { return a.incarnation }

// Configure takes a new configuration in force.
func (a *Agent) Configure(now *config.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.past); n > 0 && a.past[n-1].cfg.Version >= now.Version {
		return
	}
	a.keepPast(now)
	place := now.Server(a.Server)
	if place == nil {
		if a.slots > 0 {
			a.Logger.Warn("backend server left the configuration", "server", a.Server)
		}
		a.slots = 0
		a.giveBackLocked(control.RefusedUnserved)
		return
	}
	if a.kind != place.Service.Kind || a.address != place.Server.Address {
		a.kind, a.address = place.Service.Kind, place.Server.Address
		a.backend = a.Connect(a.kind, a.address)
	}
	a.slots = place.Server.Slots
	a.scheduleLocked()
}

// keepPast remembers what was in force until now, as long as a key may be old.
func (a *Agent) keepPast(now *config.Snapshot) {
	at := time.Now()
	if n := len(a.past); n > 0 {
		a.past[n-1].until = at
	}
	a.past = append(a.past, pastConfig{cfg: now})
	oldest := at.Add(-a.KeyRetention - 2*a.KeySkew)
	for len(a.past) > 1 && a.past[0].until.Before(oldest) {
		a.past = a.past[1:]
	}
}

// Heartbeat tells how busy the agent is.
func (a *Agent) Heartbeat() control.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beatLocked()
}

func (a *Agent) beatLocked() control.Heartbeat {
	return control.Heartbeat{
		Version: a.Config.Version(), Draining: a.leaving,
		Slots: a.slots, Running: a.busyLocked(), Waiting: a.queue.Len(),
	}
}

// Status is what an operator sees of an agent.
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

// Status gives the agent's state for an operator.
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
		Draining: a.leaving, Slots: a.slots, RunningByRank: running, WaitingByRank: a.queue.LenByRank(),
		Entries: len(a.links), Keys: a.keys.Len(),
	}
}

// busyLocked gives the number of slots in use, by claims and by runs.
func (a *Agent) busyLocked() int {
	n := 0
	for _, running := range a.busy {
		n += running
	}
	return n
}

// busyBelowLocked gives the slots in use by lower tiers than rank.
func (a *Agent) busyBelowLocked(rank int) int {
	n := 0
	for r, running := range a.busy {
		if r > rank {
			n += running
		}
	}
	return n
}
