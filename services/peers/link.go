package peers

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/modules/notify"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/rpc"
)

// link is the connection to one other entry.
type link struct {
	member Member
	cancel context.CancelFunc
	conn   *rpc.Conn
	// wake ends the wait before the next attempt to reach the entry.
	wake notify.Wake
}

// reach has an entry that was just heard greeted at once, as it may know nothing yet. A
// connection to a life that is over is given up: without a reset it would seem open until
// its silence is noticed.
func (l *link) reach(replaced bool) {
	if replaced && l.conn != nil {
		_ = l.conn.Close()
	}
	l.wake.Signal()
}

// SetMembers makes entries known. An entry that is not on the list stays known:
// it may have been heard before it was listed.
func (x *Exchange) SetMembers(members []Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listed = true
	for _, m := range members {
		// The list may be older than what was heard: a record of a life before.
		if life := x.lives[m.Name]; x.heard[life] == nil || life == m.Incarnation {
			x.linkLocked(m)
		}
	}
}

// linkLocked keeps a connection to another entry at its newest address; it says whether
// that is a new one.
func (x *Exchange) linkLocked(m Member) bool {
	if m.Name == x.Self.Name {
		return false
	}
	if x.links == nil {
		x.links = make(map[string]*link)
	}
	if l := x.links[m.Name]; l != nil {
		if l.member.Address == m.Address {
			return false
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(x.ctxLocked())
	l := &link{member: m, cancel: cancel}
	x.links[m.Name] = l
	x.work.Go(func() { x.keep(ctx, l) })
	return true
}

// keep dials an entry again and again until ctx ends.
func (x *Exchange) keep(ctx context.Context, l *link) {
	wait := firstRedial
	for ctx.Err() == nil {
		stream, err := rpc.Dial(ctx, x.Dial, l.member.Address, x.Keys)
		if err != nil {
			pause.Until(ctx, wait, l.wake.C())
			wait = min(2*wait, lastRedial)
			continue
		}
		wait = firstRedial
		conn := rpc.ServeFrames(ctx, stream, refuse, nil)
		x.greet(ctx, l, conn)
		x.Logger.Info("dependency regained", "dependency", "entry", "name", l.member.Name, "address", l.member.Address)
		select {
		case <-conn.DisconnectNotify():
		case <-ctx.Done():
			_ = conn.Close()
		}
		x.setConn(l, nil)
		x.Logger.Warn("dependency lost", "dependency", "entry", "name", l.member.Name, "address", l.member.Address)
	}
}

// greet tells an entry what a new life of it needs, and lets heartbeats follow.
func (x *Exchange) greet(ctx context.Context, l *link, conn *rpc.Conn) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	x.telling.Lock()
	defer x.telling.Unlock()
	b := x.Heartbeat()
	b.From, b.Limits = x.Self, x.LimitSnapshot()
	b.tellOffsets()
	b.Names = x.encoder.names[:x.encoder.told]
	if x.Suspects != nil {
		b.Suspects = x.Suspects()
	}
	if x.ServerNotices != nil {
		b.ServerNotices = x.ServerNotices()
	}
	if err := conn.Notify(ctx, MethodHandshake, b); err != nil {
		x.Logger.Warn("an entry could not be greeted", "name", l.member.Name, "error", err.Error())
		_ = conn.Close() // dialled again
	}
	x.setConn(l, conn)
}

func (x *Exchange) setConn(l *link, conn *rpc.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.conn = conn
}

// refuse answers calls on connections that only send.
func refuse(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return nil, errorx.UnsupportedOperation.New("no method %s on this connection", method)
}

// Connected says whether the named entry can be asked.
func (x *Exchange) Connected(name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.links[name]
	return l != nil && l.conn != nil
}

// RequestState asks the named entry for what it knows of a subject.
func (x *Exchange) RequestState(ctx context.Context, name string, subject Subject, out any) error {
	x.mu.Lock()
	var conn *rpc.Conn
	if l := x.links[name]; l != nil {
		conn = l.conn
	}
	x.mu.Unlock()
	if conn == nil {
		return errorx.IllegalState.New("there is no connection to %s", name)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := conn.Call(ctx, MethodState, StateRequest{Subject: subject}, out); err != nil {
		return errorx.Decorate(err, "ask %s for %s", name, subject)
	}
	return nil
}
