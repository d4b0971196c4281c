package memnet

import (
	"net"
	"sync"
)

// conn is one end of a link, with its addresses.
type conn struct {
	net.Conn
	local, remote addr
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "mem" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// listener implements net.Listener on a Network.
type listener struct {
	net     *Network
	address addr
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		delete(l.net.listeners, string(l.address))
		l.net.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
