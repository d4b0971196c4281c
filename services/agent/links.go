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

const configTimeout = 2 * time.Second

// link is a control connection to one entry.
type link struct {
	agent  *Agent
	conn   *jsonrpc2.Conn
	source runworks.Incarnation
	name   string
	ready  chan struct{}

	// The fields below are guarded by the agent's mutex.
	lastSeen time.Time
	// version is the configuration version active at the entry.
	version int64
	// replaced is set once a newer connection of the same entry has begun.
	replaced bool
}

// ServeControl serves one control connection of an entry until it ends.
func (a *Agent) ServeControl(ctx context.Context, stream *rpc.Stream) {
	l := &link{agent: a, lastSeen: time.Now(), ready: make(chan struct{})}
	stream.OnBytes = a.Metrics.CountControl
	conn := rpc.Serve(ctx, stream, l.handle)
	l.conn = conn
	close(l.ready)
	l.keepAlive(ctx)
	_ = conn.Close()
	a.removeLink(l)
}

// keepAlive sends heartbeats and returns once the connection is closed or timed out.
func (l *link) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(l.agent.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.agent.ctx.Done():
			return
		case <-l.conn.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if time.Since(l.lastSeenAt()) > control.HeartbeatTimeout {
			return
		}
		_ = l.conn.Notify(ctx, control.MethodHeartbeat, l.agent.Heartbeat())
		l.fetchConfig(ctx)
	}
}

// fetchConfig requests the configuration from the entry if the entry has a newer one, as after
// a loss of connection between this host and the log service.
func (l *link) fetchConfig(ctx context.Context) {
	l.agent.mu.Lock()
	behind := l.version > l.agent.Config.Version()
	l.agent.mu.Unlock()
	if !behind {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var doc control.Document
	if err := l.conn.Call(ctx, control.MethodConfig, nil, &doc); err == nil {
		l.agent.Config.ApplyDocument(doc.Version, doc.Config)
	}
}

func (l *link) lastSeenAt() time.Time {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	return l.lastSeen
}

// handle handles one message of the entry.
func (l *link) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	<-l.ready
	l.agent.mu.Lock()
	l.lastSeen = time.Now()
	l.agent.mu.Unlock()
	switch method {
	case control.MethodHello:
		return l.handleHello(params)
	case control.MethodHeartbeat:
		return nil, l.handleHeartbeat(params)
	case control.MethodReservations:
		return nil, l.handleReservations(ctx, params)
	case control.MethodRevoke:
		return l.handleRevoke(params)
	case control.MethodConfig:
		return l.agent.document(), nil
	case control.MethodKeyClaim, control.MethodKeyBind, control.MethodKeyRelease, control.MethodKeyHandover, control.MethodKeyLookup:
		return l.handleKey(method, params)
	}
	return nil, errorx.UnsupportedOperation.New("method %q is not known", method)
}

func (l *link) handleHeartbeat(params json.RawMessage) error {
	var b control.Heartbeat
	if err := control.Decode(params, &b); err != nil {
		return err
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	l.version = b.Version
	return nil
}

func (l *link) handleHello(params json.RawMessage) (any, error) {
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
	if old != nil {
		// Nothing is bound by claims of the old connection any more, and its end frees nothing: newer claims have the same source.
		old.replaced = true
		a.keys.ReleaseSource(h.Incarnation)
	}
	heartbeat := a.heartbeatLocked()
	a.mu.Unlock()
	if old != nil {
		_ = old.conn.Close()
	}
	reply := control.HelloReply{Server: a.Server, Heartbeat: heartbeat}
	reply.Hello = control.Hello{ProgramVersion: a.ProgramVersion, Name: a.Name, Incarnation: a.incarnation, Version: heartbeat.Version}
	return reply, nil
}

// removeLink removes a closed connection and its queued reservations. Requests that run
// continue: their entry may connect again and read the responses.
func (a *Agent) removeLink(l *link) {
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
	snapshot := a.Config.Active()
	if snapshot == nil {
		return control.Document{}
	}
	return control.Document{Version: snapshot.Version, Config: snapshot.Config}
}

// handleReservations queues a batch of reservations and notifies the entry of those refused.
func (l *link) handleReservations(ctx context.Context, params json.RawMessage) error {
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

// offerLocked queues one reservation, or returns the reason for refusing it.
func (a *Agent) offerLocked(l *link, t *runworks.Reservation) control.RefusalReason {
	now := time.Now()
	if t.TimeLeft <= 0 || !a.runTimes.fits(t.Tier, t.Cost(), t.TimeLeft) {
		// More capacity would not help, so the admission threshold is not raised.
		return control.RefusedTooLate
	}
	if reason := a.refusalReasonLocked(now); reason != "" {
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

// refusalReasonLocked returns the reason for refusing every reservation at present; empty if
// there is none.
func (a *Agent) refusalReasonLocked(now time.Time) control.RefusalReason {
	switch {
	case a.draining:
		return control.RefusedDraining
	case a.slots == 0:
		return control.RefusedUnserved
	case now.Before(a.unreachableUntil):
		return control.RefusedDown
	}
	return ""
}

// refuseLocked notifies the entry that its reservation is no longer queued.
func (a *Agent) refuseLocked(w *reservation.Item, reason control.RefusalReason) {
	l := a.links[w.Source]
	if l == nil {
		return
	}
	metrics.Count(a.Metrics.ReservationsRefused, metrics.Cause(string(reason)))
	refused := control.Refusals{List: []control.Refusal{{ID: w.ID, Reason: reason}}}
	a.work.Go(func() { _ = l.conn.Notify(a.ctx, control.MethodRefusals, refused) })
}

// refuseAllLocked refuses all queued reservations.
func (a *Agent) refuseAllLocked(reason control.RefusalReason) {
	for _, w := range a.queue.Drain() {
		a.refuseLocked(w, reason)
	}
}
