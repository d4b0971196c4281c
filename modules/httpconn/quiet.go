package httpconn

import "github.com/runworks/runworks/modules/tcp"

// quiet says whether an unused connection is open and has nothing to read: a
// byte that nobody asked for belongs to no request.
func (c *conn) quiet() bool {
	return c.br.Buffered() == 0 && tcp.Look(c.Conn) == tcp.Quiet
}
