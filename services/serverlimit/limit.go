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
	part  Part
	// level is how many requests were at hand at the time at.
	level float64
	at    time.Time
	// borrowed is how many more another entry gave.
	borrowed int
	// fresh says that the entry was given no part yet since the limit was named first.
	fresh bool
}

// Name takes a server's word that it has a limit, given at a time, and says whether anything
// is new in it. Of two words the newer counts.
func (l *Limit) Name(now, at time.Time, perSecond float64) bool {
	inForce := l.InForce(now)
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

// End takes an answer without a limit that came at a time, to a request that was sent at
// another: it says nothing if the server named a limit since then. The result says whether
// anything is new in it.
func (l *Limit) End(now, at, sent time.Time) bool {
	if !l.InForce(now) || !l.ended.IsZero() || !sent.After(l.named) {
		return false
	}
	l.ended = at
	return true
}

// InForce says whether a limit holds.
func (l *Limit) InForce(now time.Time) bool {
	return !l.named.IsZero() && (l.ended.IsZero() || now.Sub(l.ended) < endAfter)
}

// Over says whether a limit was named that holds no more.
func (l *Limit) Over(now time.Time) bool { return !l.named.IsZero() && !l.InForce(now) }

// Word is the server's newest word, and when it was given.
func (l *Limit) Word() (runworks.RateLimit, time.Time) {
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

// Part is this entry's part of the limit.
func (l *Limit) Part() Part { return l.part }

// Share gives the entry its part from now on. A later one begins with no request at hand: the
// entry whose part this was may just have sent its own.
func (l *Limit) Share(now time.Time, part Part) {
	l.fill(now)
	if l.fresh {
		l.level, l.fresh = part.First, false
	}
	l.part = part
	l.level = min(l.level, part.AtOnce)
}

// Admits says whether the entry may send a request now.
func (l *Limit) Admits(now time.Time) bool { return l.Wait(now) == 0 }

// Wait is in how many seconds the entry may send a request; infinite if it has no part.
func (l *Limit) Wait(now time.Time) float64 {
	if !l.InForce(now) {
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

// Spend counts a request that is sent.
func (l *Limit) Spend(now time.Time) {
	if !l.InForce(now) {
		return
	}
	l.fill(now)
	if l.borrowed > 0 {
		l.borrowed--
		return
	}
	l.level--
}

// Lend gives requests at hand away, so many at most, and says how many: who takes them sends
// them in this entry's place.
func (l *Limit) Lend(now time.Time, requests int) int {
	if !l.InForce(now) {
		return 0
	}
	l.fill(now)
	n := min(max(requests, 0), max(int(l.level), 0))
	l.level -= float64(n)
	return n
}

// Borrow takes requests that another entry gave away. They are to be sent now: what is not
// is lost with Drop, so that what all have at hand stays what it was.
func (l *Limit) Borrow(requests int) { l.borrowed += requests }

// Drop forgets borrowed requests that were not sent.
func (l *Limit) Drop() { l.borrowed = 0 }

// fill counts what the rate gave since the last look.
func (l *Limit) fill(now time.Time) {
	if since := now.Sub(l.at); since > 0 {
		l.level = min(l.level+since.Seconds()*l.part.PerSecond, l.part.AtOnce)
		l.at = now
	}
}
