package dispatch

import (
	"maps"
	"time"

	"github.com/runworks/runworks"
)

// expiredReport is the reported state of a server whose record disappeared.
type expiredReport struct {
	reportState
	missingSince time.Time
}

// expiredRetention is how long draining and active back-offs are kept after a server's record
// disappeared: a draining server may run on for some tens of seconds.
const expiredRetention = time.Minute

// keepExpired keeps the reported state of a server whose record disappeared. The record may have
// expired while the store was unavailable, and return with the server still running. Without
// the state all entries would fill the server's slots until it reports again.
func (d *Dispatcher) keepExpired(now time.Time, s *server) {
	if !s.limit.Active(now) && !s.draining && !s.backoff.active(now) {
		return
	}
	if d.expiredReports == nil {
		d.expiredReports = make(map[string]expiredReport)
	}
	d.expiredReports[s.incarnation] = expiredReport{reportState: s.reportState, missingSince: now}
}

// takeExpired removes and returns the kept state of an incarnation.
func (d *Dispatcher) takeExpired(incarnation string) reportState {
	r := d.expiredReports[incarnation].reportState
	delete(d.expiredReports, incarnation)
	return r
}

// pruneExpiredLocked removes the state of servers whose records did not return.
func (d *Dispatcher) pruneExpiredLocked(now time.Time) {
	maps.DeleteFunc(d.expiredReports, func(_ string, one expiredReport) bool {
		age := now.Sub(one.missingSince)
		return age > expiredRetention || age > runworks.EntryTimeout && !one.draining && !one.backoff.active(now)
	})
}
