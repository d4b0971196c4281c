package tcp

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// IdleListener gives connections whose rest between two requests is bounded by a
// limit that may change while they are open. The http.Server over it needs an
// IdleTimeout above zero and NoteState as its ConnState.
type IdleListener struct {
	net.Listener
	// IdleTimeout gives the bound in force.
	IdleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l *IdleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, timeout: l.IdleTimeout}, nil
}

// TrackIdle follows whether a connection rests.
func TrackIdle(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*idleConn); ok {
		conn.idle.Store(state == http.StateIdle)
	}
}

// idleConn puts the limit in force in the place of the server's own.
type idleConn struct {
	net.Conn
	timeout func() time.Duration
	idle    atomic.Bool
}

// SetReadDeadline implements net.Conn: a server that lets the connection rest sets
// its idle limit here.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if c.idle.Load() && !t.IsZero() {
		t = time.Now().Add(c.timeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side, where the connection can: a server does so
// before it closes, so that its last answer is not lost with what it did not read.
func (c *idleConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
