package peers

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/modules/notify"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/rpc"
)

// link maintains the outbound connection to one other entry.
type link struct {
	member Member
	cancel context.CancelFunc
	conn   *rpc.Conn
	// openedAt is when the current or last connection was opened, and heardAt when the last message of
	// the entry arrived, on the connection that it opened itself; zero if none.
	openedAt, heardAt time.Time
	// longestPause is the longest time for which an open connection of the entry recently carried nothing, or
	// for which it took to accept one, and pausedAt is when that ended.
	longestPause time.Duration
	pausedAt     time.Time
	// unheard counts the connections that were closed because the entry was not heard, since it was.
	unheard int
	// keyRefused is set while the entry refuses the fleet keys of this one.
	keyRefused bool
	// refused is set while nothing listens at the entry's address.
	refused bool
	// wake ends the wait before the next attempt to connect.
	wake notify.Wake
}

// reconnect triggers an immediate handshake with an entry that was just discovered, as it may
// know nothing yet. It closes a connection to a previous incarnation: without a reset that would
// seem open until the entry times out.
func (l *link) reconnect(replaced bool) {
	if replaced && l.conn != nil {
		_ = l.conn.Close()
	}
	l.wake.Signal()
}

// SetMembers connects to the listed entries. Entries that are not listed stay connected: they may
// have been discovered before they were listed.
func (x *Exchange) SetMembers(members []Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.membersKnown = true
	for _, m := range members {
		// The list may be outdated and hold the record of a previous incarnation.
		if current := x.incarnations[m.Name]; x.peers[current] == nil || current == m.Incarnation {
			x.ensureLinkLocked(m)
		}
	}
}

// ensureLinkLocked creates the link to an entry, or replaces it if the entry's address changed.
// It reports whether the link is new.
func (x *Exchange) ensureLinkLocked(m Member) bool {
	if m.Name == x.Self.Name {
		return false
	}
	if x.links == nil {
		x.links = make(map[string]*link)
	}
	if l := x.links[m.Name]; l != nil {
		if l.member.Address == m.Address {
			return false
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(x.ctxLocked())
	l := &link{member: m, cancel: cancel}
	x.links[m.Name] = l
	x.work.Go(func() { x.maintain(ctx, l) })
	return true
}

// maintain keeps an entry connected until ctx is cancelled.
func (x *Exchange) maintain(ctx context.Context, l *link) {
	wait := minRedialWait
	lastConnected, reported := time.Now(), false
	for ctx.Err() == nil {
		began := time.Now()
		stream, err := rpc.Dial(ctx, x.Dial, l.member.Address, x.Keys)
		refused := errors.Is(err, rpc.ErrKeyRefused)
		x.setRefused(l, refused, errors.Is(err, syscall.ECONNREFUSED))
		if err != nil {
			if !reported && ctx.Err() == nil && (refused || time.Since(lastConnected) > minPeerTimeout) {
				reported = true
				x.Logger.Warn("entry can't be reached; what it uses of the limits is not known here", "name", l.member.Name, "address", l.member.Address, "error", err.Error())
			}
			pause.Until(ctx, wait, l.wake.C())
			wait = min(2*wait, maxRedialWait)
			continue
		}
		wait = minRedialWait
		x.recordAccepted(l, time.Since(began))
		conn := rpc.ServeFrames(ctx, stream, rejectCall, nil)
		x.handshake(l, conn)
		if !x.starting() {
			x.Logger.Info("dependency regained", "dependency", "entry", "name", l.member.Name, "address", l.member.Address)
		}
		select {
		case <-conn.DisconnectNotify():
		case <-ctx.Done():
			_ = conn.Close()
		}
		x.setConn(l, nil)
		x.notifyDisconnected(l)
		lastConnected, reported = time.Now(), false
		x.Logger.Warn("dependency lost", "dependency", "entry", "name", l.member.Name, "address", l.member.Address)
	}
}

// handshake sends the full state to an entry, and enables heartbeats on its connection. Those that are sent
// while the handshake is written are queued behind it: an entry that reads slowly delays none to the others.
func (x *Exchange) handshake(l *link, conn *rpc.Conn) {
	write, err := x.startHandshake(l, conn)
	if err == nil {
		err = write()
	}
	if err != nil {
		x.Logger.Warn("handshake could not be sent", "name", l.member.Name, "error", err.Error())
		_ = conn.Close() // maintain dials again
		return
	}
	x.sendAllEngineModels(l, conn)
}

// startHandshake prepares the full state for an entry and enables heartbeats on its connection. The returned
// function writes the handshake.
func (x *Exchange) startHandshake(l *link, conn *rpc.Conn) (write func() error, err error) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	b := x.Heartbeat()
	b.From, b.Limits = x.Self, x.LimitSnapshot()
	b.Relays, b.Schedules = true, x.Slots != nil
	b.Unheard = x.isUnheard(l)
	b.fillOffsets()
	b.Names = x.encoder.names[:x.encoder.sent]
	if x.Suspects != nil {
		b.Suspects = x.Suspects()
	}
	if x.ServerNotices != nil {
		b.ServerNotices = x.ServerNotices()
	}
	if x.StreamOrigins != nil {
		b.StreamOrigins = x.StreamOrigins()
	}
	if x.StreamVersions != nil {
		b.StreamVersions = x.StreamVersions()
	}
	defer x.setConn(l, conn)
	return conn.StartNotify(MethodHandshake, b)
}

func (x *Exchange) setConn(l *link, conn *rpc.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.conn = conn
	if conn != nil {
		l.openedAt = time.Now()
	}
}

// notifyDisconnected calls OnDisconnected with the latest incarnation of a link's entry.
func (x *Exchange) notifyDisconnected(l *link) {
	x.mu.Lock()
	id := x.incarnations[l.member.Name]
	x.mu.Unlock()
	if x.OnDisconnected != nil && id != "" {
		x.OnDisconnected(id)
	}
}

func (x *Exchange) setRefused(l *link, key, conn bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.keyRefused, l.refused = key, conn
}

// Reach is how many of the other entries this one can exchange its state with.
type Reach struct {
	// Known counts the entries that are listed or were heard, Connected those to which a connection is
	// open, and Live those heard recently.
	Known, Connected, Live int
	// KeyRefused counts those that refuse the fleet keys of this entry.
	KeyRefused int
}

// Reach returns the current numbers.
func (x *Exchange) Reach() Reach {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := Reach{Known: len(x.links), Live: len(x.peers)}
	for _, l := range x.links {
		if l.conn != nil {
			out.Connected++
		}
		if l.keyRefused {
			out.KeyRefused++
		}
	}
	return out
}

// rejectCall answers calls on connections that are used for sending only.
func rejectCall(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return nil, errorx.UnsupportedOperation.New("no method %s on this connection", method)
}

// Connected reports whether there is a connection to the named entry.
func (x *Exchange) Connected(name string) bool { return x.connByName(name) != nil }

// RequestState requests the named entry's state of a subject and decodes it into out. It fails if
// there is no connection, or if the entry does not answer within 1 s.
func (x *Exchange) RequestState(ctx context.Context, name string, subject Subject, out any) error {
	conn := x.connByName(name)
	if conn == nil {
		return errNotConnected(name)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := conn.Call(ctx, MethodState, StateRequest{Subject: subject}, out); err != nil {
		return errorx.Decorate(err, "request from %s the state of %s", name, subject)
	}
	return nil
}
