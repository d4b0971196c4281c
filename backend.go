package runworks

import (
	"context"
	"io"
	"net/http"
)

// Reply is a backend server's answer; the caller closes Body.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Backend sends one call to a backend server, at most once.
type Backend interface {
	// Do sends the call; the error is ErrNotDispatched only if the call provably
	// never left, and ErrBackend otherwise.
	Do(ctx context.Context, id RequestID, call *Call) (*Reply, error)
	// Resume asks for the answer of a call that was sent, from a byte offset on; it
	// never sends the call again. The error is ErrGone if the answer can't be had.
	Resume(ctx context.Context, id RequestID, from int64) (*Reply, error)
	// Cancel tells that nobody wants the answer of a call any more.
	Cancel(ctx context.Context, id RequestID)
}
