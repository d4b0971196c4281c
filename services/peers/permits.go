package peers

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

// permitTimeout bounds the wait for a transfer of permits: many times the network delay within a
// region. Permits that arrive later are lost, as the server's limit counts them as used.
const permitTimeout = 100 * time.Millisecond

// PermitRequest requests permits for a backend server from an entry.
type PermitRequest struct {
	// Server is the server's Instance.IncarnationID.
	Server  string `json:"server"`
	Permits int    `json:"requests"`
}

// PermitReply transfers permits to the requesting entry; the donor has given them up.
type PermitReply struct {
	Permits int `json:"requests"`
}

// handlePermitRequest answers another entry's request for permits.
func (x *inbound) handlePermitRequest(params json.RawMessage) (any, error) {
	var c PermitRequest
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, errorx.Decorate(err, "decode the request")
	}
	if x.TransferPermits == nil {
		return PermitReply{}, nil
	}
	return PermitReply{Permits: x.TransferPermits(c.Server, c.Permits)}, nil
}

// RequestPermits requests permits for a backend server from another entry, and returns how many
// it got, at most c.Permits. After an error none may be used, whatever the donor gave up. It
// fails if there is no connection to the donor, or if that does not answer within permitTimeout.
func (x *Exchange) RequestPermits(ctx context.Context, donor runworks.Incarnation, c PermitRequest) (int, error) {
	conn := x.connTo(donor)
	if conn == nil {
		return 0, errorx.IllegalState.New("there is no connection to %s", donor)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var out PermitReply
	if err := conn.Call(ctx, MethodTransferPermits, c, &out); err != nil {
		return 0, errorx.Decorate(err, "request permits from %s", donor)
	}
	return min(max(out.Permits, 0), c.Permits), nil
}

// connTo returns the connection to an incarnation of an entry; nil if there is none.
func (x *Exchange) connTo(id runworks.Incarnation) *rpc.Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	if one := x.peers[id]; one != nil {
		return x.connByNameLocked(one.name)
	}
	return nil
}
