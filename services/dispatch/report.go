package dispatch

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

// reportState are what the life of a server said of itself: in its answers, and in its record that it
// leaves. They stand beside its newest record, and neither takes the other's place.
type reportState struct {
	// limit is how many requests it takes, if it says so.
	limit serverlimit.Limit
	// draining says that it will end. That is final: a record that says otherwise is older.
	draining bool
	// backoff is when it wants nothing from this entry.
	backoff backoff
	// reportedLoad is what it had to do, by its newest answer; nil is not told.
	reportedLoad *runworks.ServerLoad
}

// ApplyReport takes what the call's server says of itself, in the answer to a request that was sent
// at that time.
func (l *Lease) ApplyReport(word *runworks.ServerReport, sent time.Time) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := l.server
	if back := d.servers[s.incarnation]; back != nil {
		s = back // its record may have lapsed meanwhile
	}
	if s.restarted {
		return // a life that is over
	}
	if word.Draining && d.applyDrainingLocked(s, "") {
		d.sendNotice(runworks.ServerNotice{Server: s.incarnation, Draining: true})
	}
	if word.Backoff > 0 {
		d.applyBackoffLocked(now, s, word.Backoff)
	}
	if word.Limit != nil {
		d.applyLimitLocked(now, s, word.Limit, sent)
	}
	if word.Load != nil {
		s.reportedLoad = word.Load
	}
	if d.servers[s.incarnation] == nil {
		d.keepExpired(now, s)
	}
}

// Unavailable says whether the call's server takes nothing more by now: a call that got its slot
// before may still wait for a connection.
func (l *Lease) Unavailable() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.server.Draining || l.server.backoff.active(time.Now())
}

// applyDrainingLocked takes a server's word that it will end, and says whether that is news; from
// names the entry that told of it, empty for the server itself. What the server runs goes on,
// and it gets nothing new, whatever its record says: that may come late by all the time that
// the store is away, and calls that were sent meanwhile would end with the server.
func (d *Dispatcher) applyDrainingLocked(s *server, from string) bool {
	if s.draining {
		return false
	}
	s.draining, s.Draining = true, true
	if d.OnDraining != nil {
		d.OnDraining(s.Instance, from)
	}
	return true
}

// applyBackoffLocked takes a server's word that it wants nothing from this entry for a time. The
// others are not told: they may be welcome there.
func (d *Dispatcher) applyBackoffLocked(now time.Time, s *server, lasts time.Duration) {
	if s.backoff.extend(now, lasts) && d.OnBackoff != nil {
		d.OnBackoff(s.Instance, s.backoff.until.Sub(now))
	}
}
