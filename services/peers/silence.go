package peers

import (
	"time"

	"github.com/runworks/runworks"
)

// A connection may carry nothing any more while it seems open to both ends. Each entry sends on the
// connection that it opened itself, so a sender does not notice; the receiver notices that it hears
// nothing. It then opens its own connection again, as that may be silent as well, and its handshake
// asks the other entry to do the same.

// closeUnheard closes the connections to entries that were not heard for the peer timeout, also since
// the connection was opened. They are opened again at once.
func (x *Exchange) closeUnheard(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	timeout := x.peerTimeoutLocked()
	for _, l := range x.links {
		if l.conn != nil && now.Sub(l.heardAt) > timeout && now.Sub(l.openedAt) > timeout {
			l.unheard = true
			_ = l.conn.Close()
		}
	}
}

// isUnheard reports whether the previous connection to an entry was closed because it was not heard,
// and it was not heard since.
func (x *Exchange) isUnheard(l *link) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return l.unheard
}

// reopen opens the connection to an entry again that does not hear this one. It keeps a connection that
// is too new to be the reason.
func (x *Exchange) reopen(now time.Time, name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.links[name]
	if l == nil || l.conn == nil || now.Sub(l.openedAt) < minPeerTimeout {
		return
	}
	x.Logger.Warn("entry does not hear this one; connecting again", "name", name, "open_ms", now.Sub(l.openedAt).Milliseconds())
	_ = l.conn.Close()
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
