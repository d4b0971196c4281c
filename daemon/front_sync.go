package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/catchup"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
	"github.com/runworks/runworks/services/route"
)

// buildWatches builds the components that follow the topics of the store.
func (d *Front) buildWatches() {
	routing := &platform.Watch{Topic: platform.TopicOperators}
	routing.OnState = func(records []platform.Record, _ bool) { d.onOperators(records, d.halls.Reset, d.orders.Reset) }
	routing.OnChange = func(records []platform.Record) { d.onOperators(records, d.halls.Apply, d.orders.Apply) }
	servers := &platform.Watch{Topic: platform.TopicServers}
	servers.OnState = func(records []platform.Record, restored bool) { d.onServers(records, d.servers.Reset, restored) }
	servers.OnChange = func(records []platform.Record) { d.onServers(records, d.servers.Apply, false) }
	d.watches = map[peers.Subject]*platform.Watch{peers.SubjectRouting: routing, peers.SubjectServers: servers}
	d.requesting = map[peers.Subject]*atomic.Bool{}
	d.requesting[peers.SubjectLimits] = &atomic.Bool{}
	d.followers = map[peers.Subject]*catchup.Follower{}
	for subject, w := range d.watches {
		d.requesting[subject] = &atomic.Bool{}
		w.Store, w.Logger = d.store, d.Logger
		w.ReaderCount = func() int { return min(d.exchange.LiveCount()+1, peers.StoreReaders) }
		w.ShouldRead = d.exchange.ReadsStore
		f := &catchup.Follower{
			Subject: subject, Topic: w, Logger: d.Logger, Context: d.ctx, Go: d.work.Go, PeerCount: d.exchange.LiveCount,
			SendChange: d.exchange.SendChange, RequestChanges: d.exchange.RequestChanges,
			RequestState: func(name string) { d.requestOnce(subject, func() { d.syncFromPeer(name, subject, w) }) },
		}
		w.OnRead = f.Send
		d.followers[subject] = f
	}
	d.members = &platform.Members{Store: d.store, Self: d.exchange.Self, Logger: d.Logger, OnMembers: d.onMembers}
	d.members.FrontCount = func() int { return d.exchange.LiveCount() + 1 }
	d.limits = &platform.LimitUsage{Store: d.store, Quota: d.quota, Logger: d.Logger, OnLoaded: d.admitHeldCalls}
}

// startSync starts the components that keep this front's state up to date.
func (d *Front) startSync(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() { d.exchange.Run(ctx) })
	wg.Go(func() { d.dispatcher.Run(ctx) })
	wg.Go(func() { d.slotClient.Run(ctx) })
	for _, w := range d.watches {
		wg.Go(func() { w.Run(ctx) })
	}
	wg.Go(func() { d.members.Run(ctx) })
	wg.Go(func() { d.limits.Run(ctx) })
	wg.Go(func() { d.suspects.Run(ctx) })
	wg.Go(func() { d.streamVersions.Run(ctx) })
	wg.Go(func() { d.watchSuspensions(ctx) })
	wg.Go(func() { _ = d.stops.Run(ctx) }) // countStops logs the error
	wg.Go(func() { d.shareEngineModels(ctx) })
	wg.Go(func() { d.runRollouts(ctx) })
}

// state returns this front's state of a subject, for other fronts.
func (d *Front) state(subject peers.Subject) (any, error) {
	if subject == peers.SubjectLimits {
		return d.quota.State(time.Now()), nil
	}
	if subject == peers.SubjectStreams {
		return peers.StreamState{Origins: d.exchange.StreamOrigins(), Versions: d.exchange.StreamVersions()}, nil
	}
	w := d.watches[subject]
	if w == nil {
		return nil, errorx.IllegalArgument.New("%s is not followed", subject)
	}
	s := w.Snapshot()
	if s == nil {
		return nil, errorx.Decorate(runworks.ErrNotReady, "nothing is known of %s", subject)
	}
	if subject == peers.SubjectRouting {
		s.Put(d.routingRecord.Load())
	}
	return s, nil
}

