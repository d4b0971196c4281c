package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
)

// OldProtocol returns a handler that has h respond in HTTP/1.0, on a connection for each request and with neither a length
// nor chunks.
func OldProtocol(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		out := &oldResponse{conn: conn, header: make(http.Header), protocol: "HTTP/1.0"}
		h.ServeHTTP(out, r)
		out.WriteHeader(http.StatusOK)
	})
}

// oldResponse writes a response with neither a length nor chunks.
type oldResponse struct {
	conn     net.Conn
	header   http.Header
	protocol string
	begun    bool
}

// Header implements http.ResponseWriter.
func (o *oldResponse) Header() http.Header { return o.header }

// WriteHeader implements http.ResponseWriter.
func (o *oldResponse) WriteHeader(status int) {
	if o.begun {
		return
	}
	o.begun = true
	for _, name := range []string{"Transfer-Encoding", "Content-Length"} {
		o.header.Del(name)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %d %s\r\n", o.protocol, status, http.StatusText(status))
	_ = o.header.Write(&head)
	head.WriteString("\r\n")
	_, _ = o.conn.Write(head.Bytes())
}

// Write implements http.ResponseWriter.
func (o *oldResponse) Write(p []byte) (int, error) {
	o.WriteHeader(http.StatusOK)
	return o.conn.Write(p)
}

// FlushError implements the interface of http.ResponseController: nothing is buffered.
func (o *oldResponse) FlushError() error { return nil }

// Hijack implements http.Hijacker.
func (o *oldResponse) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return o.conn, bufio.NewReadWriter(bufio.NewReader(o.conn), bufio.NewWriter(o.conn)), nil
}
