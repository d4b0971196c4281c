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
	// durationWeight is the weight of the newest call in the mean duration.
	durationWeight = 0.05
	// minWaitFraction is the lowest fraction of its caller timeout for which a late call may
	// wait, however long it holds its slot. Long late calls are rejected before short ones, so that
	// more are served while all slots are taken. The bound lets long calls start once the queue is
	// short.
	minWaitFraction = 0.3
	// startMargin is how long before its caller disconnects a call must start.
	startMargin = 300 * time.Millisecond
)

// checkAdmission decides whether a call that arrives waits for its target or, if it is not
// likely to start by then, as a late call. It returns an error if the call should not wait.
func (s *service) checkAdmission(now time.Time, w *waiter) error {
	if s.schedules(now) {
		return s.checkCapacity(now, w)
	}
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

// checkLateAdmission returns an error if a late call is not likely to start before its caller
// disconnects, so that it is refused at once. A resumed call may wait anyway, unless all
// servers back off for longer than its caller waits.
func (s *service) checkLateAdmission(now time.Time, w *waiter) error {
	if s.schedules(now) {
		return s.checkLateCapacity(now, w)
	}
	return s.checkLateStart(now, w, s.waitingIn(queueTier(w.req, true)))
}

// checkLateStart returns an error if a late call with ahead calls before it is not likely to
// start before its caller disconnects.
func (s *service) checkLateStart(now time.Time, w *waiter, ahead int) error {
	left := w.req.lastStart().Sub(now).Seconds()
	if w.req.Resumed && s.backoffRemaining(now).Seconds() <= left {
		return nil
	}
	in := s.startDelay(now, queueTier(w.req, true), ahead)
	if in <= left*s.waitFraction(w.req) {
		return nil
	}
	switch {
	case math.IsInf(in, 1):
		return errorx.Decorate(runworks.ErrShortage, "all servers limit their requests, and no part is this entry's")
	case s.throttled(now):
		return errorx.Decorate(runworks.ErrShortage, "all servers rest or limit their requests, for some %.0f ms, the caller leaves in %.0f ms", in*1000, left*1000)
	}
	return errorx.Decorate(runworks.ErrShortage, "%d late calls wait ahead for some %.0f ms, the caller leaves in %.0f ms", ahead, in*1000, left*1000)
}

// waitFraction returns the fraction of its caller timeout for which a call may wait late. The
// longer the call is expected to hold its slot, compared with the mean of its route's rank,
// the lower it is.
func (s *service) waitFraction(req *Request) float64 {
	mean := float64(s.statsFor(req.RouteRank).duration)
	typical, _ := s.paces()
	expected := s.expectedEvents(req) * typical
	if mean == 0 || expected == 0 {
		return 1
	}
	return min(max(mean/expected, minWaitFraction), 1)
}

// prune refuses late calls that are no longer likely to start. Otherwise callers disconnect
// without an attempt: on the busiest days a third of those of the lowest rank. Calls that are
// not late yet are checked too while all servers back off.
func (s *service) prune(now time.Time) {
	if s.schedules(now) {
		return // see pruneScheduled
	}
	var waiting []*waiter
	backoff := s.backoffRemaining(now) > 0
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

// byLastStart orders calls by their last possible start, then by arrival.
func byLastStart(a, b *waiter) int {
	return cmp.Or(a.req.lastStart().Compare(b.req.lastStart()), cmp.Compare(a.arrival, b.arrival))
}

// startDelay returns in how many seconds a call of a tier with ahead calls before it starts. It
// is 0 for the first call where nothing but a slot is needed, and while too little is known.
func (s *service) startDelay(now time.Time, tier, ahead int) float64 {
	if s.throttled(now) {
		return s.throttledStart(now, s.startShare(tier), ahead)
	}
	if s.schedules(now) && !isLateTier(tier) {
		return s.capacityView(now).startDelay(tier, ahead)
	}
	rate := s.startRate() * s.startShare(tier)
	if ahead == 0 || rate == 0 {
		return 0
	}
	return float64(ahead+1) / rate
}

// startRate returns how many calls start per second while this entry uses the slots that it
// has without a break; 0 if that is unknown.
func (s *service) startRate() float64 {
	if s.duration == 0 {
		return 0
	}
	own := 0
	for _, one := range s.servers {
		own += one.countedCalls()
	}
	return float64(own) / float64(s.duration)
}

// waitingIn returns how many calls of a tier wait.
func (s *service) waitingIn(tier int) int {
	n := 0
	s.queue.EachTier(func(rank, waiting int) {
		if rank == tier {
			n = waiting
		}
	})
	return n
}

// lastStart returns the latest time at which the call must be assigned a server.
func (a *Request) lastStart() time.Time {
	if a.CallerTimeout.IsZero() || a.Deadline.Before(a.CallerTimeout) {
		return a.Deadline
	}
	return a.CallerTimeout.Add(-startMargin)
}
