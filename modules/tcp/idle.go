package tcp

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// IdleListener accepts connections with an idle timeout that may change while they are open, and
// bounds how many are open. The http.Server that uses it needs an IdleTimeout above zero and TrackIdle
// as its ConnState.
type IdleListener struct {
	net.Listener
	// IdleTimeout returns the active timeout.
	IdleTimeout func() time.Duration
	// MaxOpen returns how many connections may be open; nil means any number. For a new one beyond
	// that the connection is closed that has been idle for longest. If none is idle, the new one is
	// closed unread, so that its caller may try another host.
	MaxOpen func() int
	// OnClose is called with a connection that is closed for MaxOpen, whether it was idle, and the
	// number of those that are open; nil is never. It must not block.
	OnClose func(c net.Conn, idle bool, open int)
	// Watcher watches the connections for AfterPeerClose and PeerClosed; nil watches none.
	Watcher *CloseWatcher

	mu   sync.Mutex
	open int
	// idle holds the idle connections, the one that has been idle for longest first.
	idle list.List
}

// Accept implements net.Listener.
func (l *IdleListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.Watcher.checkDue()
		c := &idleConn{Conn: conn, listener: l}
		if l.admit(c) {
			if l.Watcher != nil {
				c.watch = l.Watcher.add(c)
			}
			return c, nil
		}
	}
}

// admit counts a new connection, and closes it or an idle one if too many are open. It reports whether the
// new one stays open.
func (l *IdleListener) admit(c *idleConn) bool {
	l.mu.Lock()
	l.open++
	open, victim := l.open, (*idleConn)(nil)
	if l.MaxOpen != nil && open > l.MaxOpen() {
		if victim = l.longestIdleLocked(); victim == nil {
			victim = c
		}
	}
	l.mu.Unlock()
	if victim == nil {
		return true
	}
	if l.OnClose != nil {
		l.OnClose(victim, victim != c, open)
	}
	_ = victim.Close()
	return victim != c
}

// longestIdleLocked returns the connection that has been idle for longest and has no request to be
// read; nil if there is none.
func (l *IdleListener) longestIdleLocked() *idleConn {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*idleConn); ok && PeekState(c) != Readable {
			return c
		}
	}
	return nil
}

// TrackIdle records whether a connection is idle; it is an http.Server's ConnState.
func TrackIdle(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*idleConn); ok {
		conn.setIdle(state == http.StateIdle)
	}
}

// idleConn replaces the idle timeout of the server by the active one.
type idleConn struct {
	net.Conn
	listener *IdleListener
	idle     atomic.Bool
	// watch tells of the peer's close; nil if the connection is not watched.
	watch *peerWatch
	// entry is the connection's place in the listener's list, and closed is set once it no longer
	// counts; both are guarded by the listener's mutex.
	entry  *list.Element
	closed bool
}

func (c *idleConn) setIdle(idle bool) {
	c.idle.Store(idle)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unlistLocked()
	if idle && !c.closed {
		c.entry = c.listener.idle.PushBack(c)
	}
}

// unlistLocked removes the connection from the idle ones.
func (c *idleConn) unlistLocked() {
	if c.entry != nil {
		c.listener.idle.Remove(c.entry)
		c.entry = nil
	}
}

// Read implements net.Conn.
func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.Watcher.checkDue()
	return n, err
}

// Write implements net.Conn.
func (c *idleConn) Write(p []byte) (int, error) {
	c.listener.Watcher.checkDue()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *idleConn) Close() error {
	c.listener.mu.Lock()
	c.unlistLocked()
	if !c.closed {
		c.closed = true
		c.listener.open--
	}
	c.listener.mu.Unlock()
	if c.watch != nil {
		c.watch.watcher.remove(c.watch)
	}
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. An http.Server calls it with its own idle timeout after
// the connection has become idle.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if c.idle.Load() && !t.IsZero() {
		t = time.Now().Add(c.listener.IdleTimeout())
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
