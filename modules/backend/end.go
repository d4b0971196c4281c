package backend

import (
	"errors"
	"io"
	"net/http"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/httpconn"
)

// responseBody returns the body of a response. It ends with ErrUnconfirmed if neither a length nor chunks end it.
func responseBody(res *http.Response) io.ReadCloser {
	if !httpconn.CloseDelimited(res) {
		return res.Body
	}
	return &closeDelimitedBody{res.Body}
}

// closeDelimitedBody is the body of a response that only the end of its connection ends. The exit of the server ends
// it as well, and whoever listens at the server's address afterwards need not be the server.
type closeDelimitedBody struct {
	io.ReadCloser
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = runworks.ErrUnconfirmed
	}
	return n, err
}
