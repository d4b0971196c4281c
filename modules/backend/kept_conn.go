package backend

import (
	"errors"
	"net"
	"sync"

	"github.com/runworks/runworks/modules/httpconn"
	"github.com/runworks/runworks/modules/tcp"
)

// errEnded means that the server closed a kept connection, or sent bytes on it that belong to no call, before the next call was written.
var errEnded = errors.New("the connection ended before the call was sent")

// keptConn is a connection that an http.Transport keeps between calls. net/http learns that the server has closed it from
// a goroutine that may not have run yet when the next call is written, and that call would be lost.
type keptConn struct {
	net.Conn
	// socket is the connection as it was dialed.
	socket net.Conn

	mu sync.Mutex
	// unsent is set while a call has the connection that others had before, and nothing of it was written.
	unsent bool
	ended  bool
}

func newKeptConn(socket net.Conn) *keptConn {
	return &keptConn{Conn: httpconn.CheckFraming(socket), socket: socket}
}

// begin is called when a call gets the connection; reused is set if it had another one before.
func (c *keptConn) begin(reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = reused
}

// abandonUnsent reports whether nothing of the call was written, and keeps it from being written.
func (c *keptConn) abandonUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || c.unsent
	return c.unsent
}

// Write implements net.Conn. It fails if the connection ended before the first byte of the call.
func (c *keptConn) Write(p []byte) (int, error) {
	if !c.mayWrite() {
		return 0, errEnded
	}
	return c.Conn.Write(p)
}

func (c *keptConn) mayWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsent && !c.ended {
		c.ended = tcp.PeekState(c.socket) != tcp.Idle
		c.unsent = c.ended
	}
	return !c.ended
}
