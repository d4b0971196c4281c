package peers

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

// lendTimeout is how long an answer to a question for a loan may take: many times the way
// within a region. What comes later is lost: a server's limit counts it as sent by then.
const lendTimeout = 100 * time.Millisecond

// PermitRequest asks for requests that an entry has at hand of a backend server's limit.
type PermitRequest struct {
	// Server is Instance.Life.
	Server  string `json:"server"`
	Permits int    `json:"requests"`
}

// PermitReply gives some of them; the other entry sends them no more.
type PermitReply struct {
	Permits int `json:"requests"`
}

// lend answers another entry that asks for a loan.
func (x *hearing) lend(params json.RawMessage) (any, error) {
	var c PermitRequest
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, errorx.Decorate(err, "decode the call")
	}
	if x.TransferPermits == nil {
		return PermitReply{}, nil
	}
	return PermitReply{Permits: x.TransferPermits(c.Server, c.Permits)}, nil
}

// RequestPermits asks an entry for requests that it has at hand of a backend server's limit. After an
// error none may be sent, whatever the other gave.
func (x *Exchange) RequestPermits(ctx context.Context, lender runworks.Incarnation, c PermitRequest) (int, error) {
	conn := x.connTo(lender)
	if conn == nil {
		return 0, errorx.IllegalState.New("there is no connection to %s", lender)
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	var out PermitReply
	if err := conn.Call(ctx, MethodTransferPermits, c, &out); err != nil {
		return 0, errorx.Decorate(err, "ask %s for a loan", lender)
	}
	return min(max(out.Permits, 0), c.Permits), nil
}

// connTo gives the connection to a life of an entry; nil if there is none.
func (x *Exchange) connTo(id runworks.Incarnation) *rpc.Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	one := x.heard[id]
	if one == nil {
		return nil
	}
	if l := x.links[one.name]; l != nil {
		return l.conn
	}
	return nil
}
