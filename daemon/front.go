package daemon

import (
	"context"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/httpconn"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/notify"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/modules/setting"
	"github.com/runworks/runworks/modules/suspend"
	"github.com/runworks/runworks/modules/tcp"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/catchup"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/forward"
	"github.com/runworks/runworks/services/peers"
	"github.com/runworks/runworks/services/quarantine"
	"github.com/runworks/runworks/services/quota"
	"github.com/runworks/runworks/services/rollout"
	"github.com/runworks/runworks/services/scheduler"
)

const (
	// heapFraction is the fraction of the memory limit that the Go heap may take. The rest is for
	// stacks and socket buffers.
	heapFraction = 0.6
	// heldFraction is the fraction of the memory limit that request bodies, whole answers and long
	// events of calls may take: 46 MB of the smallest front's 184 MB. That is eight bodies of 4 MB, or
	// those of 1,700 prompts of 6,600 tokens. The other 64 MB of the heap are for all else and for
	// what is not collected yet.
	heldFraction = 0.25
	// headerTimeout limits the time to read the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout limits how long a caller's connection may be idle, unless the routing sets a limit.
	idleTimeout = 15 * time.Second
)

// Front runs a front with the given settings.
type Front struct {
	Settings *setting.Front
	Logger   hclog.Logger
	// DroppedLines returns how many log lines were dropped; nil means that none are.
	DroppedLines func() int64
	// Reload receives a value when the settings must be reloaded, with LoadSettings.
	Reload       <-chan struct{}
	LoadSettings func() (*setting.Front, error)

	metrics    *metrics.Set
	forwarder  *forward.Forwarder
	dispatcher *dispatch.Dispatcher
	quota      *quota.Quota
	quarantine *quarantine.Quarantine
	budgets    *forward.Budgets
	exchange   *peers.Exchange
	// slotClient acquires the slots of calls, and slotServer grants slots to other fronts.
	slotClient *scheduler.Client
	slotServer *scheduler.Server
	front      *platform.Front
	// routingRecord is the record of the active routing. routingMu serializes its replacement.
	routingRecord atomic.Pointer[platform.Record]
	routingMu     sync.Mutex
	// newestReportedRouting is the newest routing that another front reported; nil until one does.
	newestReportedRouting atomic.Pointer[reportedRouting]
	// started is when Run began.
	started time.Time
	// rollouts decides about the operators' roll-outs, of which orders holds the records; orders is
	// guarded by serversMu. wakeRollouts ends the wait for an order.
	rollouts     *rollout.Rollouts
	orders       platform.RolloutOrders
	wakeRollouts notify.Wake
	// serversMu guards servers, expiryFilter, unrouted and addresses.
	serversMu    sync.Mutex
	servers      platform.Servers
	expiryFilter dispatch.ExpiryFilter
	// halls are the halls that the operators suspended; also guarded by serversMu.
	halls platform.SuspendedHalls
	// unrouted holds the incarnations of servers whose service has no route and that were logged.
	unrouted  map[string]bool
	addresses map[string]string // those of the servers listed last, by incarnation
	// pool holds the idle connections to backend servers.
	pool *httpconn.Pool
	// ctx is canceled when Run returns.
	ctx     context.Context
	store   *platform.Store
	watches map[peers.Subject]*platform.Watch
	members *platform.Members
	limits  *platform.LimitUsage
	// suspects stores the suspects of the quarantine.
	suspects *platform.Suspects
	// streamVersions stores the versions that may have begun streams.
	streamVersions *platform.StreamVersions
	// stops counts the times in which this process did not run.
	stops suspend.Stops
	// requesting is set for a subject while its state is requested from another front.
	requesting    map[peers.Subject]*atomic.Bool
	followers     map[peers.Subject]*catchup.Follower
	work          group.Group
	draining      atomic.Bool
	serversListed atomic.Bool
	// initialized is closed once the front has loaded its state; calls are held until then.
	initialized    chan struct{}
	initializeOnce sync.Once
}

