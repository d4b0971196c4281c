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
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
	"github.com/runworks/runworks/services/route"
)

// maxToldBytes bounds the changes that a front tells all others: with a hundred of them, on
// a link of 20 Mbit/s, so much is sent within 1.3 s. What is larger each reads itself.
const maxToldBytes = 32 << 10

// watch builds what keeps this front's knowledge up to date.
func (d *Front) watch() {
	routing := &platform.Watch{Topic: platform.TopicOperators, OnChange: d.onRouting}
	routing.OnState = func(records []platform.Record, _ bool) { d.onRouting(records) }
	servers := &platform.Watch{Topic: platform.TopicServers}
	servers.OnState = func(records []platform.Record, returned bool) { d.onServers(records, d.servers.Reset, returned) }
	servers.OnChange = func(records []platform.Record) { d.onServers(records, d.servers.Apply, false) }
	d.watches = map[peers.Subject]*platform.Watch{peers.SubjectRouting: routing, peers.SubjectServers: servers}
	d.asking = map[peers.Subject]*atomic.Bool{}
	d.asking[peers.SubjectLimits] = &atomic.Bool{}
	for subject, w := range d.watches {
		d.asking[subject] = &atomic.Bool{}
		w.Store, w.Logger = d.store, d.Logger
		w.ReaderCount = func() int { return min(d.exchange.LiveCount()+1, peers.StoreReaders) }
		w.ListenerCount = d.exchange.LiveCount
		w.ShouldRead = d.exchange.ReadsStore
		w.OnRead = func(from runworks.Position, page *platform.Page) { d.tell(subject, from, page) }
	}
	d.members = &platform.Members{Store: d.store, Self: d.exchange.Self, Logger: d.Logger, OnMembers: d.onMembers}
	d.members.FrontCount = func() int { return d.exchange.LiveCount() + 1 }
	d.limits = &platform.LimitUsage{Store: d.store, Quota: d.quota, Logger: d.Logger, OnLoaded: d.takeHeld}
}

// follow keeps this front's knowledge up to date.
func (d *Front) follow(ctx context.Context, work *conc.WaitGroup) {
	work.Go(func() { d.exchange.Run(ctx) })
	work.Go(func() { d.dispatcher.Run(ctx) })
	for _, w := range d.watches {
		work.Go(func() { w.Run(ctx) })
	}
	work.Go(func() { d.members.Run(ctx) })
	work.Go(func() { d.limits.Run(ctx) })
	work.Go(func() { d.suspects.Run(ctx) })
	work.Go(func() { d.watchSuspensions(ctx) })
}

// state gives what this front knows of a subject, for other fronts.
func (d *Front) state(subject peers.Subject) (any, error) {
	if subject == peers.SubjectLimits {
		return d.quota.State(time.Now()), nil
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
		s.Put(d.document.Load())
	}
	return s, nil
}

// tell tells the other fronts what this one read from the store.
func (d *Front) tell(subject peers.Subject, from runworks.Position, page *platform.Page) {
	size := 0
	for _, r := range page.Records {
		size += len(r.Key) + len(r.Value)
	}
	if size > maxToldBytes {
		return // they read it themselves, as their positions show it
	}
	d.exchange.SendChange(peers.Change{Subject: subject, From: from, Next: page.Next, Records: page.Records})
}

// told takes what another front read from the store.
func (d *Front) told(from string, c *peers.Change) {
	if w := d.watches[c.Subject]; w != nil && w.ApplyChanges(c.From, c.Next, c.Records) {
		d.Logger.Info("changes told by another front", "name", from, "subject", c.Subject, "era", c.Next.Era, "from_offset", c.From.Offset, "offset", c.Next.Offset, "records", len(c.Records))
	}
}

// catchUp learns what another front knows already: from the store, or from that
// front while the store can't be read.
func (d *Front) catchUp(from string, subject peers.Subject, position runworks.Position) {
	w := d.watches[subject]
	if w == nil || !position.After(w.Position()) {
		return
	}
	if !w.StoreLost() {
		w.NotifyPosition(position)
		return
	}
	d.ask(subject, func() { d.learn(from, subject, w) })
}

// ask runs a question to another front, unless one on the subject is on its way.
func (d *Front) ask(subject peers.Subject, question func()) {
	asking := d.asking[subject]
	if !asking.CompareAndSwap(false, true) {
		return
	}
	d.work.Go(func() {
		defer asking.Store(false)
		question()
	})
}

// askState asks another front for what it knows of a subject, and says whether it told.
func (d *Front) askState(from string, subject peers.Subject, out any) bool {
	err := d.exchange.RequestState(context.Background(), from, subject, out)
	if err != nil {
		d.Logger.Warn("another front could not be asked", "name", from, "subject", subject, "error", err.Error())
	}
	return err == nil
}

