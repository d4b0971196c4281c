package dispatch

import (
	"maps"
	"time"

	"github.com/runworks/runworks"
)

// expiredReport are the words of a server whose record went at a time.
type expiredReport struct {
	reportState
	went time.Time
}

// expiredRetention is how long the words that hold for a server's life, or for a told time, outlast
// its record: a server that leaves may run on for some tens of seconds.
const expiredRetention = time.Minute

// keepExpired keeps the words of a server whose record went: that may have lapsed while the
// store was away, and the server, which goes on, may come back with it. Without its words all
// entries would fill its slots until it says them anew.
func (d *Dispatcher) keepExpired(now time.Time, s *server) {
	if !s.limit.Active(now) && !s.draining && !s.backoff.active(now) {
		return
	}
	if d.expiredReports == nil {
		d.expiredReports = make(map[string]expiredReport)
	}
	d.expiredReports[s.incarnation] = expiredReport{reportState: s.reportState, went: now}
}

// takeExpired gives the words back that a server had said when its record went.
func (d *Dispatcher) takeExpired(life string) reportState {
	w := d.expiredReports[life].reportState
	delete(d.expiredReports, life)
	return w
}

// pruneExpiredLocked forgets the words of servers that did not come back.
func (d *Dispatcher) pruneExpiredLocked(now time.Time) {
	maps.DeleteFunc(d.expiredReports, func(_ string, one expiredReport) bool {
		gone := now.Sub(one.went)
		return gone > expiredRetention || gone > runworks.EntryTimeout && !one.draining && !one.backoff.active(now)
	})
}
