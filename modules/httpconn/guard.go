package httpconn

import (
	"context"
	"sync/atomic"

	"github.com/runworks/runworks/modules/tcp"
)

// The states of a guard.
const (
	guardArmed int32 = iota
	guardStopped
	guardAborted
)

// guard aborts a connection when the request that uses it is over, unless it is stopped before.
type guard struct {
	conn                 *conn
	state                atomic.Int32
	stopCtx              func() bool
	stopWaitingForCaller func()
}

// abortWhenDone returns the guard of a connection. It aborts when ctx is done, or as soon as the caller whose
// request ctx belongs to closes its own connection.
func abortWhenDone(ctx context.Context, c *conn) *guard {
	g := &guard{conn: c}
	g.stopWaitingForCaller = tcp.AfterPeerClose(ctx, g.abort)
	g.stopCtx = context.AfterFunc(ctx, g.abort)
	return g
}

func (g *guard) abort() {
	if g.state.CompareAndSwap(guardArmed, guardAborted) {
		tcp.Abort(g.conn.Conn)
	}
}

// stop ends the guard and reports whether the connection was not aborted.
func (g *guard) stop() bool {
	g.stopWaitingForCaller()
	g.stopCtx()
	return g.state.CompareAndSwap(guardArmed, guardStopped) || !g.aborted()
}

// aborted reports whether the guard aborted the connection.
func (g *guard) aborted() bool { return g.state.Load() == guardAborted }
