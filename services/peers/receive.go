package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

// ServeHTTP accepts connections of other entries.
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
	h := &inbound{Exchange: x, stream: stream}
	<-rpc.ServeFrames(ctx, stream, h.handle, h.handleFrame).DisconnectNotify()
	x.removeInbound(h)
	h.closeSession()
}

// inbound is a connection that another entry opened. It carries that entry's messages; this
// entry's own go over the connection it opened itself.
type inbound struct {
	*Exchange
	stream  *rpc.Stream
	decoder decoder
	// lastMessage is when the last heartbeat arrived; zero before the first.
	lastMessage time.Time
	// sender is the incarnation whose handshake arrived last; guarded by Exchange.mu.
	sender runworks.Incarnation
	// session is set by the handshake, if this entry grants slots. Calls read it concurrently.
	session atomic.Pointer[Session]
}

// handle processes a message of another entry.
func (x *inbound) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case MethodHeartbeat:
		return nil, x.handleHeartbeat(params, false)
	case MethodHandshake:
		return nil, x.handleHeartbeat(params, true)
	case MethodSuspects:
		return nil, x.handleSuspects(params)
	case MethodServerNotices:
		return nil, x.handleServerNotices(params)
	case MethodStreamOrigins:
		return nil, x.handleStreamOrigins(params)
	case MethodEngineModels:
		return nil, x.handleEngineModels(params)
	case MethodRollouts:
		return nil, x.handleRollouts(params)
	case MethodChange:
		return nil, x.handleChange(params)
	case MethodChangesSince:
		return x.handleChangesRequest(params)
	case MethodTransferPermits:
		return x.handlePermitRequest(params)
	case MethodAcquire:
		return x.handleAcquire(ctx, params)
	case MethodPlacements:
		return nil, x.handlePlacements(params)
	case MethodState:
		var c StateRequest
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, errorx.Decorate(err, "decode the request")
		}
		return x.State(c.Subject)
	}
	return rejectCall(ctx, method, params)
}

// decodeMessage decodes the parameters of a notification. what names its content in the log and the error.
func (x *inbound) decodeMessage(params json.RawMessage, what string, out any) error {
	if err := json.Unmarshal(params, out); err != nil {
		x.Logger.Warn(what+" could not be decoded", "error", err.Error())
		return errorx.Decorate(err, "decode the %s", what)
	}
	return nil
}

// handleFrame processes a heartbeat that arrived as a frame.
func (x *inbound) handleFrame(data []byte) error {
	b, err := x.decoder.decode(data)
	if err != nil {
		x.Logger.Warn("heartbeat could not be decoded", "error", err.Error())
		return err
	}
	x.receive(time.Now(), b)
	return nil
}

// receive records the time since the previous message on this connection, and processes the heartbeat.
func (x *inbound) receive(now time.Time, b *Heartbeat) {
	if last := x.lastMessage; !last.IsZero() {
		x.mu.Lock()
		if l := x.links[b.From.Name]; l != nil {
			l.recordPauseLocked(now, now.Sub(last))
		}
		x.mu.Unlock()
	}
	x.lastMessage = now
	x.Exchange.receive(now, b)
}

// handleHeartbeat processes a heartbeat or handshake that arrived as JSON.
func (x *inbound) handleHeartbeat(params json.RawMessage, handshake bool) error {
	var b Heartbeat
	if err := x.decodeMessage(params, "heartbeat", &b); err != nil {
		return err
	}
	if b.From.Name == "" || b.From.Incarnation == "" {
		x.Logger.Warn("heartbeat names no entry")
		return errorx.IllegalFormat.New("the heartbeat names no entry")
	}
	now := time.Now()
	if handshake {
		x.decoder = decoder{from: b.From, relays: b.Relays, schedules: b.Schedules, names: b.Names}
		x.addInbound(x, b.From.Incarnation)
		if b.Unheard {
			x.reopen(now, b.From.Name)
		}
		x.OnHandshake(now, &b)
		x.openSession(b.From)
		x.receiveSuspects(b.From.Name, b.Suspects)
		x.receiveServerNotices(b.From.Name, b.ServerNotices)
		x.receiveStreamVersions(b.StreamVersions, false)
		x.receiveStreamOrigins(b.StreamOrigins)
	}
	x.receive(now, &b)
	return nil
}

// receive updates what is known of the sender of a heartbeat.
func (x *Exchange) receive(now time.Time, b *Heartbeat) {
	x.mu.Lock()
	known := x.peers[b.From.Incarnation]
	if x.peers == nil {
		x.peers = make(map[runworks.Incarnation]*peerState)
		x.incarnations = make(map[string]runworks.Incarnation)
	}
	old := x.incarnations[b.From.Name]
	x.incarnations[b.From.Name] = b.From.Incarnation
	replaced := old != "" && old != b.From.Incarnation
	if replaced {
		delete(x.peers, old)
	}
	x.peers[b.From.Incarnation] = &peerState{
		name: b.From.Name, hall: b.From.Hall, lastSeen: now, read: b.Positions[SubjectServers],
		storeLost: b.StoreLost, relays: b.Relays, offsetsOnly: b.offsetsOnly(),
		schedules: b.Schedules, stopping: b.Stopping, cpu: b.From.CPU,
	}
	// A new incarnation may have another address than the member list.
	opened := x.ensureLinkLocked(b.From)
	if l := x.links[b.From.Name]; l != nil {
		l.heardAt, l.unheard = now, 0
		if !opened && known == nil {
			l.reconnect(replaced)
		}
	}
	x.mu.Unlock()
	if known == nil && !x.starting() {
		x.Logger.Info("first heartbeat received from entry",
			"name", b.From.Name, "incarnation", b.From.Incarnation, "routing_version", b.RoutingVersion)
	}
	if replaced {
		x.Logger.Info("entry restarted",
			"name", b.From.Name, "incarnation", b.From.Incarnation, "old_incarnation", old)
		x.OnReplaced(old)
	}
	x.OnHeartbeat(now, b)
}

// peerTimeoutLocked returns the time without a heartbeat after which an entry is considered gone.
// It covers several heartbeats also at long intervals.
func (x *Exchange) peerTimeoutLocked() time.Duration {
	return max(minPeerTimeout, missedHeartbeats*x.remoteIntervalLocked())
}

// HostSuspended ages what is known of all entries by d, the time for which this host was
// suspended. Meanwhile they may have exited, or consider this entry gone.
func (x *Exchange) HostSuspended(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, one := range x.peers {
		one.lastSeen = one.lastSeen.Add(-d)
	}
	for _, l := range x.links {
		l.heardAt, l.openedAt = l.heardAt.Add(-d), l.openedAt.Add(-d)
	}
}

// removeTimedOut removes the entries that exceeded the timeout. Those whose messages wait to be read stay, as
// this one is late.
func (x *Exchange) removeTimedOut(now time.Time) {
	x.mu.Lock()
	var gone []runworks.Incarnation
	timeout := x.peerTimeoutLocked()
	for id, one := range x.peers {
		if now.Sub(one.lastSeen) > timeout && !x.hasUnreadLocked(id) {
			gone = append(gone, id)
			x.Logger.Warn("entry timed out",
				"name", one.name, "incarnation", id, "silent_ms", now.Sub(one.lastSeen).Milliseconds(), "connected", x.connByNameLocked(one.name) != nil)
			delete(x.peers, id)
			if !x.hasExitedLocked(one.name) {
				x.timedOutAt = now
			}
		}
	}
	x.mu.Unlock()
	for _, id := range gone {
		x.OnUnreachable(id)
	}
}
