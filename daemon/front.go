package daemon

import (
	"context"
	"net"
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
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/modules/setting"
	"github.com/runworks/runworks/modules/tcp"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/routers/operators"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/forward"
	"github.com/runworks/runworks/services/peers"
	"github.com/runworks/runworks/services/quarantine"
	"github.com/runworks/runworks/services/quota"
)

const (
	// heapFraction is the part of the memory limit that the Go heap may take: the
	// rest is for stacks and for bytes that wait in sockets.
	heapFraction = 0.6
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 3 * time.Second
	// idleTimeout bounds how long a caller's connection rests, as long as no routing
	// says otherwise.
	idleTimeout = 15 * time.Second
)

// Front runs a front by its settings.
type Front struct {
	Settings *setting.Front
	Logger   hclog.Logger
	// DroppedLines gives how many log lines were dropped; nil is none.
	DroppedLines func() int64
	// Reload is told to read the settings again; LoadSettings reads them.
	Reload       <-chan struct{}
	LoadSettings func() (*setting.Front, error)

	metrics    *metrics.Set
	forwarder  *forward.Forwarder
	dispatcher *dispatch.Dispatcher
	quota      *quota.Quota
	quarantine *quarantine.Quarantine
	budgets    *forward.Budgets
	exchange   *peers.Exchange
	front      *platform.Front
	// routingRecord is the record of the routing in force, and routingMu lets one newer follow.
	routingRecord atomic.Pointer[platform.Record]
	routingMu     sync.Mutex
	// newestReportedRouting is the newest version of the routing that another front told of.
	newestReportedRouting atomic.Int64
	// started is when Run began.
	started time.Time
	// serversMu guards what is known of the backend servers' records.
	serversMu    sync.Mutex
	servers      platform.Servers
	expiryFilter dispatch.ExpiryFilter
	// unrouted are the lives of servers whose services no route names, as they were told of.
	unrouted map[string]bool
	// pool keeps the connections to backend servers.
	pool *httpconn.Pool
	// ctx ends with Run.
	ctx     context.Context
	store   *platform.Store
	watches map[peers.Subject]*platform.Watch
	members *platform.Members
	limits  *platform.LimitUsage
	// suspects keeps the quarantine's record.
	suspects *platform.Suspects
	// requesting holds the subjects that another front is being asked for.
	requesting    map[peers.Subject]*atomic.Bool
	work          group.Group
	draining      atomic.Bool
	serversListed atomic.Bool
	// initialized is closed once the front has read its state.
	initialized    chan struct{}
	initializeOnce sync.Once
}

// Run runs until stop is closed and the planned stop is over; the end of ctx
// cuts everything.
func (d *Front) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx, d.started = ctx, time.Now()
	d.applyResourceLimits()
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	flush, err := d.build(ctx, listeners[frontsListener].Addr().String())
	if err != nil {
		closeAll(listeners)
		return err
	}
	defer flush()
	servers := d.buildServers(listeners)
	listeners[callersListener] = &tcp.IdleListener{Listener: listeners[callersListener], IdleTimeout: d.idleLimit}
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

// applyResourceLimits keeps the process inside its share of the host.
func (d *Front) applyResourceLimits() {
	if d.Settings.Cores > 0 {
		runtime.GOMAXPROCS(d.Settings.Cores)
	}
	if d.Settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(d.Settings.MemoryMB<<20)))
	}
}

