package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// ServeHalfResponse accepts one connection and closes it after the response "half" without length
// or chunks. If exits is set, it closes the listener first, as the exit of a process does.
func ServeHalfResponse(l net.Listener, exits bool) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	if exits {
		_ = l.Close()
	}
	_, _ = http.ReadRequest(bufio.NewReader(c))
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
	_ = c.Close()
}
