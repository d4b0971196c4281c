package backend

import (
	"errors"
	"io"
	"net/http"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/httpconn"
)

// responseBody returns the body of a response. If neither a length nor chunks end it, it ends with ErrUnconfirmed, unless
// its JSON shows whether it is whole.
func responseBody(res *http.Response) io.ReadCloser {
	if !httpconn.CloseDelimited(res) {
		return res.Body
	}
	return &closeDelimitedBody{ReadCloser: res.Body, json: httpconn.NewJSONCheck(res)}
}

// closeDelimitedBody is the body of a response that only the end of its connection ends. The exit of the server ends
// it as well, and whoever listens at the server's address afterwards need not be the server.
type closeDelimitedBody struct {
	io.ReadCloser
	json *httpconn.JSONCheck
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.json.Scan(p[:n])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch b.json.End() {
	case httpconn.JSONComplete:
		return n, err
	case httpconn.JSONIncomplete:
		return n, httpconn.ErrCutJSON
	}
	return n, runworks.ErrUnconfirmed
}
