package dispatch

import "time"

const (
	// grantSpan is the time over which grants are counted: short against a burst,
	// and some times the pause between two grants of a busy service.
	grantSpan = time.Second
	// hopePart is the part of the time to its target that a call may be expected
	// to wait; what is left is for the server's first event.
	hopePart = 1.0
	// startMargin is how much before its caller leaves a call must start at least.
	startMargin = 300 * time.Millisecond
)

// grants holds the times of the grants of the last grantSpan.
type grants struct {
	times []time.Time
}

func (g *grants) add(now time.Time) {
	g.times = append(g.times, now)
	g.trim(now)
}

// perSecond is the rate of the grants of late.
func (g *grants) perSecond(now time.Time) float64 {
	g.trim(now)
	return float64(len(g.times)) / grantSpan.Seconds()
}

func (g *grants) trim(now time.Time) {
	i := 0
	for i < len(g.times) && now.Sub(g.times[i]) > grantSpan {
		i++
	}
	g.times = g.times[i:]
}

func (s *service) noteGrant(now time.Time, routeRank int) {
	s.grants[min(routeRank, routeSteps-1)].add(now)
}

// hopeful says whether a call that comes now is likely to start inside its
// target. One that is not is better refused at once: its caller comes back when
// the burst is over, and those that wait are not made late by it.
func (s *service) hopeful(now time.Time, ask *Ask) bool {
	ahead := s.ahead(ask)
	if ahead == 0 {
		return true
	}
	rate := s.grants[min(ask.RouteRank, routeSteps-1)].perSecond(now)
	allowed := hopePart * ask.Target.Sub(now).Seconds()
	return float64(ahead+1) <= rate*allowed
}

// ahead is how many calls of the same route's rank would start before this one.
func (s *service) ahead(ask *Ask) int {
	n := 0
	mine := queueRank(ask, false)
	s.queue.EachTier(func(rank, waiting int) {
		if rank <= mine && routeRank(rank) == min(ask.RouteRank, routeSteps-1) {
			n += waiting
		}
	})
	return n
}

// lastStart is when the call must have a server at the latest.
func (a *Ask) lastStart() time.Time {
	if a.Patience.IsZero() || a.Deadline.Before(a.Patience) {
		return a.Deadline
	}
	return a.Patience.Add(-startMargin)
}
