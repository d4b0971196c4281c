package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/reservation"
)

// recordArrival counts an arriving call for the rates of its service. A resumed stream and a retry
// were counted when they first arrived. What customers demand matters to a scheduler alone.
func (s *service) recordArrival(now time.Time, req *Request) {
	if req.Resumed || req.Retry {
		return
	}
	tier := newCallTier(req)
	s.measured.recordArrival(now, tier, s.minFraction(now))
	if s.isShared(now) {
		s.measured.recordCost(now, tier, req.Customer, cost(req))
	}
}

// restore puts calls back that no free server suited. Their customers are not charged for them:
// otherwise a customer whose long prompts wait for a suitable server would fall behind the others
// with each slot that becomes free.
func (s *service) restore(skipped []skippedCall) {
	for _, one := range skipped {
		s.queue.Restore(one.item)
		s.waiters[one.waiter.req.ID] = one.waiter
	}
}

// skippedCall is a call that was taken from the queue and that no free server suits.
type skippedCall struct {
	waiter *waiter
	item   *reservation.Item
}

// cost returns what fair queueing charges a call's customer, in tokens.
func cost(req *Request) float64 {
	return (&runworks.Reservation{PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens}).Cost()
}

// newCallTier returns the tier of a call as one that is not resumed and can be on time.
func newCallTier(req *Request) int {
	return routeSteps*lateSteps*req.Rank + min(req.RouteRank, routeSteps-1)
}

// admission returns what decides about an arriving call.
func (s *service) admission(now time.Time, w *waiter) *admission {
	tier := newCallTier(w.req)
	a := &admission{
		tier: tier, ahead: s.queue.Ahead(s.item(w, tier)), lateAhead: s.waitingIn(lateTier(tier)) + s.returns.Due(now, tier), backlog: s.queue.Backlog(tier, w.req.Customer),
		target: w.req.Target.Sub(now).Seconds(), leaves: w.req.lastStart().Sub(now).Seconds(),
	}
	if class := s.measured.classes[tier]; class != nil {
		a.demands = class.demands(now)
	}
	return a
}

// checkCapacity decides by the capacity of the whole service whether an arriving call waits for its
// target, waits as a late call, or is refused. A resumed stream waits in any case.
func (s *service) checkCapacity(now time.Time, w *waiter) error {
	if w.req.Resumed {
		return nil
	}
	a, v := s.admission(now, w), s.capacityView(now)
	verdict, onTime, late := v.decide(a)
	switch verdict {
	case waitForTarget:
		return nil
	case waitLate:
		w.late = true
		return nil
	case refuseNow:
	}
	w.overShare = v.backlogDelay(a) > v.startDelay(a.tier, a.ahead)
	return capacityError(a, w.overShare, onTime, late)
}

// checkLateCapacity returns an error if a call that missed its target while it waited is not likely
// to be served as a late one.
func (s *service) checkLateCapacity(now time.Time, w *waiter) error {
	if w.req.Resumed {
		return nil
	}
	a := s.admission(now, w)
	if late := s.capacityView(now).lateDelay(a.tier, a.lateAhead); late > a.leaves {
		return capacityError(a, false, math.Inf(1), late)
	}
	return nil
}

// capacityError returns the reason for the refusal of a call. It names the calls ahead or, for a call
// beyond its customer's share, those of its customer.
func capacityError(a *admission, overShare bool, onTime, late float64) error {
	start := "the target has passed"
	if a.target > 0 {
		ahead := fmt.Sprintf("%d calls of its rank wait ahead", a.ahead)
		if overShare {
			ahead = "its customer's calls that wait use its share"
		}
		start = fmt.Sprintf("%s, a start in %s, the target in %.0f ms", ahead, milliseconds(onTime), a.target*1000)
	}
	if math.IsInf(late, 1) {
		return errorx.Decorate(runworks.ErrShortage, "%s, and no capacity is left for late calls", start)
	}
	return errorx.Decorate(runworks.ErrShortage, "%s, a late start in %s, the caller leaves in %.0f ms", start, milliseconds(late), a.leaves*1000)
}

// pruneScheduled refuses waiting calls that are no longer likely to be served in time to be of use,
// each as soon as that is clear.
func (d *Dispatcher) pruneScheduled(now time.Time, s *service) {
	if !s.schedules(now) {
		return
	}
	v := s.capacityView(now)
	var tiers []int
	s.queue.EachTier(func(tier, _ int) { tiers = append(tiers, tier) })
	for _, tier := range tiers {
		ahead, due := 0, s.returns.Due(now, onTimeTier(tier))
		s.queue.EachInOrder(tier, func(t *reservation.Item) {
			w := s.waiters[t.ID]
			if w == nil || w.req.Resumed {
				ahead++
				return
			}
			a := &admission{
				tier: onTimeTier(tier), ahead: ahead, lateAhead: ahead + due,
				target: w.req.Target.Sub(now).Seconds(), leaves: w.req.lastStart().Sub(now).Seconds(),
			}
			if isLateTier(tier) {
				a.target = 0
			} else if c := v.class(tier); c != nil {
				a.lateAhead = c.late + due
			}
			if v.keeps(a) {
				ahead++
				return
			}
			s.queue.Remove(t.ID)
			v.remove(tier)
			err := capacityError(a, false, v.startDelay(a.tier, a.ahead), v.lateDelay(a.tier, a.lateAhead))
			s.drop(t.ID, d.refuse(now, s, w, CauseOvertaken, err))
		})
	}
}

// orderTime returns the time by which the calls of one customer and tier are ordered: the target, or
// the last possible start of late calls. A resumed stream keeps its place, as it shares its tier with
// calls that can be on time. By its deadline a returning call, which has less time left,
// would overtake calls that were admitted before it returned, and those would miss their targets.
func orderTime(w *waiter) time.Time {
	if w.late && !w.req.Resumed {
		return w.req.lastStart()
	}
	return w.req.Target
}

// pop removes and returns the waiting call that is served next on one of the open servers; nil if
// there is none. Ranks are served in strict order, except that a rank which is owed a start for its
// minimum share goes first. Slots that are kept free of lower ranks are open to it: otherwise it
// would get none while all others are taken. Classes whose calls were skipped are left out.
func (s *service) pop(now time.Time, open []*server, skipped []skippedCall) *reservation.Item {
	s.owedStart = false
	allowed := func(rank int) bool { return s.anyFree(open, rank) }
	if s.schedules(now) {
		skippedOf := make(map[int]int)
		for _, one := range skipped {
			skippedOf[one.item.Tier]++
		}
		allowed = func(rank int) bool { return skippedOf[rank] < maxSkippedOfTier && s.anyFree(open, rank) }
	}
	if tier := s.owed(now, skipped); tier >= 0 {
		s.owedStart = true
		if t := s.queue.Pop(now, func(rank int) bool { return onTimeTier(rank) == tier && allowed(rank) }); t != nil {
			return t
		}
		s.owedStart = false
	}
	return s.queue.Pop(now, allowed)
}

// owed returns the class that is owed a start for its minimum share; -1 if none is.
func (s *service) owed(now time.Time, skipped []skippedCall) int {
	if !s.measured.anyOwed() {
		return -1
	}
	var without []int
	for _, one := range skipped {
		without = append(without, newCallTier(one.waiter.req))
	}
	return s.capacityView(now).owed(without)
}

// milliseconds formats seconds for the cause of a refusal.
func milliseconds(seconds float64) string {
	if math.IsInf(seconds, 1) {
		return "no foreseeable time"
	}
	return fmt.Sprintf("%.0f ms", seconds*1000)
}
