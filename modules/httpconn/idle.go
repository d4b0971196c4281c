package httpconn

import "github.com/runworks/runworks/modules/tcp"

// isIdle says whether an unused connection is open and has nothing to read: a
// byte that nobody asked for belongs to no request.
func (c *conn) isIdle() bool {
	return c.br.Buffered() == 0 && tcp.PeekState(c.Conn) == tcp.Idle
}
