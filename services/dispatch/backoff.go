package dispatch

import "time"

const (
	// maxBackoff bounds the back-off of a single report: a server is tried again after an hour.
	maxBackoff = time.Hour
	// minBackoffChange is by how much a back-off must be extended for OnBackoff to be called
	// again: calls that were sent together are rejected some milliseconds apart.
	minBackoffChange = 500 * time.Millisecond
	// rampStep is the time in which the number of calls that an entry may send after a back-off
	// doubles, starting at one. Within it, a server that still has no capacity rejects a call
	// before all of its slots are filled, and the other entries are informed of the calls.
	rampStep = 100 * time.Millisecond
	// rampSteps is the number of steps after which only the slots bound the calls.
	rampSteps = 8
)

// backoff is the time for which a server asked this entry to send nothing, and the ramp-up after
// it; the zero value is none. A back-off is not a failure: the server is not ejected, and it gets
// its full load again afterwards. The ramp-up keeps all calls that waited for the end of the
// back-off from arriving at once.
type backoff struct {
	until time.Time
	// sent is the number of calls sent since until was set.
	sent int
}

// extend applies a back-off that a server requested and reports whether it is a relevant change.
// Of several requests, whose responses may arrive out of order, the one that ends last counts.
func (b *backoff) extend(now time.Time, duration time.Duration) bool {
	until := now.Add(min(duration, maxBackoff))
	if !until.After(b.until) {
		return false
	}
	changed := !b.active(now) || until.Sub(b.until) >= minBackoffChange
	b.until, b.sent = until, 0
	return changed
}

// active reports whether the back-off lasts at the given time.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// wait returns the seconds until the back-off ends.
func (b *backoff) wait(now time.Time) float64 { return max(b.until.Sub(now), 0).Seconds() }

// admits reports whether the back-off and the ramp-up after it allow another call.
func (b *backoff) admits(now time.Time) bool {
	if b.active(now) {
		return false
	}
	step := int(now.Sub(b.until) / rampStep)
	return step >= rampSteps || b.sent < 1<<step
}

// countSent counts a call that is sent.
func (b *backoff) countSent() { b.sent++ }
