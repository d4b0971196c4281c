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
	// life ends with the connection.
	life context.Context

	// What follows is guarded by the entry's lock.
	heard  time.Time
	beat   control.Heartbeat
	outbox control.Reservations
	// standing is the number of tickets that this entry has at the agent.
	standing int
	// sentSince is the number of tickets sent since the agent's last report.
	sentSince int
	// granted is the number of requests granted and not ended, by this entry.
	granted int
}

// serveLink connects to an agent and serves the connection until it ends; it
// says whether there was one.
func (e *Entry) serveLink(ctx context.Context, m *member) bool {
	stream, err := rpc.Dial(ctx, e.Dial, m.host.Address, e.Keys)
	if err != nil {
		return false
	}
	l := &link{
		entry: e, member: m, address: m.host.Address, heard: time.Now(),
		flush: make(chan struct{}, 1), ready: make(chan struct{}),
	}
	linkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.life = linkCtx
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
	h := control.Hello{Program: e.Program, Name: e.Name, Incarnation: e.incarnation, Version: e.Config.Version()}
	var reply control.HelloReply
	if err := l.conn.Call(ctx, control.MethodHello, h, &reply); err != nil {
		return errorx.Decorate(err, "hello to %s", l.address)
	}
	l.server, l.incarnation, l.beat = reply.Server, reply.Incarnation, reply.Heartbeat
	return nil
}

// linkUp makes the agent eligible.
func (e *Entry) linkUp(l *link) {
	e.mu.Lock()
	l.member.link = l
	e.links[l] = struct{}{}
	e.recheckLocked()
	e.mu.Unlock()
	e.Logger.Info("agent connected", "host", l.member.host.Name, "server", l.server, "incarnation", l.incarnation)
}

// linkDown forgets the connection and the tickets that stood at its agent.
func (e *Entry) linkDown(l *link) {
	e.mu.Lock()
	l.member.link = nil
	delete(e.links, l)
	for _, p := range e.pending {
		p.forgetLocked(l)
		delete(p.refused, l)
	}
	e.recheckLocked()
	e.mu.Unlock()
	e.Logger.Info("agent disconnected", "host", l.member.host.Name, "server", l.server)
}

// serve sends tickets and beats until the connection is gone or silent.
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
			l.sendTickets(ctx)
		case <-ticker.C:
			if !l.sendBeat(ctx) {
				return
			}
		}
	}
}

// sendTickets sends all that gathered since the last time in one message.
func (l *link) sendTickets(ctx context.Context) {
	l.entry.mu.Lock()
	batch := l.outbox
	l.outbox = control.Reservations{}
	l.entry.mu.Unlock()
	if len(batch.Place)+len(batch.Withdraw) > 0 {
		_ = l.conn.Notify(ctx, control.MethodReservations, batch)
	}
}

// sendBeat says that the entry lives; false means that the agent is silent.
func (l *link) sendBeat(ctx context.Context) bool {
	l.entry.mu.Lock()
	silent := time.Since(l.heard) > control.HeartbeatTimeout
	behind := l.beat.Version > l.entry.Config.Version()
	l.entry.mu.Unlock()
	if silent {
		return false
	}
	if behind {
		l.entry.work.Go(func() { l.fetchConfig(ctx) })
	}
	_ = l.conn.Notify(ctx, control.MethodHeartbeat, control.Heartbeat{Version: l.entry.Config.Version()})
	return true
}

// fetchConfig takes the configuration of an agent that has a newer one.
func (l *link) fetchConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var doc control.Document
	if err := l.conn.Call(ctx, control.MethodConfig, nil, &doc); err != nil {
		return
	}
	l.entry.Config.Offer(doc.Version, doc.Config)
}

// handle answers one message of the agent.
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
	l.heard = time.Now()
	switch method {
	case control.MethodHeartbeat:
		return nil, l.takeBeatLocked(params)
	case control.MethodRefusals:
		return nil, l.takeRefusedLocked(params)
	case control.MethodClaim:
		return l.claimLocked(params)
	case control.MethodConfig:
		return e.documentLocked(), nil
	}
	return nil, errorx.UnsupportedOperation.New("method %q is not known", method)
}

func (l *link) takeBeatLocked(params json.RawMessage) error {
	var b control.Heartbeat
	if err := control.Decode(params, &b); err != nil {
		return err
	}
	left := b.Draining && !l.beat.Draining
	l.beat = b
	l.sentSince = 0
	if left {
		l.entry.recheckLocked()
	}
	return nil
}

func (l *link) takeRefusedLocked(params json.RawMessage) error {
	var refused control.Refusals
	if err := control.Decode(params, &refused); err != nil {
		return err
	}
	for _, one := range refused.List {
		if p := l.entry.pending[one.ID]; p != nil {
			p.refusedLocked(l, one.Reason)
		}
	}
	return nil
}

// claimLocked is the one place that decides who gets a request.
func (l *link) claimLocked(params json.RawMessage) (any, error) {
	var c control.Claim
	if err := control.Decode(params, &c); err != nil {
		return nil, err
	}
	p := l.entry.pending[c.ID]
	if p == nil || !l.takesWorkLocked() {
		return control.ClaimReply{}, nil
	}
	return control.ClaimReply{Granted: p.grantLocked(l)}, nil
}

// takesWorkLocked says whether the agent may get new work.
func (l *link) takesWorkLocked() bool {
	return !l.beat.Draining && !l.member.listedLeaving && l.member.link == l
}

func (e *Entry) documentLocked() control.Document {
	now := e.Config.InForce()
	if now == nil {
		return control.Document{}
	}
	return control.Document{Version: now.Version, Config: now.Config}
}
