package tcp

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// IdleListener accepts connections with an idle timeout that may change while they are open.
// The http.Server that uses it needs an IdleTimeout above zero and TrackIdle as its ConnState.
type IdleListener struct {
	net.Listener
	// IdleTimeout returns the active timeout.
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

// TrackIdle records whether a connection is idle; it is an http.Server's ConnState.
func TrackIdle(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*idleConn); ok {
		conn.idle.Store(state == http.StateIdle)
	}
}

// idleConn replaces the idle timeout of the server by the active one.
type idleConn struct {
	net.Conn
	timeout func() time.Duration
	idle    atomic.Bool
}

// SetReadDeadline implements net.Conn. An http.Server calls it with its own idle timeout after
// the connection has become idle.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if c.idle.Load() && !t.IsZero() {
		t = time.Now().Add(c.timeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite shuts down the writing side if the connection supports it. An http.Server does so
// before it closes a connection with unread data, as the reset would otherwise discard the last
// response.
func (c *idleConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// unwrap returns the connection that an IdleListener wrapped, or c itself.
func unwrap(c net.Conn) net.Conn {
	if idle, ok := c.(*idleConn); ok {
		return idle.Conn
	}
	return c
}