// build puts the parts together; address is where other fronts reach this one.
// The function it gives sends the last spans.
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
	self := peers.Member{Name: s.Name, Address: address, Hall: s.Hall, Incarnation: runworks.NewIncarnation()}
	d.dispatcher = &dispatch.Dispatcher{
		Self: self.Incarnation, Hall: s.Hall, OnEject: d.onEject, OnUnresponsive: d.onUnresponsive, OnPeerEject: d.onPeerEject, OnRateLimit: d.onRateLimit, RequestPermits: d.requestPermits,
		OnDraining: d.onDraining, OnBackoff: d.onBackoff,
		SendServerNotice: func(notice runworks.ServerNotice) { d.exchange.SendServerNotice(notice) },
	}
	d.quota = &quota.Quota{Self: self.Incarnation, Window: s.QuotaWindow, Started: time.Now()}
	d.budgets = &forward.Budgets{Ratio: s.RetryRatio, Slack: s.RetrySlack, Started: time.Now(), Window: s.RetryWindow}
	d.quarantine = &quarantine.Quarantine{ExitThreshold: s.QuarantineAfter, Duration: s.QuarantineFor, OnUpdate: d.onSuspect, OnQuarantine: d.onQuarantine, OnRelease: d.onRelease}
	d.initialized = make(chan struct{})
	d.pool = &httpconn.Pool{Dial: dial, MatchResponse: platform.AnswersRequest}
	d.forwarder = &forward.Forwarder{
		Ready: d.initialized, Dispatcher: d.dispatcher, Quota: d.quota, Budgets: d.budgets, Quarantine: d.quarantine, Logger: d.Logger, Metrics: d.metrics, Tracer: tracer,
		Sender: &platform.Sender{Pool: d.pool},
	}
	d.front = &platform.Front{Forwarder: d.forwarder, Logger: d.Logger, MaxBodyBytes: s.MaxBodyBytes}
	d.store = &platform.Store{Address: s.Store, Client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}, OnRestored: d.onStoreRestored}
	d.exchange = &peers.Exchange{
		Self: self,
		Dial: dial, Keys: rpc.FleetKeys(s.FleetKeys), Logger: d.Logger,
		Heartbeat: d.heartbeat, OnHeartbeat: d.onHeartbeat, OnUnreachable: d.onUnreachable, OnReplaced: d.onReplaced, State: d.state,
		LimitUpdates:  func() runworks.LimitUse { return d.quota.Updates(time.Now()) },
		LimitSnapshot: func() runworks.LimitUse { return d.quota.FullUse(time.Now()) },
		OnHandshake:   d.onHandshake, OnSettled: d.admitHeldCalls,
		Suspects:      func() []runworks.Suspect { return d.quarantine.List(time.Now()) },
		OnSuspects:    func(_ string, list []runworks.Suspect) { d.quarantine.Apply(time.Now(), list) },
		ServerNotices: d.dispatcher.ServerNotices, OnServerNotices: d.dispatcher.ApplyNotices, TransferPermits: d.dispatcher.TransferPermits,
	}
	d.suspects = &platform.Suspects{Store: d.store, Quarantine: d.quarantine, Front: s.Name, Logger: d.Logger, OnFirstReadDone: d.admitHeldCalls}
	d.buildWatches()
	return flushSpans, nil
}

// The listeners of a front.
const (
	callersListener = iota
	balancerListener
	frontsListener
	operatorsListener
)

// listen opens all listeners.
func (d *Front) listen(ctx context.Context) ([]net.Listener, error) {
	s := d.Settings
	names := []string{callersListener: "callers", balancerListener: "balancer", frontsListener: "fronts", operatorsListener: "operators"}
	addresses := []string{callersListener: s.Listen, balancerListener: s.Ready, frontsListener: s.Peers, operatorsListener: s.Operators}
	var out []net.Listener
	for i, address := range addresses {
		l, err := tcp.Options{PeerTimeout: s.PeerTimeout}.Listen(ctx, address)
		if err != nil {
			closeAll(out)
			return nil, errorx.Decorate(err, "listen for %s on %s", names[i], address)
		}
		out = append(out, l)
		d.Logger.Info("listening", "for", names[i], "address", l.Addr().String())
	}
	return out, nil
}

func closeAll(list []net.Listener) {
	for _, l := range list {
		_ = l.Close()
	}
}

// buildServers builds the servers of the listeners.
func (d *Front) buildServers(listeners []net.Listener) []*http.Server {
	operatorRoutes := &operators.Routes{Ready: d.ready, Metrics: d.metrics, Status: func() any { return d.status() }, Release: d.release}
	handlers := []http.Handler{
		callersListener: d.front, balancerListener: platform.ReadyHandler(d.ready), frontsListener: d.exchange, operatorsListener: operatorRoutes.Handler(),
	}
	out := make([]*http.Server, len(listeners))
	for i, handler := range handlers {
		out[i] = &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: tcp.TrackIdle, ConnContext: tcp.WithConn,
			ErrorLog: d.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
	}
	return out
}

// idleLimit is how long a caller's connection may rest now.
func (d *Front) idleLimit() time.Duration {
	if table := d.forwarder.Table.Load(); table != nil && table.Routing.Limits.IdleTimeout > 0 {
		return table.Routing.Limits.IdleTimeout
	}
	return idleTimeout
}

// ready says whether the front can take calls.
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
	case !d.isInitialized() && d.routingBehind(time.Now()):
		return errorx.Decorate(runworks.ErrNotReady, "another front has a newer routing")
	case !d.serversListed.Load():
		return errorx.Decorate(runworks.ErrNotReady, "no list of backend servers was read")
	}
	return nil
}

// admitHeldCalls lets the calls go on that were held until the front has read its state.
func (d *Front) admitHeldCalls() {
	if d.isInitialized() {
		return
	}
	if d.ready() == nil {
		d.initializeOnce.Do(func() { close(d.initialized) })
	}
}

// reload puts changed settings in force where that needs no start.
func (d *Front) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Reload:
		}
		s, err := d.LoadSettings()
		if err != nil {
			d.Logger.Error("settings refused, the ones in force stay", "error", err.Error())
			continue
		}
		d.budgets.Configure(s.RetryRatio, s.RetrySlack)
		d.Logger.Info("settings read again", "retry_ratio", s.RetryRatio, "retry_slack", s.RetrySlack)
	}
}
