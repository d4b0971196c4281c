package peers

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
)

// pauseMemory is how long an entry that sends late is remembered as such.
const pauseMemory = 10 * time.Second

// cutMemory is how long after an entry timed out this one may be cut off without having noticed: a read of the store fails within
// three seconds, and where several entries are cut off together, the first ones read for all.
const cutMemory = 6 * time.Second

// maxTimeoutDoublings limits how often the timeout of silent connections doubles.
const maxTimeoutDoublings = 3

// A connection may carry nothing any more while it seems open to both ends. Each entry sends on the
// connection that it opened itself, so a sender does not notice; the receiver notices that it hears
// nothing. It then opens its own connection again, as that may be silent as well, and its handshake
// asks the other entry to do the same.

// MissesEntry reports whether an entry that was live is late, or timed out recently, so that this one may be cut off. An entry at
// whose address nothing listens has exited.
func (x *Exchange) MissesEntry(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.timedOutAt.IsZero() && now.Sub(x.timedOutAt) < cutMemory {
		return true
	}
	timeout := x.readerTimeoutLocked()
	for _, one := range x.peers {
		if now.Sub(one.lastSeen) > timeout && !x.hasExitedLocked(one.name) {
			return true
		}
	}
	return false
}

// hasExitedLocked reports whether nothing listens at the address of an entry.
func (x *Exchange) hasExitedLocked(name string) bool {
	l := x.links[name]
	return l != nil && l.refused
}

// Alone reports whether no other entry is heard, so that the silence of none can show that this one is cut off.
func (x *Exchange) Alone() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, one := range x.peers {
		if !x.hasExitedLocked(one.name) {
			return false
		}
	}
	return true
}

// AllExited connects to the addresses of all other entries, and reports whether nothing listens there: one that had exited may have
// started again.
func (x *Exchange) AllExited(ctx context.Context) bool {
	var wg conc.WaitGroup
	var found atomic.Bool
	for _, address := range x.addresses() {
		wg.Go(func() {
			conn, err := x.Dial(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			if !errors.Is(err, syscall.ECONNREFUSED) {
				found.Store(true)
			}
		})
	}
	wg.Wait()
	return !found.Load()
}

// addresses returns the addresses of the other entries.
func (x *Exchange) addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, l := range x.links {
		out = append(out, l.member.Address)
	}
	return out
}

// CutOff reports whether this entry may be cut off together with all that it hears: none of them can read the store, and another
// one is silent.
func (x *Exchange) CutOff() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, one := range x.peers {
		if !one.storeLost {
			return false
		}
	}
	silent := len(x.peers) == 0
	for name, l := range x.links {
		silent = silent || x.peers[x.incarnations[name]] == nil && !l.refused && !l.keyRefused
	}
	return silent
}

// AllRead reports whether all other entries that are heard have read the list of servers up to a position. One that has been late for longer
// than MissesEntry allows knows that it may be cut off, and one that was stopped knows that too.
func (x *Exchange) AllRead(now time.Time, position runworks.Position) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	timeout := x.readerTimeoutLocked() + idleInterval
	for _, one := range x.peers {
		if !one.offsetsOnly && now.Sub(one.lastSeen) <= timeout && position.After(one.read) {
			return false
		}
	}
	return true
}

// closeUnheard closes the connections to entries that were not heard for the peer timeout, also since
// the connection was opened. They are opened again at once. An entry whose messages wait to be read is not
// silent: this one is late.
func (x *Exchange) closeUnheard(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, l := range x.links {
		timeout := x.silenceTimeoutLocked(now, l)
		if l.conn == nil || now.Sub(l.heardAt) <= timeout || now.Sub(l.openedAt) <= timeout || x.hasUnreadLocked(x.incarnations[name]) {
			continue
		}
		x.Logger.Warn("entry is not heard; connecting again", "name", name, "silent_ms", now.Sub(l.heardAt).Milliseconds(), "open_ms", now.Sub(l.openedAt).Milliseconds())
		l.unheard++
		_ = l.conn.Close()
	}
}