// requestOnce runs a request to another front, unless one for the subject is in progress.
func (d *Front) requestOnce(subject peers.Subject, request func()) {
	requesting := d.requesting[subject]
	if !requesting.CompareAndSwap(false, true) {
		return
	}
	d.work.Go(func() {
		defer requesting.Store(false)
		request()
	})
}

// requestState requests another front's state of a subject and reports whether it was received.
func (d *Front) requestState(from string, subject peers.Subject, out any) bool {
	err := d.exchange.RequestState(context.Background(), from, subject, out)
	if err != nil {
		d.Logger.Warn("request for the state of another front failed", "name", from, "subject", subject, "error", err.Error())
	}
	return err == nil
}

// syncFromPeer requests and applies another front's state of a subject.
func (d *Front) syncFromPeer(from string, subject peers.Subject, w *platform.Watch) {
	var s platform.Snapshot
	if !d.requestState(from, subject, &s) {
		return
	}
	if w.ApplySnapshot(&s) {
		d.Logger.Info("applied the state of another front", "name", from, "subject", subject, "era", s.Era, "offset", s.Offset)
		return
	}
	if subject == peers.SubjectRouting {
		d.onRouting(s.Records) // the version orders routing documents, whatever their source
	}
}

// onOperators applies records of the operators: suspended halls, the routing document and orders to
// roll out a version.
func (d *Front) onOperators(records []platform.Record, applyHalls func(time.Time, []platform.Record), applyOrders func([]platform.Record) []platform.BadRecord) {
	d.onSuspendedHalls(records, applyHalls)
	d.onRouting(records)
	d.onOrders(records, applyOrders)
}

// onRouting activates the newest routing document of records, and never an older one than the active
// one.
func (d *Front) onRouting(records []platform.Record) {
	d.routingMu.Lock()
	defer d.routingMu.Unlock()
	for _, r := range platform.RoutingRecords(records) {
		routing, err := platform.DecodeRouting(r.Value)
		if err != nil {
			metrics.Count(d.metrics.BadRecords)
			d.Logger.Error("routing refused; keeping the active routing", "error", err.Error())
			continue // an older one of the same page may be valid
		}
		d.activateRouting(&r, routing)
		return
	}
}

// activateRouting makes a routing the active one if it is newer.
func (d *Front) activateRouting(r *platform.Record, routing *runworks.Routing) {
	old := d.forwarder.Table.Load()
	if old != nil && old.Routing.Version >= routing.Version {
		return
	}
	table := route.NewTable(routing)
	d.routingRecord.Store(r)
	d.forwarder.Origins.MoveStreams(time.Now(), route.MovedServices(old, table)) // before a call is handled by the new one
	d.forwarder.Table.Store(table)
	d.admitHeldCalls()
	if old == nil || !slices.Equal(old.Routing.Services, routing.Services) {
		d.onServicesChanged()
	}
	d.Logger.Info("routing active", "routing_version", routing.Version, "routes", len(routing.Routes), "customers", len(routing.Customers), "behind_ms", d.behindMs(time.Now(), routing.Version))
}

// onStoreRestored is called when the store was restored from an older copy. It reloads the topics
// that the platform writes and rewrites the records of the fronts.
func (d *Front) onStoreRestored(era int64) {
	metrics.Count(d.metrics.StoreRestores)
	d.Logger.Warn("the store was restored from an older copy", "era", era)
	for _, w := range d.watches {
		w.StoreRestored(era)
	}
	d.members.StoreRestored()
	d.suspects.StoreRestored()
	d.forwarder.Origins.RecordLost(time.Now())
	d.rollouts.StoreRestored()
	d.wakeRollouts.Signal()
	d.quota.RecordLost(time.Now())
}

func (d *Front) onNoStoreResponse(c *platform.CallConn) {
	metrics.Count(d.metrics.StoreTimeouts, metrics.Connection(c.Reused()))
}