// learn asks another front for what it knows of a subject.
func (d *Front) learn(from string, subject peers.Subject, w *platform.Watch) {
	var s platform.Snapshot
	if !d.askState(from, subject, &s) {
		return
	}
	if w.ApplySnapshot(&s) {
		d.Logger.Info("learned from another front", "name", from, "subject", subject, "era", s.Era, "offset", s.Offset)
		return
	}
	if subject == peers.SubjectRouting {
		d.onRouting(s.Records) // the document is ordered by its version, wherever it comes from
	}
}

// onRouting puts the newest document in force; it never goes back to an older one.
func (d *Front) onRouting(records []platform.Record) {
	d.routingMu.Lock()
	defer d.routingMu.Unlock()
	for _, r := range records {
		if r.Key != platform.KeyRouting || len(r.Value) == 0 {
			continue
		}
		routing, err := platform.DecodeRouting(r.Value)
		if err != nil {
			d.Logger.Error("routing refused, the one in force stays", "error", err.Error())
			continue
		}
		old := d.forwarder.Table.Load()
		if old != nil && old.Routing.Version >= routing.Version {
			continue
		}
		d.document.Store(&r)
		d.forwarder.Table.Store(route.NewTable(routing))
		d.takeHeld()
		if old == nil || !slices.Equal(old.Routing.Services, routing.Services) {
			d.servicesChanged()
		}
		d.Logger.Info("routing in force", "routing_version", routing.Version, "routes", len(routing.Routes), "customers", len(routing.Customers))
	}
}

// onReturn reads the topics anew that the platform writes, and has put back what fronts wrote.
func (d *Front) onReturn(era int64) {
	metrics.Count(d.metrics.StoreRestores)
	d.Logger.Warn("the store came back from an older copy", "era", era)
	for _, w := range d.watches {
		w.StoreRestored(era)
	}
	d.members.StoreRestored()
	d.suspects.StoreRestored()
	d.quota.RecordLost(time.Now())
}

func (d *Front) beat() peers.Heartbeat {
	b := peers.Heartbeat{Load: d.dispatcher.LocalLoad(), Positions: map[peers.Subject]runworks.Position{}, RoutingVersion: d.routingVersion()}
	for subject, w := range d.watches {
		b.Positions[subject] = w.Position()
		b.StoreLost = b.StoreLost || w.StoreLost()
	}
	return b
}

func (d *Front) onBeat(now time.Time, b *peers.Heartbeat) {
	d.dispatcher.SetPeerLoad(b.From.Incarnation, b.Load)
	d.quota.ApplyUpdates(now, b.From.Incarnation, b.Limits)
	if b.Limits.Complete && d.quota.NeedsState(now) && d.exchange.Connected(b.From.Name) {
		d.ask(peers.SubjectLimits, func() { d.learnLimits(b.From.Name) })
	}
	d.budgets.SetEntries(d.exchange.LiveCount() + 1)
	d.takeHeld()
	for _, c := range b.Changes {
		d.told(b.From.Name, &c)
	}
	for subject, position := range b.Positions {
		d.catchUp(b.From.Name, subject, position)
	}
	d.catchUpRouting(b.From.Name, b.RoutingVersion)
}

func (d *Front) onMembers(list []peers.Member) {
	d.exchange.SetMembers(list)
	d.takeHeld()
}

// onGreeting takes what another front used of the customers' limits.
func (d *Front) onGreeting(now time.Time, b *peers.Heartbeat) {
	d.quota.ApplyFullUse(now, b.From.Incarnation, b.Limits)
}

// learnLimits asks another front for what was drawn of the customers' limits before this
// one's start, also by lives that are over.
func (d *Front) learnLimits(from string) {
	var s runworks.LimitState
	if d.askState(from, peers.SubjectLimits, &s) && d.quota.ApplyState(time.Now(), &s) {
		d.Logger.Info("limits told by another front", "name", from, "lives", len(s.Incarnations))
		d.takeHeld()
	}
}

func (d *Front) onReplaced(old runworks.Incarnation) {
	d.dispatcher.RemovePeer(old)
	d.quota.EndIncarnation(time.Now(), old)
}

func (d *Front) onGone(from runworks.Incarnation) {
	d.dispatcher.MarkPeerUnreachable(from)
}

// onWant asks another front for what it has at hand of a backend server's limit.
func (d *Front) onWant(loan *dispatch.PermitTransfer) {
	asked := d.work.Go(func() {
		n, err := d.exchange.RequestPermits(d.ctx, loan.Donor, peers.PermitRequest{Server: loan.Server, Permits: loan.Permits})
		if err != nil {
			d.Logger.Warn("another front could not be asked for a loan", "incarnation", loan.Donor, "server", loan.Server, "error", err.Error())
		}
		d.dispatcher.FinishTransfer(loan, n)
	})
	if !asked {
		d.Logger.Info("no loan is asked for, the front stops", "server", loan.Server)
	}
}
