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

// LogRecord is one record of the log service.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogPage is a run of records, with the bounds of what the log holds.
type LogPage struct {
	// First is the first offset retained; Next is the offset the next record gets.
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// LogService is the platform's append-only log.
type LogService interface {
	// Append adds a record and gives its offset; after an error the record may
	// have been added all the same.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read gives records from an offset on; ErrTruncated if the log has dropped it.
	Read(ctx context.Context, from int64) (*LogPage, error)
}

// HostRole says which process of the system a host runs.
type HostRole string

// The roles of a host.
const (
	RoleEntry HostRole = "entry"
	RoleAgent HostRole = "agent"
)

// Host is one line of the platform's host list.
type Host struct {
	Name string   `json:"name"`
	Role HostRole `json:"role"`
	// Hall is where the host stands.
	Hall string `json:"hall"`
	// Address is host:port of the process between entries and agents.
	Address string `json:"address"`
	// Leaving is set once the host is to go away.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts gives the list as the platform sees it now.
	Hosts(ctx context.Context) ([]Host, error)
}
