package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

// ServeHTTP takes the connections of other entries.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != rpc.Path || !x.Keys.Accept(r) {
		http.Error(w, "only entries of this fleet connect here", http.StatusForbidden)
		return
	}
	stream, err := rpc.Accept(w, r)
	if err != nil {
		x.Logger.Warn("connection of an entry refused", "from", r.RemoteAddr, "error", err.Error())
		return
	}
	x.mu.Lock()
	ctx := x.ctxLocked()
	x.mu.Unlock()
	h := &hearing{Exchange: x}
	<-rpc.ServeFrames(ctx, stream, h.handle, h.takeFrame).DisconnectNotify()
}

// hearing is a connection on which another entry tells.
type hearing struct {
	*Exchange
	decoder decoder
}

// handle takes a message of another entry.
func (x *hearing) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case MethodHeartbeat:
		return nil, x.takeBeat(params, false)
	case MethodHandshake:
		return nil, x.takeBeat(params, true)
	case MethodSuspects:
		return nil, x.takeSuspects(params)
	case MethodServerNotices:
		return nil, x.takeServerWords(params)
	case MethodTransferPermits:
		return x.lend(params)
	case MethodState:
		var c StateRequest
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, errorx.Decorate(err, "decode the call")
		}
		return x.State(c.Subject)
	}
	return refuse(ctx, method, params)
}

// takeFrame takes a heartbeat that came as a frame.
func (x *hearing) takeFrame(data []byte) error {
	b, err := x.decoder.decode(data)
	if err != nil {
		x.Logger.Warn("heartbeat of an entry can't be read", "error", err.Error())
		return err
	}
	x.hear(time.Now(), b)
	return nil
}

// takeBeat takes a heartbeat, or a greeting.
func (x *hearing) takeBeat(params json.RawMessage, greeting bool) error {
	var b Heartbeat
	if err := json.Unmarshal(params, &b); err != nil {
		x.Logger.Warn("heartbeat of an entry can't be read", "error", err.Error())
		return errorx.Decorate(err, "decode the heartbeat")
	}
	now := time.Now()
	if greeting {
		x.decoder = decoder{from: b.From, names: b.Names}
		x.OnHandshake(now, &b)
		x.hearSuspects(b.From.Name, b.Suspects)
		x.hearServerWords(b.From.Name, b.ServerNotices)
	}
	x.hear(now, &b)
	return nil
}

// hear takes what another entry told.
func (x *Exchange) hear(now time.Time, b *Heartbeat) {
	x.mu.Lock()
	known := x.heard[b.From.Incarnation]
	if x.heard == nil {
		x.heard = make(map[runworks.Incarnation]*life)
		x.lives = make(map[string]runworks.Incarnation)
	}
	old := x.lives[b.From.Name]
	x.lives[b.From.Name] = b.From.Incarnation
	replaced := old != "" && old != b.From.Incarnation
	if replaced {
		delete(x.heard, old)
	}
	x.heard[b.From.Incarnation] = &life{name: b.From.Name, hall: b.From.Hall, last: now, storeLost: b.StoreLost, noEras: b.noEras()}
	// A new life may have another address than the list of entries holds.
	opened := x.linkLocked(b.From)
	if l := x.links[b.From.Name]; l != nil && !opened && known == nil {
		l.reach(replaced)
	}
	x.mu.Unlock()
	if known == nil {
		x.Logger.Info("entry heard", "name", b.From.Name, "incarnation", b.From.Incarnation, "routing_version", b.RoutingVersion)
	}
	if replaced {
		x.Logger.Info("entry started anew", "name", b.From.Name, "incarnation", b.From.Incarnation, "old_incarnation", old)
		x.OnReplaced(old)
	}
	x.OnHeartbeat(now, b)
}

// silentLocked is when an entry that sent no heartbeat counts as gone: some that are due
// must have been missed, also where they come seldom.
func (x *Exchange) silentLocked() time.Duration {
	return max(silentAfter, missedBeats*x.farEveryLocked())
}

// HostSuspended makes what was heard as much older as this host was suspended: the others may have
// ended meanwhile, or count this entry as gone.
func (x *Exchange) HostSuspended(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, one := range x.heard {
		one.last = one.last.Add(-d)
	}
}

// forgetSilent counts entries as gone that sent nothing for a while.
func (x *Exchange) forgetSilent(now time.Time) {
	x.mu.Lock()
	var gone []runworks.Incarnation
	limit := x.silentLocked()
	for id, one := range x.heard {
		if now.Sub(one.last) > limit {
			gone = append(gone, id)
			x.Logger.Warn("entry fell silent", "name", one.name, "incarnation", id, "silent_ms", now.Sub(one.last).Milliseconds())
			delete(x.heard, id)
		}
	}
	x.mu.Unlock()
	for _, id := range gone {
		x.OnUnreachable(id)
	}
}
