package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/control"
	"github.com/runworks/runworks/services/reservation"
)

const documentTimeout = 2 * time.Second

// link is a control connection to one entry.
type link struct {
	agent  *Agent
	conn   *jsonrpc2.Conn
	source runworks.Incarnation
	name   string
	ready  chan struct{}

	// What follows is guarded by the agent's lock.
	heard time.Time
	// version is the configuration version in force at the entry.
	version int64
}

// ServeControl serves one control connection of an entry until it ends.
func (a *Agent) ServeControl(ctx context.Context, stream *rpc.Stream) {
	l := &link{agent: a, heard: time.Now(), ready: make(chan struct{})}
	stream.OnBytes = a.Metrics.CountControl
	conn := rpc.Serve(ctx, stream, l.handle)
	l.conn = conn
	close(l.ready)
	l.keepAlive(ctx)
	_ = conn.Close()
	a.lost(l)
}

// keepAlive sends beats, and returns once the connection is gone or silent.
func (l *link) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(l.agent.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.agent.life.Done():
			return
		case <-l.conn.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if time.Since(l.lastHeard()) > control.HeartbeatTimeout {
			return
		}
		_ = l.conn.Notify(ctx, control.MethodHeartbeat, l.agent.Heartbeat())
		l.catchUp(ctx)
	}
}

// catchUp takes the configuration of an entry that has a newer one, as after a
// cut between this host and the log service.
func (l *link) catchUp(ctx context.Context) {
	l.agent.mu.Lock()
	behind := l.version > l.agent.Config.Version()
	l.agent.mu.Unlock()
	if !behind {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	var doc control.Document
	if err := l.conn.Call(ctx, control.MethodConfig, nil, &doc); err == nil {
		l.agent.Config.ApplyDocument(doc.Version, doc.Config)
	}
}

func (l *link) lastHeard() time.Time {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	return l.heard
}

// handle answers one message of the entry.
func (l *link) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	<-l.ready
	l.agent.mu.Lock()
	l.heard = time.Now()
	l.agent.mu.Unlock()
	switch method {
	case control.MethodHello:
		return l.hello(params)
	case control.MethodHeartbeat:
		return nil, l.beat(params)
	case control.MethodReservations:
		return nil, l.tickets(ctx, params)
	case control.MethodRevoke:
		return l.revoke(params)
	case control.MethodConfig:
		return l.agent.document(), nil
	case control.MethodKeyClaim, control.MethodKeyBind, control.MethodKeyRelease, control.MethodKeyHandover, control.MethodKeyLookup:
		return l.key(method, params)
	}
	return nil, errorx.UnsupportedOperation.New("method %q is not known", method)
}

func (l *link) beat(params json.RawMessage) error {
	var b control.Heartbeat
	if err := control.Decode(params, &b); err != nil {
		return err
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	l.version = b.Version
	return nil
}

func (l *link) hello(params json.RawMessage) (any, error) {
	var h control.Hello
	if err := control.Decode(params, &h); err != nil {
		return nil, err
	}
	a := l.agent
	a.mu.Lock()
	l.source, l.name, l.version = h.Incarnation, h.Name, h.Version
	old := a.links[h.Incarnation]
	a.links[h.Incarnation] = l
	a.queue.RemoveSource(h.Incarnation)
	beat := a.beatLocked()
	a.mu.Unlock()
	if old != nil {
		_ = old.conn.Close()
	}
	reply := control.HelloReply{Server: a.Server, Heartbeat: beat}
	reply.Hello = control.Hello{ProgramVersion: a.ProgramVersion, Name: a.Name, Incarnation: a.incarnation, Version: beat.Version}
	return reply, nil
}

// lost forgets a connection with the tickets that came over it. Requests that
// run go on: their entry may come back for them.
func (a *Agent) lost(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.source == "" || a.links[l.source] != l {
		return
	}
	delete(a.links, l.source)
	a.queue.RemoveSource(l.source)
	a.keys.ReleaseSource(l.source)
	a.changed.Signal()
}

func (a *Agent) document() control.Document {
	now := a.Config.Active()
	if now == nil {
		return control.Document{}
	}
	return control.Document{Version: now.Version, Config: now.Config}
}

// tickets takes a batch and tells the entry which ones are not held.
func (l *link) tickets(ctx context.Context, params json.RawMessage) error {
	var t control.Reservations
	if err := control.Decode(params, &t); err != nil {
		return err
	}
	a := l.agent
	a.mu.Lock()
	var refused control.Refusals
	for i := range t.Place {
		if reason := a.offerLocked(l, &t.Place[i]); reason != "" {
			refused.List = append(refused.List, control.Refusal{ID: t.Place[i].ID, Reason: reason})
			metrics.Count(a.Metrics.ReservationsRefused, metrics.Cause(string(reason)))
		}
	}
	for _, id := range t.Withdraw {
		a.queue.Remove(id)
	}
	a.scheduleLocked()
	a.mu.Unlock()
	if len(refused.List) > 0 {
		_ = l.conn.Notify(ctx, control.MethodRefusals, refused)
	}
	return nil
}

// offerLocked takes one ticket, or gives the reason for refusing it.
func (a *Agent) offerLocked(l *link, t *runworks.Reservation) control.RefusalReason {
	now := time.Now()
	if t.TimeLeft <= 0 || !a.rates.fits(t.Tier, t.Cost(), t.TimeLeft) {
		// No room would help, so lower tiers are not barred.
		return control.RefusedTooLate
	}
	if reason := a.closedLocked(now); reason != "" {
		a.queue.RecordRefusal(now, t.Tier)
		return reason
	}
	w := &reservation.Item{Reservation: *t, Source: l.source, Deadline: now.Add(t.TimeLeft)}
	verdict, victim := a.queue.Offer(now, w, a.busyBelowLocked)
	if victim != nil {
		a.refuseLocked(victim, control.RefusedDropped)
	}
	switch verdict {
	case reservation.Full:
		return control.RefusedFull
	case reservation.BelowThreshold:
		return control.RefusedThreshold
	}
	return ""
}

// closedLocked gives the reason for which no ticket at all is taken now.
func (a *Agent) closedLocked(now time.Time) control.RefusalReason {
	switch {
	case a.leaving:
		return control.RefusedDraining
	case a.slots == 0:
		return control.RefusedUnserved
	case now.Before(a.downTo):
		return control.RefusedDown
	}
	return ""
}

// refuseLocked tells the entry of a ticket that it is no longer held.
func (a *Agent) refuseLocked(w *reservation.Item, reason control.RefusalReason) {
	l := a.links[w.Source]
	if l == nil {
		return
	}
	metrics.Count(a.Metrics.ReservationsRefused, metrics.Cause(string(reason)))
	refused := control.Refusals{List: []control.Refusal{{ID: w.ID, Reason: reason}}}
	a.work.Go(func() { _ = l.conn.Notify(a.life, control.MethodRefusals, refused) })
}

// giveBackLocked refuses all waiting tickets.
func (a *Agent) giveBackLocked(reason control.RefusalReason) {
	for _, w := range a.queue.Drain() {
		a.refuseLocked(w, reason)
	}
}