// Run runs until stop is closed and the planned stop is complete. When ctx is canceled, it returns
// at once and calls in progress are cut off.
func (d *Front) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx, d.started = ctx, time.Now()
	d.applyResourceLimits()
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	address := d.Settings.PeersAdvertised
	if address == "" {
		address = listeners[frontsListener].Addr().String()
	}
	flush, err := d.build(ctx, address)
	if err != nil {
		closeAll(listeners)
		return err
	}
	defer flush()
	servers := d.buildServers(listeners)
	listeners[callersListener] = &tcp.IdleListener{
		Listener: listeners[callersListener], IdleTimeout: d.idleLimit, MaxOpen: d.maxCallers, OnClose: d.onCallerClosed,
		Watcher: d.newCloseWatcher(),
	}
	var work conc.WaitGroup
	d.startSync(ctx, &work)
	for i, server := range servers {
		work.Go(func() { _ = server.Serve(listeners[i]) })
	}
	work.Go(func() { d.reload(ctx) })
	d.Logger.Info("started", "name", d.Settings.Name, "hall", d.Settings.Hall, "version", Version, "incarnation", d.exchange.Self.Incarnation)
	select {
	case <-ctx.Done():
	case <-stop:
		d.drain(ctx, servers[callersListener])
	}
	for _, server := range servers {
		_ = server.Close()
	}
	cancel()
	work.Wait()
	d.work.Close()
	d.Logger.Info("stopped", "name", d.Settings.Name)
	return nil
}

// applyResourceLimits limits the cores and the memory that the process uses, as set.
func (d *Front) applyResourceLimits() {
	if d.Settings.Cores > 0 {
		runtime.GOMAXPROCS(d.Settings.Cores)
	}
	if d.Settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(d.Settings.MemoryMB<<20)))
	}
}

// build assembles the components; address is where other fronts reach this one. The returned
// function sends the last trace spans.
func (d *Front) build(ctx context.Context, address string) (func(), error) {
	s := d.Settings
	var err error
	if d.metrics, err = newMetrics(); err != nil {
		return nil, err
	}
	if d.DroppedLines != nil {
		if err := d.metrics.WatchDroppedLines(d.DroppedLines); err != nil {
			return nil, errorx.Decorate(err, "count dropped log lines")
		}
	}
	tracer, flushSpans, err := newTracer(ctx, s.Name, s.Traces)
	if err != nil {
		return nil, err
	}
	dial := tcp.Options{PeerTimeout: s.PeerTimeout}.Dial
	self := peers.Member{Name: s.Name, Address: address, Hall: s.Hall, Incarnation: runworks.NewIncarnation(), CPU: s.CPUShare}
	d.dispatcher = &dispatch.Dispatcher{
		Self: self.Incarnation, Hall: s.Hall, OnEject: d.onEject, OnUnresponsive: d.onUnresponsive, OnPeerEject: d.onPeerEject, OnRateLimit: d.onRateLimit, RequestPermits: d.requestPermits,
		ForecastByEngine: d.callersCompete(),
		OnDraining:       d.onDraining, OnBackoff: d.onBackoff, ColdStart: d.coldStart, OnRefuse: d.onRefuse,
		SendServerNotice: func(notice runworks.ServerNotice) { d.exchange.SendServerNotice(notice) },
	}
	d.rollouts = d.newRollouts(self.Incarnation)
	d.quota = &quota.Quota{Self: self.Incarnation, Window: s.QuotaWindow, Started: time.Now()}
	d.dispatcher.CustomerUse = d.quota.Consumed
	d.budgets = &forward.Budgets{Ratio: s.RetryRatio, Slack: s.RetrySlack, Started: time.Now(), Window: s.RetryWindow}
	d.quarantine = d.newQuarantine()
	d.initialized = make(chan struct{})
	d.pool = &httpconn.Pool{Dial: dial, MatchResponse: platform.AnswersRequest, WhichServer: platform.WhichServer}
	d.forwarder = &forward.Forwarder{
		Ready: d.initialized, Dispatcher: d.dispatcher, Quota: d.quota, Budgets: d.budgets, Quarantine: d.quarantine, Logger: d.Logger, Metrics: d.metrics, Tracer: tracer,
		Sender: &platform.Sender{Pool: d.pool}, Regions: s.Regions,
		NewerRouting: d.newerRouting,
		Memory:       forward.Memory{Limit: int64(heldFraction * float64(s.MemoryMB<<20))}, MaxResponseBytes: s.MaxResponseBytes,
		CompleteAtClose: s.CompleteAtClose,
	}
	d.front = &platform.Front{Forwarder: d.forwarder, Logger: d.Logger, MaxBodyBytes: s.MaxBodyBytes}
	d.store = &platform.Store{Address: s.Store, Client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: httpconn.MaxHeadBytes}}, OnRestored: d.onStoreRestored, OnNoResponse: d.onNoStoreResponse, OnSilent: d.onSilentStoreConn}
	d.exchange = &peers.Exchange{
		Self: self,
		Dial: dial, Keys: rpc.FleetKeys(s.FleetKeys), Logger: d.Logger,
		Heartbeat: d.heartbeat, OnHeartbeat: d.onHeartbeat, OnUnreachable: d.onUnreachable, OnReplaced: d.onReplaced, State: d.state, OnChange: d.onChange, ChangesSince: d.changesSince,
		LimitUpdates:  func() runworks.LimitUse { return d.quota.Updates(time.Now()) },
		LimitSnapshot: func() runworks.LimitUse { return d.quota.FullUse(time.Now()) },
		OnRollouts:    d.onRolloutReports,
		OnHandshake:   d.onHandshake, OnSettled: d.admitHeldCalls,
		Suspects:      func() []runworks.Suspect { return d.quarantine.List(time.Now()) },
		OnSuspects:    func(_ string, list []runworks.Suspect) { d.quarantine.Apply(time.Now(), list) },
		ServerNotices: d.dispatcher.ServerNotices, OnServerNotices: d.dispatcher.ApplyNotices, TransferPermits: d.dispatcher.TransferPermits,
		EngineModels: d.engineModels(),
	}
	d.buildStreamOrigins()
	d.buildScheduler()
	if err := d.watchState(); err != nil {
		flushSpans()
		return nil, err
	}
	d.suspects = &platform.Suspects{Store: d.store, Quarantine: d.quarantine, Front: s.Name, Logger: d.Logger, OnFirstReadDone: d.admitHeldCalls}
	d.buildWatches()
	return flushSpans, nil
}

