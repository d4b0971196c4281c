package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/runworks/runworks/modules/httpconn"
)

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
		err = httpconn.ErrServerExited
	}
	return n, err
}

// hasExited reports whether the server's process is known to have exited.
func (h *HTTP) hasExited(ctx context.Context) bool {
	target, err := url.Parse(h.Address)
	return err == nil && h.probes.HasExited(ctx, target.Host)
}
