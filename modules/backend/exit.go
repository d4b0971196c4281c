package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/runworks/runworks/modules/httpconn"
)

// probeTimeout limits the check whether the server has exited; it runs on the same host.
const probeTimeout = 200 * time.Millisecond

// errServerExited is the error of a body that only the end of its connection ends, if the server's
// process has exited.
var errServerExited = errors.New("the server exited at the end of a response without length or chunks")

// responseBody returns the body of a response. If neither a length nor chunks end it, it fails where
// the exit of the server does.
func (h *HTTP) responseBody(ctx context.Context, res *http.Response) io.ReadCloser {
	if !httpconn.CloseDelimited(res) {
		return res.Body
	}
	return &closeDelimitedBody{ReadCloser: res.Body, ctx: ctx, server: h}
}

// closeDelimitedBody is the body of a response that only the end of its connection ends.
type closeDelimitedBody struct {
	io.ReadCloser
	ctx    context.Context
	server *HTTP
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.server.hasExited(b.ctx) {
		err = errServerExited
	}
	return n, err
}

// hasExited reports whether the server refuses a connection, which proves that its process has exited.
func (h *HTTP) hasExited(ctx context.Context) bool {
	target, err := url.Parse(h.Address)
	if err != nil {
		return false
	}
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := dial(ctx, "tcp", target.Host)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