// idleLimit returns how long a caller's connection may be idle.
func (d *Front) idleLimit() time.Duration {
	if table := d.forwarder.Table.Load(); table != nil && table.Routing.Limits.IdleTimeout > 0 {
		return table.Routing.Limits.IdleTimeout
	}
	return idleTimeout
}

// ready returns nil if the front can take calls, or the reason why it cannot.
func (d *Front) ready() error {
	switch {
	case d.draining.Load():
		return runworks.ErrStopping
	case d.forwarder.Table.Load() == nil:
		return runworks.ErrNotReady
	case !d.quota.Ready(time.Now()):
		return errorx.Decorate(runworks.ErrNotReady, "what customers drew before the start is not known")
	case !d.exchange.Settled(time.Now()):
		return errorx.Decorate(runworks.ErrNotReady, "no other front was heard yet")
	case !d.suspects.FirstReadDone():
		return errorx.Decorate(runworks.ErrNotReady, "the requests that end backend servers are not known")
	case !d.streamVersions.FirstReadDone():
		return errorx.Decorate(runworks.ErrNotReady, "the versions that may have begun streams are not known")
	case !d.isInitialized() && d.routingBehind(time.Now()):
		return errorx.Decorate(runworks.ErrNotReady, "another front has a newer routing")
	case !d.serversListed.Load():
		return errorx.Decorate(runworks.ErrNotReady, "no list of backend servers was read")
	}
	return nil
}

// admitHeldCalls releases the calls that were held since the start, if the front has loaded its
// state.
func (d *Front) admitHeldCalls() {
	if d.isInitialized() {
		return
	}
	if d.ready() == nil {
		d.initializeOnce.Do(func() { close(d.initialized) })
	}
}

// reload applies changed settings, of those that need no restart.
func (d *Front) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Reload:
		}
		s, err := d.LoadSettings()
		if err != nil {
			d.Logger.Error("settings refused; keeping the active settings", "error", err.Error())
			continue
		}
		d.budgets.Configure(s.RetryRatio, s.RetrySlack)
		d.Logger.Info("settings reloaded", "retry_ratio", s.RetryRatio, "retry_slack", s.RetrySlack)
	}
}
