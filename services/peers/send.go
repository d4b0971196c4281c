package peers

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

// sendHeartbeat sends a heartbeat, unless it equals the last frame and force is unset. It returns
// the frame that it sent; nil if none. Remote entries receive one per remoteInterval, with all
// changes since their last.
func (x *Exchange) sendHeartbeat(ctx context.Context, last []byte, force bool) []byte {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	now := time.Now()
	heartbeat := x.Heartbeat()
	heartbeat.From, heartbeat.Limits = x.Self, x.LimitUpdates()
	local, remote := x.conns()
	f := x.encoder.frame(&heartbeat)
	toRemote := len(remote) == 0 || now.Sub(x.remoteSentAt) >= x.remoteInterval() || len(f.Names) > 0
	if x.mergeUnsentRemote(&heartbeat, toRemote) {
		f.Limits.Customers = x.encoder.uses(heartbeat.Limits.Customers)
		force = true
	}
	data, err := f.encode()
	if err != nil {
		x.Logger.Error("heartbeat could not be encoded", "error", err.Error())
		return nil
	}
	full := data
	if heartbeat.Stopping {
		if full, err = f.encodeStopping(); err != nil {
			x.Logger.Error("heartbeat could not be encoded", "error", err.Error())
			return nil
		}
	}
	if bytes.Equal(full, last) && !force {
		return nil
	}
	if toRemote {
		local = append(local, remote...)
		x.remoteSentAt = now
	}
	if heartbeat.Stopping {
		var scheduling []*rpc.Conn
		scheduling, local = x.partitionScheduling(local)
		x.sendTo(ctx, scheduling, full, &heartbeat)
	}
	x.sendTo(ctx, local, data, &heartbeat)
	return full
}

// partitionScheduling divides connections into those to entries that schedule and the others.
func (x *Exchange) partitionScheduling(conns []*rpc.Conn) (scheduling, others []*rpc.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	schedules := make(map[*rpc.Conn]bool, len(conns))
	for name, l := range x.links {
		if one := x.peers[x.incarnations[name]]; l.conn != nil && one != nil {
			schedules[l.conn] = one.schedules
		}
	}
	for _, conn := range conns {
		if schedules[conn] {
			scheduling = append(scheduling, conn)
		} else {
			others = append(others, conn)
		}
	}
	return scheduling, others
}

// mergeUnsentRemote records the use of limits in a heartbeat that goes to local entries only. If
// it goes to remote ones as well, it adds what those have not received, and reports whether there
// was any.
func (x *Exchange) mergeUnsentRemote(heartbeat *Heartbeat, toRemote bool) bool {
	if toRemote && len(x.unsentRemote) == 0 {
		return false
	}
	if x.unsentRemote == nil {
		x.unsentRemote = make(map[string]runworks.CustomerUse)
	}
	maps.Copy(x.unsentRemote, heartbeat.Limits.Customers)
	if !toRemote {
		return false
	}
	heartbeat.Limits.Customers, x.unsentRemote = x.unsentRemote, nil
	return true
}

// conns returns the connections to local and to remote entries.
func (x *Exchange) conns() (local, remote []*rpc.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.links {
		switch {
		case l.conn == nil:
		case x.isLocalLocked(l.member.Hall):
			local = append(local, l.conn)
		default:
			remote = append(remote, l.conn)
		}
	}
	return local, remote
}

// sendTo sends a heartbeat: as a frame to entries that support frames, as JSON to others.
func (x *Exchange) sendTo(ctx context.Context, conns []*rpc.Conn, data []byte, heartbeat *Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, conn := range conns {
		var err error
		if conn.SupportsFrames {
			err = conn.SendFrame(data)
		} else {
			heartbeat.fillOffsets()
			err = conn.Notify(ctx, MethodHeartbeat, heartbeat)
		}
		if err != nil {
			// maintain logs the loss and dials again.
			_ = conn.Close()
		}
	}
}
