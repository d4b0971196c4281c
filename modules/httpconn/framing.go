package httpconn

import (
	"bytes"
	"net"
	"sync"

	"github.com/joomcode/errorx"
)

// ErrFraming means that a response of HTTP/1.0 names a transfer encoding. net/http ignores it there, so that
// the chunks would be passed on as the body, and a part of them as a whole one.
var ErrFraming = errorx.IllegalFormat.New("the response is of HTTP/1.0 and has a transfer encoding")

var (
	oldVersion      = []byte("HTTP/1.0 ")
	interimStatus   = []byte("HTTP/1.1 1")
	encodingHeader  = []byte("transfer-encoding:")
	framingLineSize = len(encodingHeader)
)

// framingCheck finds ErrFraming in the bytes of a head, however they are divided. The zero value is at the
// beginning of a head.
type framingCheck struct {
	// line is the beginning of the current line, and status that of the status line.
	line, status []byte
	done, faulty bool
}

func (c *framingCheck) begin() {
	*c = framingCheck{line: c.line[:0], status: c.status[:0]}
}

// scan processes the next bytes, those behind the head too, and reports whether the head is faulty.
func (c *framingCheck) scan(p []byte) bool {
	for len(p) > 0 && !c.done && !c.faulty {
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end]
		}
		c.line = append(c.line, part[:min(len(part), framingLineSize-len(c.line))]...)
		if end < 0 {
			return false
		}
		p = p[end+1:]
		c.endLine()
	}
	return c.faulty
}

func (c *framingCheck) endLine() {
	line := bytes.TrimSuffix(c.line, []byte("\r"))
	switch {
	case len(c.status) == 0:
		c.status = append(c.status, line...)
	case len(line) == 0:
		// Another head follows an informational response.
		c.done = !bytes.HasPrefix(c.status, interimStatus)
		c.status = c.status[:0]
	case bytes.HasPrefix(c.status, oldVersion) && bytes.EqualFold(line, encodingHeader):
		c.faulty = true
	}
	c.line = c.line[:0]
}

// CheckFraming returns a connection whose reads fail with ErrFraming. Each response must follow a write.
func CheckFraming(c net.Conn) net.Conn { return &framedConn{Conn: c} }

type framedConn struct {
	net.Conn

	mu    sync.Mutex
	check framingCheck
}

// Write implements net.Conn.
func (c *framedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.check.begin()
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.check.scan(p[:n]) {
		return 0, ErrFraming
	}
	return n, err
}
