package httpconn

import "github.com/runworks/runworks/modules/tcp"

// isIdle reports whether an unused connection is open and has nothing to read. Unsolicited
// bytes belong to no request, so a connection that has some must not be reused.
func (c *conn) isIdle() bool {
	return c.heads.Reader.Buffered() == 0 && tcp.PeekState(c.Conn) == tcp.Idle
}