// silenceTimeoutLocked returns the time without a message of an entry after which its connection is taken for
// silent. An entry short of processor accepts connections and sends late, and connecting to it again delays it
// further: so it is twice the longest time that either recently took, and doubles with each connection.
func (x *Exchange) silenceTimeoutLocked(now time.Time, l *link) time.Duration {
	timeout := x.peerTimeoutLocked()
	if now.Sub(l.pausedAt) < pauseMemory {
		timeout = max(timeout, 2*l.longestPause)
	}
	return timeout << min(l.unheard, maxTimeoutDoublings)
}

// recordAccepted records the time that an entry took to accept a connection.
func (x *Exchange) recordAccepted(l *link, took time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.recordPauseLocked(time.Now(), took)
}

// recordPauseLocked records the time between two messages of an entry on the same connection.
func (l *link) recordPauseLocked(now time.Time, pause time.Duration) {
	if pause >= l.longestPause || now.Sub(l.pausedAt) >= pauseMemory {
		l.longestPause, l.pausedAt = pause, now
	}
}

// hasUnreadLocked reports whether messages of an incarnation have arrived that were not read yet.
func (x *Exchange) hasUnreadLocked(from runworks.Incarnation) bool {
	h := x.inbounds[from]
	return h != nil && h.stream.HasUnread()
}

// isUnheard reports whether the previous connection to an entry was closed because it was not heard,
// and it was not heard since.
func (x *Exchange) isUnheard(l *link) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return l.unheard > 0
}

// reopen opens the connection to an entry again that does not hear this one. It keeps a connection that
// is too new to be the reason, and all while this entry sends late itself.
func (x *Exchange) reopen(now time.Time, name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.links[name]
	if l == nil || l.conn == nil || now.Sub(l.openedAt) < minPeerTimeout || x.sendsLateLocked(now) {
		return
	}
	x.Logger.Warn("entry does not hear this one; connecting again", "name", name, "open_ms", now.Sub(l.openedAt).Milliseconds())
	_ = l.conn.Close()
}

// recordSend records that a heartbeat is sent, if any is due, and whether that is late.
func (x *Exchange) recordSend(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isSendOverdueLocked(now) {
		if !x.sentLateLocked(now) {
			x.Logger.Warn("heartbeats are sent late, as this process got too little processor time or was stopped", "late_ms", now.Sub(x.sendAt).Milliseconds())
		}
		x.sentLateAt = now
	}
	x.sendAt = now
}

// isSendOverdueLocked reports whether the next heartbeat is so late that others may take this entry for silent.
func (x *Exchange) isSendOverdueLocked(now time.Time) bool {
	return !x.sendAt.IsZero() && now.Sub(x.sendAt) >= x.peerTimeoutLocked()/2
}

// sendsLateLocked reports whether this entry sends late now, or did so recently.
func (x *Exchange) sendsLateLocked(now time.Time) bool {
	return x.isSendOverdueLocked(now) || x.sentLateLocked(now)
}

// sentLateLocked reports whether this entry recently sent late.
func (x *Exchange) sentLateLocked(now time.Time) bool {
	return now.Sub(x.sentLateAt) < pauseMemory
}

// addInbound records the connection on which a handshake of an incarnation arrived, and closes the one
// that it replaces: its other end may have been closed without this one noticing.
func (x *Exchange) addInbound(h *inbound, from runworks.Incarnation) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inbounds == nil {
		x.inbounds = make(map[runworks.Incarnation]*inbound)
	}
	h.sender = from
	if old := x.inbounds[from]; old != nil && old != h {
		_ = old.stream.Close()
	}
	x.inbounds[from] = h
}

// removeInbound forgets a connection that is closed.
func (x *Exchange) removeInbound(h *inbound) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inbounds[h.sender] == h {
		delete(x.inbounds, h.sender)
	}
}
