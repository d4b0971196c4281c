package dispatch

import "time"

const (
	// maxBackoff bounds how long a server is left alone by one word of it: after an hour it is
	// asked again.
	maxBackoff = time.Hour
	// minBackoffChange is how much longer a rest must become to be told of: calls that were sent
	// together are turned away some milliseconds apart.
	minBackoffChange = 500 * time.Millisecond
	// rampStep is the time in which what an entry may send after a rest doubles, from one call
	// on: in it a server that still has no room says so, before it gets all that its slots
	// would hold, and the other entries hear of the calls.
	rampStep = 100 * time.Millisecond
	// rampSteps is after how many of them an entry may send all that the slots hold.
	rampSteps = 8
)

// backoff is the time in which a server wants nothing from this entry, and the moment after it;
// the zero value is none. A server that rests has not failed: it is left alone, and has its
// full load afterwards, one step after the other, as all calls that waited for it would else
// come at once.
type backoff struct {
	until time.Time
	// sent is how many calls were sent since.
	sent int
}

// extend takes the server's word that it wants rest for a time, and says whether that is news. Of
// several words, on answers that overtake each other, the longest holds.
func (r *backoff) extend(now time.Time, lasts time.Duration) bool {
	until := now.Add(min(lasts, maxBackoff))
	if !until.After(r.until) {
		return false
	}
	news := !r.active(now) || until.Sub(r.until) >= minBackoffChange
	r.until, r.sent = until, 0
	return news
}

// active says whether the server wants nothing now.
func (r *backoff) active(now time.Time) bool { return now.Before(r.until) }

// wait is in how many seconds the rest ends.
func (r *backoff) wait(now time.Time) float64 { return max(r.until.Sub(now), 0).Seconds() }

// admits says whether a call may be sent, as far as the rest is concerned.
func (r *backoff) admits(now time.Time) bool {
	if r.active(now) {
		return false
	}
	step := int(now.Sub(r.until) / rampStep)
	return step >= rampSteps || r.sent < 1<<step
}

// countSent counts a call that is sent.
func (r *backoff) countSent() { r.sent++ }
