package dispatch

import "time"

// longestRest bounds how long a server is left alone by one word of it: after an hour it is
// asked again.
const longestRest = time.Hour

// rest is the time in which a server wants nothing from this entry; the zero value is none.
type rest struct {
	until time.Time
}

// ask takes the server's word that it wants rest for a time, and says whether that changes
// anything: of several words, on answers that overtake each other, the longest holds.
func (r *rest) ask(now time.Time, lasts time.Duration) bool {
	until := now.Add(min(lasts, longestRest))
	if !until.After(r.until) {
		return false
	}
	r.until = until
	return true
}

// asked says whether the server wants nothing now.
func (r *rest) asked(now time.Time) bool { return now.Before(r.until) }
