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
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/notify"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/services/pick"
	"github.com/runworks/runworks/services/retry"
)

// Defaults of an entry's times.
const (
	DefaultSpreadDelay       = 5 * time.Millisecond
	DefaultHostsPollInterval = time.Second
)

// Entry owns requests. Set the exported fields before Run.
type Entry struct {
	// Name is the host's name.
	Name string
	// Hall is where the host stands.
	Hall string
	// Program is the program's version.
	Program string
	// Config gives the configuration in force.
	Config *config.Follower
	// Hosts is the platform's host list.
	Hosts runworks.HostList
	// HostsPollInterval is the time between reads of the host list.
	HostsPollInterval time.Duration
	// Dial opens connections to agents.
	Dial rpc.DialFunc
	// Keys are the fleet keys.
	Keys    rpc.FleetKeys
	Logger  hclog.Logger
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// OnEntries is told the names of the live entries, sorted, after each read of
	// the host list; it may be nil.
	OnEntries func(names []string)
	// OnShed is told, for audits, of each request that is shed, before its answer
	// is given; it may be nil.
	OnShed func(req *runworks.Request)
	// Picker chooses who gets the first ticket; nil is pick.LeastWork.
	Picker runworks.Picker
	// SpreadDelay is how long one agent alone holds the ticket of a request.
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

// Start makes the entry ready; call it once, before Run.
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
	e.retries.Ratio, e.retries.Max = retryEarned, retryMost
	e.members = make(map[string]*member)
	e.links = make(map[*link]struct{})
	e.pending = make(map[runworks.RequestID]*pending)
	e.tiers = make(map[string]*TierStatus)
	e.client = &http.Client{Transport: &http.Transport{
		DialContext:         e.Dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// Run keeps connections to all agents of the host list until ctx ends.
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

// Incarnation names this life of the entry.
func (e *Entry) Incarnation() runworks.Incarnation { return e.incarnation }

// Stop takes no new requests from now on.
func (e *Entry) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopping {
		e.stopping = true
		e.Logger.Info("stopping: no new requests")
	}
}

// Drain stops, and waits until every request has its answer.
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

// Ready says whether the entry can take requests.
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

// begin counts a request in as waiting, unless the entry is stopping.
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

// answered counts a request as running from now on: its answer has begun.
func (e *Entry) answered(tier string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tiers[tier].Waiting--
	e.tiers[tier].Running++
}

// finish counts a request out; begun says whether its answer had begun.
func (e *Entry) finish(tier string, begun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if begun {
		e.tiers[tier].Running--
	} else {
		e.tiers[tier].Waiting--
	}
	e.active--
	e.changed.Signal()
}

// AgentStatus is what an entry knows of one agent.
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
	// Waiting have no answer yet; the answers of Running have begun.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
}

// Status is what an operator sees of an entry.
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
