package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

const (
	// durationWeight is the weight of the newest call in the average duration.
	durationWeight = 0.05
	// minWaitFraction is the part of its caller's patience that a late call may wait at least,
	// however long it keeps its slot. Of long and short ones that come too late the short
	// go first: 0.377 in place of 0.372 of the lowest rank's calls are on time and 0.380 in
	// place of 0.388 refused (10 paired plays of days on which all slots are taken). The
	// bound leaves the long their turn as soon as the queue is short.
	minWaitFraction = 0.3
	// startMargin is how much before its caller leaves a call must start at least.
	startMargin = 300 * time.Millisecond
)

// checkAdmission decides whether a call that comes now waits for its target, or, if it is not likely
// to start by then, as a late one.
func (s *service) checkAdmission(now time.Time, w *waiter) error {
	if w.req.Resumed {
		return s.checkLateAdmission(now, w)
	}
	tier := queueTier(w.req, false)
	if s.startDelay(now, tier, s.waitingIn(tier)) <= w.req.Target.Sub(now).Seconds() {
		return nil
	}
	w.late = true
	return s.checkLateAdmission(now, w)
}

// checkLateAdmission says whether a late call has no hope to start before its caller leaves: that
// one is better told at once. An answer that broke off is let wait, but not where all servers
// rest for longer than its caller waits.
func (s *service) checkLateAdmission(now time.Time, w *waiter) error {
	return s.checkLateStart(now, w, s.waitingIn(queueTier(w.req, true)))
}

// checkLateStart gives an error if a late call that has so many ahead is not likely to start
// before its caller leaves.
func (s *service) checkLateStart(now time.Time, w *waiter, ahead int) error {
	left := w.req.lastStart().Sub(now).Seconds()
	if w.req.Resumed && s.restsFor(now).Seconds() <= left {
		return nil
	}
	in := s.startDelay(now, queueTier(w.req, true), ahead)
	if in <= left*s.waitFraction(w.req) {
		return nil
	}
	switch {
	case math.IsInf(in, 1):
		return errorx.Decorate(runworks.ErrShortage, "all servers limit their requests, and no part is this entry's")
	case s.withheld(now):
		return errorx.Decorate(runworks.ErrShortage, "all servers rest or limit their requests, for some %.0f ms, the caller leaves in %.0f ms", in*1000, left*1000)
	}
	return errorx.Decorate(runworks.ErrShortage, "%d late calls wait ahead for some %.0f ms, the caller leaves in %.0f ms", ahead, in*1000, left*1000)
}

// waitFraction is the part of its caller's waitFraction that a call may wait late: the less, the
// longer it is expected to keep its slot beyond the mean of its route's rank.
func (s *service) waitFraction(req *Request) float64 {
	mean := float64(s.statsFor(req.RouteRank).duration)
	typical, _ := s.paces()
	expected := s.expectedEvents(req) * typical
	if mean == 0 || expected == 0 {
		return 1
	}
	return min(max(mean/expected, minWaitFraction), 1)
}

// prune tells the late calls that have no hope any more, as the queue moves: calls held
// until their callers left untried, a third of the lowest rank's on the busiest day. Those that
// are not late yet have none either where all servers asked for a rest that outlasts them.
func (s *service) prune(now time.Time) {
	var waiting []*waiter
	backoff := s.restsFor(now) > 0
	for _, w := range s.waiters {
		if w.late || backoff {
			waiting = append(waiting, w)
		}
	}
	slices.SortFunc(waiting, byLastStart)
	ahead := make(map[int]int)
	for _, w := range waiting {
		tier := queueTier(w.req, true)
		if err := s.checkLateStart(now, w, ahead[tier]); err != nil {
			s.queue.Remove(w.req.ID)
			s.drop(w.req.ID, err)
			continue
		}
		ahead[tier]++
	}
}

// byLastStart orders calls by when their callers leave, and as they came.
func byLastStart(a, b *waiter) int {
	return cmp.Or(a.req.lastStart().Compare(b.req.lastStart()), cmp.Compare(a.arrival, b.arrival))
}

// startDelay is in how many seconds a call of a tier starts that has so many ahead; 0 for
// the first where a slot is all that it needs, and as long as nothing is known.
func (s *service) startDelay(now time.Time, tier, ahead int) float64 {
	if s.withheld(now) {
		return s.withheldStart(now, s.startShare(tier), ahead)
	}
	rate := s.startRate() * s.startShare(tier)
	if ahead == 0 || rate == 0 {
		return 0
	}
	return float64(ahead+1) / rate
}

// startRate is how many calls start here in a second when the slots that this entry
// has are used in full; 0 if that is not known.
func (s *service) startRate() float64 {
	if s.duration == 0 {
		return 0
	}
	own := 0
	for _, one := range s.servers {
		own += one.own
	}
	return float64(own) / float64(s.duration)
}

// waitingIn is how many calls of a tier wait.
func (s *service) waitingIn(tier int) int {
	n := 0
	s.queue.EachTier(func(rank, waiting int) {
		if rank == tier {
			n = waiting
		}
	})
	return n
}

// lastStart is when the call must have a server at the latest.
func (a *Request) lastStart() time.Time {
	if a.CallerTimeout.IsZero() || a.Deadline.Before(a.CallerTimeout) {
		return a.Deadline
	}
	return a.CallerTimeout.Add(-startMargin)
}
