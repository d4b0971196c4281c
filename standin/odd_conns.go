package standin

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
)

// OddKind is what a server's connections add to its responses, or take from them.
type OddKind string

// Kinds of odd connections.
const (
	// OddLate sends the last response once more in the place of the next one, and OddBehind right behind its end; behind one
	// without length or chunks comes that of another request.
	OddLate   OddKind = "late"
	OddBehind OddKind = "behind"
	// OddHints sends 100 and 103 before each response; OddManyHints sends more of them.
	OddHints     OddKind = "hints"
	OddManyHints OddKind = "many_hints"
	// OddTwice sends heads twice, and OddCut a part of a head, each time one that is longer by a byte, without the rest.
	OddTwice OddKind = "twice"
	OddCut   OddKind = "cut"
)

const (
	// oddEach is the number of responses of which one is odd, other than with hints.
	oddEach = 3
	// maxOddCopy bounds the responses that are kept to be sent again, in bytes.
	maxOddCopy = 1 << 20
)

var (
	headEnd    = []byte("\r\n\r\n")
	chunkedEnd = []byte("0\r\n\r\n")
	eventEnd   = []byte("\n\n")
	headBegin  = []byte("HTTP/")
)

// OddConns is a listener whose connections send odd responses.
type OddConns struct {
	net.Listener
	Kind OddKind

	mu        sync.Mutex
	responses int
	// last is the last whole stream without length or chunks.
	last []byte
}

// Accept implements net.Listener.
func (l *OddConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &oddConn{Conn: c, listener: l}, nil
}

// next returns the number of a response, and whether it is odd.
func (l *OddConns) next() (n int, odd bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses++
	return l.responses / oddEach, l.responses%oddEach == 0
}

// swapLast replaces the last stream and returns it.
func (l *OddConns) swapLast(next []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.last
	l.last = next
	return last
}

type oddConn struct {
	net.Conn
	listener *OddConns

	mu sync.Mutex
	// sent is the response so far; nil between responses and for those that are too long.
	sent []byte
	// begun is set once a response has begun, and odd if that one is odd.
	begun, odd bool
}

// SyscallConn implements syscall.Conn.
func (c *oddConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, os.ErrInvalid
}

// Read implements net.Conn. What arrives after a response is the next request.
func (c *oddConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.begun {
		if c.odd && c.listener.Kind == OddLate && bytes.HasSuffix(c.sent, chunkedEnd) {
			_, _ = c.Conn.Write(c.sent)
		}
		c.begun, c.sent = false, nil
	}
	return n, err
}

// Write implements net.Conn.
func (c *oddConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := p
	if !c.begun {
		var broken bool
		if out, broken = c.begin(p); broken {
			_, _ = c.Conn.Write(out)
			_ = c.Conn.Close() // Close would wait for mu
			return 0, net.ErrClosed
		}
	}
	if len(c.sent)+len(p) <= maxOddCopy {
		c.sent = append(c.sent, p...)
	}
	if c.odd && c.listener.Kind == OddBehind && bytes.HasSuffix(p, chunkedEnd) {
		out = append(append([]byte(nil), out...), c.sent...)
	}
	if _, err := c.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *oddConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener.Kind == OddBehind && c.begun && bytes.HasSuffix(c.sent, eventEnd) {
		if other := c.listener.swapLast(c.sent); c.odd {
			_, _ = c.Conn.Write(other)
		}
	}
	c.begun = false
	return c.Conn.Close()
}

// begin returns what is sent in place of the first bytes of a response, and whether the connection closes behind it.
func (c *oddConn) begin(p []byte) (out []byte, broken bool) {
	end := bytes.Index(p, headEnd)
	if !bytes.HasPrefix(p, headBegin) || end < 0 {
		return p, false
	}
	end += len(headEnd)
	var n int
	n, c.odd = c.listener.next()
	c.begun = true
	switch {
	case c.listener.Kind == OddHints:
		return append(hints(1), p...), false
	case c.listener.Kind == OddManyHints:
		return append(hints(4), p...), false
	case !c.odd:
	case c.listener.Kind == OddTwice:
		return append(append([]byte(nil), p[:end]...), p...), false
	case c.listener.Kind == OddCut:
		return p[:1+n%(end-1)], true
	}
	return p, false
}

// hints returns informational responses: one with 100, and some with 103.
func hints(n int) []byte {
	out := []byte("HTTP/1.1 100 Continue\r\n\r\n")
	for range n {
		out = fmt.Appendf(out, "HTTP/1.1 %d %s\r\nLink: </a>\r\n\r\n", http.StatusEarlyHints, http.StatusText(http.StatusEarlyHints))
	}
	return out
}
