package dispatch

import "time"

const (
	// longestRest bounds how long a server is left alone by one word of it: after an hour it is
	// asked again.
	longestRest = time.Hour
	// restNews is how much longer a rest must become to be told of: calls that were sent
	// together are turned away some milliseconds apart.
	restNews = 500 * time.Millisecond
	// restStep is the time in which what an entry may send after a rest doubles, from one call
	// on: in it a server that still has no room says so, before it gets all that its slots
	// would hold, and the other entries hear of the calls.
	restStep = 100 * time.Millisecond
	// restSteps is after how many of them an entry may send all that the slots hold.
	restSteps = 8
)

// rest is the time in which a server wants nothing from this entry, and the moment after it;
// the zero value is none. A server that rests has not failed: it is left alone, and has its
// full load afterwards, one step after the other, as all calls that waited for it would else
// come at once.
type rest struct {
	until time.Time
	// sent is how many calls were sent since.
	sent int
}

// ask takes the server's word that it wants rest for a time, and says whether that is news. Of
// several words, on answers that overtake each other, the longest holds.
func (r *rest) ask(now time.Time, lasts time.Duration) bool {
	until := now.Add(min(lasts, longestRest))
	if !until.After(r.until) {
		return false
	}
	news := !r.asked(now) || until.Sub(r.until) >= restNews
	r.until, r.sent = until, 0
	return news
}

// asked says whether the server wants nothing now.
func (r *rest) asked(now time.Time) bool { return now.Before(r.until) }

// wait is in how many seconds the rest ends.
func (r *rest) wait(now time.Time) float64 { return max(r.until.Sub(now), 0).Seconds() }

// room says whether a call may be sent, as far as the rest is concerned.
func (r *rest) room(now time.Time) bool {
	if r.asked(now) {
		return false
	}
	step := int(now.Sub(r.until) / restStep)
	return step >= restSteps || r.sent < 1<<step
}

// spend counts a call that is sent.
func (r *rest) spend() { r.sent++ }