func (d *Front) onSilentStoreConn(c *platform.CallConn) {
	d.onNoStoreResponse(c)
	d.Logger.Warn("the store responded on a new connection only", "first", c.String())
}

func (d *Front) heartbeat() peers.Heartbeat {
	b := peers.Heartbeat{Load: d.dispatcher.LocalLoad(), Positions: map[peers.Subject]runworks.Position{}, RoutingVersion: d.routingVersion(), Stopping: d.draining.Load()}
	for subject, w := range d.watches {
		b.Positions[subject] = w.Position()
		b.StoreLost = b.StoreLost || w.StoreLost()
	}
	return b
}

func (d *Front) onHeartbeat(now time.Time, b *peers.Heartbeat) {
	d.dispatcher.SetPeerLoad(b.From.Incarnation, b.Load)
	d.quota.ApplyUpdates(now, b.From.Incarnation, b.Limits)
	if b.Limits.Complete && d.quota.NeedsState(now) && d.exchange.Connected(b.From.Name) {
		d.requestOnce(peers.SubjectLimits, func() { d.syncLimitsFromPeer(b.From.Name) })
	}
	d.budgets.SetEntries(d.exchange.LiveCount() + 1)
	d.admitHeldCalls()
	for _, c := range b.Changes {
		d.onChange(b.From.Name, &c)
	}
	for subject, position := range b.Positions {
		if f := d.followers[subject]; f != nil {
			f.Announced(b.From.Name, position)
		}
	}
	d.catchUpRouting(b.From.Name, b.RoutingVersion)
}

// onChange applies a change that another front passed on.
func (d *Front) onChange(from string, c *peers.Change) {
	if f := d.followers[c.Subject]; f != nil {
		f.Receive(from, c)
	}
}

// changesSince returns the changes of a subject since a position, for another front.
func (d *Front) changesSince(subject peers.Subject, since runworks.Position) (*peers.Change, error) {
	f := d.followers[subject]
	if f == nil {
		return nil, errorx.IllegalArgument.New("%s is not followed", subject)
	}
	return f.Since(since)
}

func (d *Front) onMembers(list []peers.Member) {
	d.exchange.SetMembers(list)
	d.admitHeldCalls()
}

// onHandshake applies another front's usage of the customers' limits.
func (d *Front) onHandshake(now time.Time, b *peers.Heartbeat) {
	d.quota.ApplyFullUse(now, b.From.Incarnation, b.Limits)
}

// syncLimitsFromPeer requests from another front the usage of the customers' limits before this
// front started, including that of ended incarnations.
func (d *Front) syncLimitsFromPeer(from string) {
	var s runworks.LimitState
	if d.requestState(from, peers.SubjectLimits, &s) && d.quota.ApplyState(time.Now(), &s) {
		d.Logger.Info("applied the limit usage from another front", "name", from, "lives", len(s.Incarnations))
		d.admitHeldCalls()
	}
}

func (d *Front) onReplaced(old runworks.Incarnation) {
	d.dispatcher.RemovePeer(old)
	d.slotServer.Lost(old)
	d.slotClient.Disconnected(old)
	d.quota.EndIncarnation(time.Now(), old)
}

func (d *Front) onUnreachable(from runworks.Incarnation) {
	d.dispatcher.MarkPeerUnreachable(from)
	d.slotServer.Lost(from)
	d.slotClient.Disconnected(from)
}

// requestPermits requests the permits of a backend server's rate limit that another front does not
// need.
func (d *Front) requestPermits(transfer *dispatch.PermitTransfer) {
	started := d.work.Go(func() {
		n, err := d.exchange.RequestPermits(d.ctx, transfer.Donor, peers.PermitRequest{Server: transfer.Server, Permits: transfer.Permits})
		if err != nil {
			d.Logger.Warn("permit request to another front failed", "incarnation", transfer.Donor, "server", transfer.Server, "error", err.Error())
		}
		d.dispatcher.FinishTransfer(transfer, n)
	})
	if !started {
		d.Logger.Info("no permits requested: the front is stopping", "server", transfer.Server)
	}
}
