package peers

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

// tell sends a heartbeat, unless it says the same as the last one and need not be sent;
// it gives the frame that it sent. Far entries get every some only, with all that is new
// since.
func (x *Exchange) tell(ctx context.Context, last []byte, needed bool) []byte {
	x.telling.Lock()
	defer x.telling.Unlock()
	now := time.Now()
	beat := x.Heartbeat()
	beat.From, beat.Limits, beat.Changes = x.Self, x.LimitUpdates(), x.takeChanges()
	near, far := x.conns()
	f := x.encoder.frame(&beat)
	all := len(far) == 0 || now.Sub(x.farTold) >= x.farEvery() || len(f.Changes)+len(f.Names) > 0
	if x.keepUntold(&beat, all) {
		f.Limits.Customers = x.encoder.uses(beat.Limits.Customers)
		needed = true
	}
	data, err := f.encode()
	if err != nil {
		x.Logger.Error("the heartbeat can't be sent", "error", err.Error())
		return nil
	}
	if bytes.Equal(data, last) && !needed {
		return nil
	}
	if all {
		near = append(near, far...)
		x.farTold = now
	}
	x.send(ctx, near, data, &beat)
	return data
}

// keepUntold keeps what a heartbeat tells near entries alone. Where it goes to all, it is
// given what the far ones were not told; the result says whether there was anything.
func (x *Exchange) keepUntold(beat *Heartbeat, all bool) bool {
	if all && len(x.untold) == 0 {
		return false
	}
	if x.untold == nil {
		x.untold = make(map[string]runworks.CustomerUse)
	}
	maps.Copy(x.untold, beat.Limits.Customers)
	if !all {
		return false
	}
	beat.Limits.Customers, x.untold = x.untold, nil
	return true
}

// conns gives the connections to near entries and to far ones.
func (x *Exchange) conns() (near, far []*rpc.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.links {
		switch {
		case l.conn == nil:
		case x.nearLocked(l.member.Hall):
			near = append(near, l.conn)
		default:
			far = append(far, l.conn)
		}
	}
	return near, far
}

// send gives a heartbeat to entries that are connected: a frame to those that read them.
func (x *Exchange) send(ctx context.Context, conns []*rpc.Conn, data []byte, beat *Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, conn := range conns {
		var err error
		if conn.Frames {
			err = conn.SendFrame(data)
		} else {
			beat.tellOffsets()
			err = conn.Notify(ctx, MethodHeartbeat, beat)
		}
		if err != nil {
			// The link's own loop dials again and logs the loss.
			_ = conn.Close()
		}
	}
}
