package backend

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/runworks/runworks/modules/httpconn"
)

// responseBody returns the body of a response. If neither a length nor chunks end it, it fails where
// the exit of the server does.
func (h *HTTP) responseBody(ctx context.Context, res *http.Response) io.ReadCloser {
	if !httpconn.CloseDelimited(res) {
		return res.Body
	}
	return &closeDelimitedBody{ReadCloser: res.Body, ctx: ctx, probes: h.probes, address: res.Request.URL.Host}
}

// closeDelimitedBody is the body of a response that only the end of its connection ends.
type closeDelimitedBody struct {
	io.ReadCloser
	ctx    context.Context
	probes *httpconn.Pool
	// address is host:port of the server.
	address string
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.probes.HasExited(b.ctx, b.address) {
		err = httpconn.ErrServerExited
	}
	return n, err
}
