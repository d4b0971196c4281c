package dispatch

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

const (
	// hopePart is the part of the time to its target that a call may be expected
	// to wait; what is left is for the server's first event.
	hopePart = 1.0
	// durationWeight is the weight of the newest call in the average duration.
	durationWeight = 0.05
	// startMargin is how much before its caller leaves a call must start at least.
	startMargin = 300 * time.Millisecond
)

// hopeless gives an error if a call that comes now is not likely to start inside
// its target. It is better refused at once: its caller comes back when the burst is
// over, and those that wait are not made late by it.
func (s *service) hopeless(now time.Time, ask *Ask) error {
	ahead := s.ahead(ask)
	rate := s.rate()
	if ahead == 0 || rate == 0 {
		return nil
	}
	allowed := hopePart * ask.Target.Sub(now).Seconds()
	if float64(ahead+1) <= rate*allowed {
		return nil
	}
	return errorx.Decorate(runworks.ErrShortage, "%d wait ahead, %.1f a second start here, %.0f ms to the target", ahead, rate, allowed*1000)
}

// rate is how many calls start here in a second when the slots that this entry
// has are used in full; 0 if that is not known.
func (s *service) rate() float64 {
	if s.duration == 0 {
		return 0
	}
	own := 0
	for _, one := range s.servers {
		own += one.own
	}
	return float64(own) / float64(s.duration)
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
