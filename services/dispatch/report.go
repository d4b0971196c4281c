package dispatch

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

// reportState is what an incarnation of a server reported: its rate limit, back-off and load in
// responses, and draining in responses or in its record. It is kept next to the newest record,
// and neither overrides the other.
type reportState struct {
	// limit is the rate limit, if the server reported one.
	limit serverlimit.Limit
	// draining is set once the server announced that it drains. It is never reset: a record
	// without it is older.
	draining bool
	// backoff is the back-off that the server requested of this entry.
	backoff backoff
	// reportedLoad is the load in the newest response; nil if none was reported.
	reportedLoad *runworks.ServerLoad
}

// ApplyReport applies the report of the call's server in the response to a request sent at that
// time.
func (l *Lease) ApplyReport(report *runworks.ServerReport, sent time.Time) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := l.server
	if back := d.servers[s.incarnation]; back != nil {
		s = back // its record may have expired and returned in the meantime
	}
	if s.restarted {
		return // reports of an earlier incarnation are obsolete
	}
	if report.Draining && d.applyDrainingLocked(s, "") {
		d.sendNotice(runworks.ServerNotice{Server: s.incarnation, Draining: true})
	}
	if report.Backoff > 0 {
		d.applyBackoffLocked(now, s, report.Backoff)
	}
	if report.Limit != nil {
		d.applyLimitLocked(now, s, report.Limit, sent)
	}
	if report.Load != nil {
		s.reportedLoad = report.Load
		d.recordSlownessLocked(now, s, report.Load.Slowness)
	}
	if d.servers[s.incarnation] == nil {
		d.keepExpired(now, s)
	}
}

// Unavailable reports whether the call's server accepts no more calls. It can change while a
// call that has a lease waits for a connection.
func (l *Lease) Unavailable() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.unavailableLocked(time.Now())
}

func (l *Lease) unavailableLocked(now time.Time) bool {
	return l.server.Draining || l.server.backoff.active(now) || l.dispatcher.bars(l.server)
}

// Renew reports whether the call's server may get the call again, in the slot that the lease still holds, and counts that
// request. The server has just ended its response, so that it is not unresponsive, and one that is full for other calls
// still has that slot.
func (l *Lease) Renew() bool {
	d, s := l.dispatcher, l.server
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if l.released || d.servers[s.incarnation] != s || s.addressReused || l.unavailableLocked(now) || !s.limit.Admits(now) {
		return false
	}
	s.limit.Consume(now)
	s.backoff.countSent()
	s.lastReceived = now
	return true
}

// Leaving reports whether the call's server is draining or has left the list. One that gets no calls for another reason
// goes on running.
func (l *Lease) Leaving() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.server.draining || l.dispatcher.servers[l.server.incarnation] != l.server
}

// applyDrainingLocked marks a server as draining and reports whether that is new. from is the
// entry that sent the notice, or empty if the server itself reported it. The calls that the
// server runs go on, and it gets no new ones, whatever its record says: while the store is
// unavailable the record is out of date, and calls sent in that time would be lost when the
// server exits.
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

// applyBackoffLocked applies a back-off that a server requested. It is not sent to the other
// entries: the server may accept their calls.
func (d *Dispatcher) applyBackoffLocked(now time.Time, s *server, duration time.Duration) {
	if s.backoff.extend(now, duration) && d.OnBackoff != nil {
		d.OnBackoff(s.Instance, s.backoff.until.Sub(now))
	}
}
