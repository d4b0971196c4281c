package forward

import (
	"sync"
	"time"
)

const (
	// maxDurations is how many of the latest calls of a route and service are compared with.
	maxDurations = 64
	// minDurations is the number of calls from which on they are compared with.
	minDurations = 4
	// unknownDuration is how long a call without a target is assumed to take before.
	unknownDuration = time.Second
	// durationMargin is the fraction by which a call may take longer than the one it is compared with.
	durationMargin = 0.125
	// maxRoutes bounds the routes and services that are remembered; beyond it all are forgotten, as routes
	// change rarely.
	maxRoutes = 4096
	// outputWork is the work of an output token, compared with that of a prompt token.
	outputWork = 10
)

// durations holds how long the latest calls took from their send to the end of the response.
type durations struct {
	mu    sync.Mutex
	calls map[durationKey]*latestCalls
}

type durationKey struct{ route, service string }

// latestCalls is a ring of calls.
type latestCalls struct {
	ring [maxDurations]endedCall
	n    int
}

// endedCall is a call with the work of its tokens; 0 is unknown.
type endedCall struct {
	took time.Duration
	work int
}

// add records a call.
func (d *durations) add(key durationKey, one endedCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls == nil || len(d.calls) >= maxRoutes && d.calls[key] == nil {
		d.calls = make(map[durationKey]*latestCalls)
	}
	l := d.calls[key]
	if l == nil {
		l = &latestCalls{}
		d.calls[key] = l
	}
	l.ring[l.n%maxDurations] = one
	l.n++
}

// late returns which fraction of the latest calls would have taken longer than left. Calls with tokens are
// compared by their work, as those of one route differ a hundredfold. It is 0 or 1 by the assumed
// duration while few calls are known.
func (d *durations) late(key durationKey, work int, assumed, left time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.calls[key]
	if l == nil || l.n < minDurations {
		if assumed > left {
			return 1
		}
		return 0
	}
	late, n := 0, min(l.n, maxDurations)
	for _, one := range l.ring[:n] {
		took := one.took.Seconds() * (1 + durationMargin)
		if work > 0 && one.work > 0 {
			took *= float64(work) / float64(one.work)
		}
		if took > left.Seconds() {
			late++
		}
	}
	return float64(late) / float64(n)
}

// work returns the work of the call's tokens; 0 is unknown.
func (c *call) work() int {
	if c.in.ExpectedTokens == 0 {
		return 0
	}
	return c.in.PromptTokens + outputWork*c.in.ExpectedTokens
}

// recordDuration records how long the call took. One that several servers ran, or that continued a stream,
// does not show how long a whole one takes.
func (c *call) recordDuration() {
	if c.ran == 1 && !c.resumedByCaller() {
		c.f.durations.add(durationKey{c.route.Name, c.service}, endedCall{took: time.Since(c.sent), work: c.work()})
	}
}
