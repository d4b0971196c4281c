package serverlimit

import (
	"math"
	"time"

	"github.com/runworks/runworks"
)

// clearDelay is how long a limit is kept after a response without one. Responses overtake each
// other on their connections, and notices from other entries arrive later still: a limit that was
// dropped for a moment would let all of them fill the server's slots. It is several times what a
// response header takes.
const clearDelay = time.Second

// Limit is a backend server's rate limit as one entry knows it, with the entry's share of it. The
// zero value is no limit. It is not safe for concurrent use.
type Limit struct {
	perSecond float64
	// setAt is when the server last reported a limit, as far as is known; zero if it never did.
	setAt time.Time
	// clearedAt is when it first reported none since; zero if it still reports one.
	clearedAt time.Time
	share     Share
	// permits is the number of permits at filledAt.
	permits  float64
	filledAt time.Time
	// transferred is the number of permits that other entries donated.
	transferred int
	// awaitingShare means that the entry has no share yet since the limit became active.
	awaitingShare bool
	// coldRate is the limit in requests a second until coldUntil, besides perSecond.
	coldRate  float64
	coldUntil time.Time
}

// Set applies a server's report of its limit in requests a second, made at a time, and reports
// whether the limit changed. An older report than the last is ignored.
func (l *Limit) Set(now, at time.Time, perSecond float64) bool {
	reported := l.reported(now)
	if reported && (!at.After(l.setAt) || at.Before(l.clearedAt)) {
		return false
	}
	if !l.Active(now) {
		*l = Limit{filledAt: now, awaitingShare: true}
	}
	changed := !reported || perSecond != l.perSecond || !l.clearedAt.IsZero()
	l.perSecond, l.setAt, l.clearedAt = perSecond, at, time.Time{}
	return changed
}

// Clear applies a response without a limit that arrived at a time, to a request that was sent at
// another. It is ignored if the server reported a limit since the request was sent. It reports
// whether the limit changed.
func (l *Limit) Clear(now, at, sent time.Time) bool {
	if !l.reported(now) || !l.clearedAt.IsZero() || !sent.After(l.setAt) {
		return false
	}
	l.clearedAt = at
	return true
}

// SetColdStart limits the requests to a server that is slow from its start, until a time. It
// reports whether the entry's share must be set anew. A shorter cold start than the known one is
// ignored.
func (l *Limit) SetColdStart(now, until time.Time, perSecond float64) bool {
	if until.Before(l.coldUntil) {
		until = l.coldUntil
	}
	if !until.After(now) {
		return false
	}
	if !l.Active(now) {
		*l = Limit{filledAt: now, awaitingShare: true}
	}
	changed := !now.Before(l.coldUntil) || perSecond != l.coldRate
	l.coldRate, l.coldUntil = perSecond, until
	return changed
}

// Active reports whether a limit applies.
func (l *Limit) Active(now time.Time) bool { return l.reported(now) || now.Before(l.coldUntil) }

// reported reports whether a limit that the server reported applies.
func (l *Limit) reported(now time.Time) bool {
	return !l.setAt.IsZero() && (l.clearedAt.IsZero() || now.Sub(l.clearedAt) < clearDelay)
}

// Expired reports whether a limit was reported that no longer applies.
func (l *Limit) Expired(now time.Time) bool { return !l.setAt.IsZero() && !l.reported(now) }

// RemoveExpired removes a reported limit and a cold start that are over. It reports whether another
// limit still applies, so that the entry's share must be set anew.
func (l *Limit) RemoveExpired(now time.Time) bool {
	removed := false
	if l.Expired(now) {
		l.perSecond, l.setAt, l.clearedAt = 0, time.Time{}, time.Time{}
		removed = true
	}
	if !l.coldUntil.IsZero() && !now.Before(l.coldUntil) {
		l.coldRate, l.coldUntil = 0, time.Time{}
		removed = true
	}
	if removed && !l.Active(now) {
		*l = Limit{}
		return false
	}
	return removed
}

// Reported returns the server's last report, and when it was made.
func (l *Limit) Reported() (runworks.RateLimit, time.Time) {
	switch {
	case l.setAt.IsZero():
		return runworks.RateLimit{}, time.Time{}
	case !l.clearedAt.IsZero():
		return runworks.RateLimit{}, l.clearedAt
	}
	return runworks.RateLimit{Named: true, PerSecond: l.perSecond}, l.setAt
}

// PerSecond returns the limit in requests a second from all entries together.
func (l *Limit) PerSecond(now time.Time) float64 {
	switch {
	case !now.Before(l.coldUntil):
		return l.perSecond
	case !l.reported(now):
		return l.coldRate
	}
	return min(l.perSecond, l.coldRate)
}

// Share returns this entry's share of the limit.
func (l *Limit) Share() Share { return l.share }

// SetShare sets the entry's share from now on. A share that is set later starts without permits:
// the entry whose share it was may just have used its own.
func (l *Limit) SetShare(now time.Time, share Share) {
	l.fill(now)
	if l.awaitingShare {
		l.permits, l.awaitingShare = share.Initial, false
	}
	l.share = share
	l.permits = min(l.permits, share.Burst)
}

// Admits reports whether the entry may send a request now.
func (l *Limit) Admits(now time.Time) bool { return l.Wait(now) == 0 }

// Wait returns in how many seconds the entry may send a request; infinity if it has no share.
func (l *Limit) Wait(now time.Time) float64 {
	if !l.Active(now) {
		return 0
	}
	l.fill(now)
	switch {
	case l.permits >= 1 || l.transferred > 0:
		return 0
	case l.share.PerSecond == 0:
		return math.Inf(1)
	}
	return (1 - l.permits) / l.share.PerSecond
}

// Consume uses a permit for a request that is sent, a transferred one first.
func (l *Limit) Consume(now time.Time) {
	if !l.Active(now) {
		return
	}
	l.fill(now)
	if l.transferred > 0 {
		l.transferred--
		return
	}
	l.permits--
}

// Donate gives up to that many permits to another entry, which uses them in this entry's place,
// and returns how many.
func (l *Limit) Donate(now time.Time, requests int) int {
	if !l.Active(now) {
		return 0
	}
	l.fill(now)
	n := min(max(requests, 0), max(int(l.permits), 0))
	l.permits -= float64(n)
	return n
}

// AddTransferred adds permits that another entry donated. They must be used now: DropTransferred
// discards the others, so that the entries' permits do not add up to more than before.
func (l *Limit) AddTransferred(requests int) { l.transferred += requests }

// DropTransferred discards transferred permits that were not used.
func (l *Limit) DropTransferred() { l.transferred = 0 }

// fill adds the permits that the share's rate yields since the last call.
func (l *Limit) fill(now time.Time) {
	if since := now.Sub(l.filledAt); since > 0 {
		l.permits = min(l.permits+since.Seconds()*l.share.PerSecond, l.share.Burst)
		l.filledAt = now
	}
}
