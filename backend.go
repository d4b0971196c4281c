package runworks

import (
	"context"
	"io"
	"net/http"
)

// Reply is a backend server's response. The caller must close Body.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Backend sends calls to a backend server, each at most once.
type Backend interface {
	// Do sends the call. The error is ErrNotDispatched only if the call was certainly not
	// sent, and ErrBackend otherwise. The body ends with ErrUnconfirmed if nothing shows that its end is
	// that of the response, not even the body itself.
	Do(ctx context.Context, id RequestID, call *Call) (*Reply, error)
	// Resume requests the response to a call already sent, starting at byte offset from, of the server that
	// runs it. It never sends the call again. The error is ErrGone if the response is not available.
	Resume(ctx context.Context, id RequestID, from int64) (*Reply, error)
	// Cancel notifies the backend server that the response to a call is no longer needed.
	Cancel(ctx context.Context, id RequestID)
}
