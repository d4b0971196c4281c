package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/control"
)

const helloTimeout = 2 * time.Second

// link is a control connection to one agent.
type link struct {
	entry       *Entry
	member      *member
	conn        *jsonrpc2.Conn
	server      string
	address     string
	incarnation runworks.Incarnation
	flush       chan struct{}
	ready       chan struct{}
	// ctx is done when the connection ends.
	ctx context.Context

	// The following fields are guarded by the entry's mu.
	lastSeen  time.Time
	heartbeat control.Heartbeat
	outbox    control.Reservations
	// reservations is the number of reservations that this entry holds at the agent.
	reservations int
	// sentSinceReport is the number of reservations sent since the agent's last heartbeat.
	sentSinceReport int
	// granted is the number of unfinished requests that this entry granted to the agent.
	granted int
}

// serveLink connects to an agent and serves the connection until it ends; it
// reports whether the connection was established.
func (e *Entry) serveLink(ctx context.Context, m *member) bool {
	stream, err := rpc.Dial(ctx, e.Dial, m.host.Address, e.Keys)
	if err != nil {
		return false
	}
	l := &link{
		entry: e, member: m, address: m.host.Address, lastSeen: time.Now(),
		flush: make(chan struct{}, 1), ready: make(chan struct{}),
	}
	linkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.ctx = linkCtx
	stream.OnBytes = e.Metrics.CountControl
	l.conn = rpc.Serve(linkCtx, stream, l.handle)
	close(l.ready)
	defer func() { _ = l.conn.Close() }()
	if err := l.hello(linkCtx); err != nil {
		return false
	}
	e.linkUp(l)
	l.serve(linkCtx)
	e.linkDown(l)
	return true
}

func (l *link) hello(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	e := l.entry
	h := control.Hello{ProgramVersion: e.ProgramVersion, Name: e.Name, Incarnation: e.incarnation, Version: e.Config.Version()}
	var reply control.HelloReply
	if err := l.conn.Call(ctx, control.MethodHello, h, &reply); err != nil {
		return errorx.Decorate(err, "hello to %s", l.address)
	}
	l.server, l.incarnation, l.heartbeat = reply.Server, reply.Incarnation, reply.Heartbeat
	return nil
}

// linkUp makes the agent eligible for requests.
func (e *Entry) linkUp(l *link) {
	e.mu.Lock()
	l.member.link = l
	e.links[l] = struct{}{}
	e.wakePendingLocked()
	e.mu.Unlock()
	e.Logger.Info("agent connected", "host", l.member.host.Name, "server", l.server, "incarnation", l.incarnation)
}

// linkDown removes the connection and the reservations at its agent.
func (e *Entry) linkDown(l *link) {
	e.mu.Lock()
	l.member.link = nil
	delete(e.links, l)
	for _, p := range e.pending {
		p.removeReservationLocked(l)
		delete(p.refused, l)
	}
	e.wakePendingLocked()
	e.mu.Unlock()
	e.Logger.Info("agent disconnected", "host", l.member.host.Name, "server", l.server)
}

// serve sends reservations and heartbeats until the connection closes or times out.
func (l *link) serve(ctx context.Context) {
	ticker := time.NewTicker(control.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.conn.DisconnectNotify():
			return
		case <-l.flush:
			l.sendReservations(ctx)
		case <-ticker.C:
			if !l.sendHeartbeat(ctx) {
				return
			}
		}
	}
}

// sendReservations sends the queued changes in one message.
func (l *link) sendReservations(ctx context.Context) {
	l.entry.mu.Lock()
	batch := l.outbox
	l.outbox = control.Reservations{}
	l.entry.mu.Unlock()
	if len(batch.Place)+len(batch.Withdraw) > 0 {
		_ = l.conn.Notify(ctx, control.MethodReservations, batch)
	}
}

// sendHeartbeat sends a heartbeat; it returns false if the agent has timed out.
func (l *link) sendHeartbeat(ctx context.Context) bool {
	l.entry.mu.Lock()
	timedOut := time.Since(l.lastSeen) > control.HeartbeatTimeout
	behind := l.heartbeat.Version > l.entry.Config.Version()
	l.entry.mu.Unlock()
	if timedOut {
		return false
	}
	if behind {
		l.entry.work.Go(func() { l.fetchConfig(ctx) })
	}
	_ = l.conn.Notify(ctx, control.MethodHeartbeat, control.Heartbeat{Version: l.entry.Config.Version()})
	return true
}

// fetchConfig fetches and applies the configuration of an agent that has a newer one.
func (l *link) fetchConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var doc control.Document
	if err := l.conn.Call(ctx, control.MethodConfig, nil, &doc); err != nil {
		return
	}
	l.entry.Config.ApplyDocument(doc.Version, doc.Config)
}

// handle handles one message from the agent.
func (l *link) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	<-l.ready
	e := l.entry
	if method == control.MethodKeyHandover {
		var hand control.KeyHandover
		if err := control.Decode(params, &hand); err != nil {
			return nil, err
		}
		return e.relayKeys(ctx, &hand), nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.lastSeen = time.Now()
	switch method {
	case control.MethodHeartbeat:
		return nil, l.applyHeartbeatLocked(params)
	case control.MethodRefusals:
		return nil, l.applyRefusalsLocked(params)
	case control.MethodClaim:
		return l.claimLocked(params)
	case control.MethodConfig:
		return e.documentLocked(), nil
	}
	return nil, errorx.UnsupportedOperation.New("method %q is not known", method)
}

func (l *link) applyHeartbeatLocked(params json.RawMessage) error {
	var b control.Heartbeat
	if err := control.Decode(params, &b); err != nil {
		return err
	}
	drainStarted := b.Draining && !l.heartbeat.Draining
	l.heartbeat = b
	l.sentSinceReport = 0
	if drainStarted {
		l.entry.wakePendingLocked()
	}
	return nil
}

func (l *link) applyRefusalsLocked(params json.RawMessage) error {
	var refused control.Refusals
	if err := control.Decode(params, &refused); err != nil {
		return err
	}
	for _, refusal := range refused.List {
		if p := l.entry.pending[refusal.ID]; p != nil {
			p.refusedLocked(l, refusal.Reason)
		}
	}
	return nil
}

// claimLocked decides a claim. Requests are granted only here, so each is granted
// at most once.
func (l *link) claimLocked(params json.RawMessage) (any, error) {
	var c control.Claim
	if err := control.Decode(params, &c); err != nil {
		return nil, err
	}
	p := l.entry.pending[c.ID]
	if p == nil || !l.acceptsWorkLocked() {
		return control.ClaimReply{}, nil
	}
	return control.ClaimReply{Granted: p.grantLocked(l)}, nil
}

// acceptsWorkLocked reports whether the agent may get new requests.
func (l *link) acceptsWorkLocked() bool {
	return !l.heartbeat.Draining && !l.member.listedDraining && l.member.link == l
}

func (e *Entry) documentLocked() control.Document {
	snap := e.Config.Active()
	if snap == nil {
		return control.Document{}
	}
	return control.Document{Version: snap.Version, Config: snap.Config}
}
