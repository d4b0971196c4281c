package serverlimit

import (
	"math"
	"time"

	"github.com/runworks/runworks"
)

// endAfter is for how long a limit is still kept after an answer that names none. Answers
// overtake each other on their connections, and what other entries tell comes later still:
// a limit that was let go for a moment would let all of them fill the server's slots. Some
// times the time that an answer's head takes.
const endAfter = time.Second

// Limit is a backend server's limit as one entry knows it, and its part of it. The zero
// value is none. It takes no lock.
type Limit struct {
	perSecond float64
	// named is when the server named a limit last, as far as is known; zero is never.
	named time.Time
	// ended is when it first named none since; zero if it still does.
	ended time.Time
	part  Share
	// level is how many requests were at hand at the time at.
	level float64
	at    time.Time
	// borrowed is how many more another entry gave.
	borrowed int
	// fresh says that the entry was given no part yet since the limit was named first.
	fresh bool
}

// Set takes a server's word that it has a limit, given at a time, and says whether anything
// is new in it. Of two words the newer counts.
func (l *Limit) Set(now, at time.Time, perSecond float64) bool {
	inForce := l.Active(now)
	if inForce && (!at.After(l.named) || at.Before(l.ended)) {
		return false
	}
	if !inForce {
		*l = Limit{at: now, fresh: true}
	}
	news := !inForce || perSecond != l.perSecond || !l.ended.IsZero()
	l.perSecond, l.named, l.ended = perSecond, at, time.Time{}
	return news
}

// Clear takes an answer without a limit that came at a time, to a request that was sent at
// another: it says nothing if the server named a limit since then. The result says whether
// anything is new in it.
func (l *Limit) Clear(now, at, sent time.Time) bool {
	if !l.Active(now) || !l.ended.IsZero() || !sent.After(l.named) {
		return false
	}
	l.ended = at
	return true
}

// Active says whether a limit holds.
func (l *Limit) Active(now time.Time) bool {
	return !l.named.IsZero() && (l.ended.IsZero() || now.Sub(l.ended) < endAfter)
}

// Expired says whether a limit was named that holds no more.
func (l *Limit) Expired(now time.Time) bool { return !l.named.IsZero() && !l.Active(now) }

// Reported is the server's newest word, and when it was given.
func (l *Limit) Reported() (runworks.RateLimit, time.Time) {
	switch {
	case l.named.IsZero():
		return runworks.RateLimit{}, time.Time{}
	case !l.ended.IsZero():
		return runworks.RateLimit{}, l.ended
	}
	return runworks.RateLimit{Named: true, PerSecond: l.perSecond}, l.named
}

// PerSecond is the limit in requests a second from all entries together.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// Share is this entry's part of the limit.
func (l *Limit) Share() Share { return l.part }

// SetShare gives the entry its part from now on. A later one begins with no request at hand: the
// entry whose part this was may just have sent its own.
func (l *Limit) SetShare(now time.Time, part Share) {
	l.fill(now)
	if l.fresh {
		l.level, l.fresh = part.Initial, false
	}
	l.part = part
	l.level = min(l.level, part.Burst)
}

// Admits says whether the entry may send a request now.
func (l *Limit) Admits(now time.Time) bool { return l.Wait(now) == 0 }

// Wait is in how many seconds the entry may send a request; infinite if it has no part.
func (l *Limit) Wait(now time.Time) float64 {
	if !l.Active(now) {
		return 0
	}
	l.fill(now)
	switch {
	case l.level >= 1 || l.borrowed > 0:
		return 0
	case l.part.PerSecond == 0:
		return math.Inf(1)
	}
	return (1 - l.level) / l.part.PerSecond
}

// Consume counts a request that is sent.
func (l *Limit) Consume(now time.Time) {
	if !l.Active(now) {
		return
	}
	l.fill(now)
	if l.borrowed > 0 {
		l.borrowed--
		return
	}
	l.level--
}

// Donate gives requests at hand away, so many at most, and says how many: who takes them sends
// them in this entry's place.
func (l *Limit) Donate(now time.Time, requests int) int {
	if !l.Active(now) {
		return 0
	}
	l.fill(now)
	n := min(max(requests, 0), max(int(l.level), 0))
	l.level -= float64(n)
	return n
}

// AddTransferred takes requests that another entry gave away. They are to be sent now: what is not
// is lost with Drop, so that what all have at hand stays what it was.
func (l *Limit) AddTransferred(requests int) { l.borrowed += requests }

// DropTransferred forgets borrowed requests that were not sent.
func (l *Limit) DropTransferred() { l.borrowed = 0 }

// fill counts what the rate gave since the last look.
func (l *Limit) fill(now time.Time) {
	if since := now.Sub(l.at); since > 0 {
		l.level = min(l.level+since.Seconds()*l.part.PerSecond, l.part.Burst)
		l.at = now
	}
}
