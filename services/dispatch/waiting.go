package dispatch

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/reservation"
)

const (
	// routeSteps is the number of tiers in each group, one for each route rank.
	routeSteps = 16
	// lateSteps is the number of groups of tiers for each customer rank: calls that missed
	// their targets come after all of the same rank that can still meet theirs.
	lateSteps = 2
	// lengthPenaltyFraction is the fraction of its expected duration by which a call is moved
	// behind shorter ones of its customer. It is small, so that the longest calls, which are
	// worth most to their callers, are seldom late.
	lengthPenaltyFraction = 0.1
)

// waiter is a waiting call.
type waiter struct {
	req *Request
	// entry is the entry that sends the call; empty is this entry.
	entry runworks.Incarnation
	lease chan *Lease
	late  bool
	// overShare is set if the call was refused as its customer's waiting calls use its share.
	overShare bool
	// arrival numbers calls in the order in which they arrived.
	arrival int
	// feasible reports whether some server could let the call meet its target on arrival.
	feasible bool
	// err is set before lease is closed.
	err error
}

// enqueueLocked puts a call in the queue of its service and reports whether there was room.
func (d *Dispatcher) enqueueLocked(s *service, w *waiter) bool {
	s.recordRequest(w.req)
	t := s.item(w, queueTier(w.req, w.late))
	verdict, dropped := s.queue.Offer(time.Now(), t, func(int) int { return 0 })
	if dropped != nil {
		s.drop(dropped.ID, runworks.ErrShortage)
	}
	if verdict != reservation.Accepted {
		return false
	}
	s.waiters[w.req.ID] = w
	return true
}

// item returns the entry of a call in the queue.
func (s *service) item(w *waiter, tier int) *reservation.Item {
	t := &reservation.Item{
		Reservation: runworks.Reservation{
			ID: w.req.ID, Service: w.req.Service, Tier: tier, Customer: w.req.Customer,
			PromptTokens: w.req.PromptTokens, MaxTokens: w.req.MaxTokens,
		},
		Deadline:   w.req.Deadline,
		OrderDelay: s.lengthPenalty(w.req),
	}
	if now := time.Now(); s.schedules(now) {
		t.OrderDelay += orderTime(w).Sub(t.Deadline)
		t.Behind = s.customerBehind(now, tier, w.req.Customer)
	}
	return t
}

// drop removes a waiting call, which returns err.
func (s *service) drop(id runworks.RequestID, err error) {
	if w := s.waiters[id]; w != nil {
		delete(s.waiters, id)
		w.abandon(err)
	}
}

// abandon ends the wait of a call without a server.
func (w *waiter) abandon(err error) {
	w.err = err
	close(w.lease)
}

// result returns the lease that the call received, or the error if there is none.
func (w *waiter) result(lease *Lease) (*Lease, error) {
	if lease == nil {
		return nil, w.err
	}
	return lease, nil
}

// demote moves a call that missed its target behind those that can still meet theirs. It
// returns an error if the call is not likely to start there before its caller disconnects.
func (d *Dispatcher) demote(w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[w.req.Service]
	if s == nil || s.queue.Remove(w.req.ID) == nil {
		return nil
	}
	delete(s.waiters, w.req.ID)
	w.late = true
	now := time.Now()
	if err := s.checkLateAdmission(now, w); err != nil {
		return d.refuse(now, s, w, CauseTarget, err)
	}
	if !d.enqueueLocked(s, w) {
		w.abandon(d.refuse(now, s, w, CauseQueueFull, runworks.ErrShortage))
	}
	d.pumpLocked(s) // a late call may use servers that it had to avoid before
	return nil
}

// cancel removes a call from the queue; a lease that was granted in the meantime is returned.
func (d *Dispatcher) cancel(w *waiter, err error) (*Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case lease := <-w.lease:
		return w.result(lease)
	default:
	}
	if s := d.services[w.req.Service]; s != nil {
		s.queue.Remove(w.req.ID)
		delete(s.waiters, w.req.ID)
	}
	return nil, err
}

// queueTier returns the tier in which a call waits. An answer that broke off comes before
// all new calls of its customer's rank: what was read and generated would be lost, and its
// caller disconnects soon.
func queueTier(req *Request, late bool) int {
	step := lateSteps * req.Rank
	if req.Resumed {
		return routeSteps * step
	}
	if late {
		step++
	}
	return routeSteps*step + min(req.RouteRank, routeSteps-1)
}

// isLateTier reports whether a tier holds late calls.
func isLateTier(queueRank int) bool { return queueRank/routeSteps%lateSteps == 1 }

// routeRank returns the route rank of a tier.
func routeRank(queueRank int) int { return queueRank % routeSteps }

// lengthPenalty returns how much later than by its deadline a call is placed in its customer's
// order.
func (s *service) lengthPenalty(req *Request) time.Duration {
	_, fastest := s.paces()
	return time.Duration(lengthPenaltyFraction * s.expectedEvents(req) * fastest * float64(time.Second))
}

// expectedEvents returns how many events a call's answer is expected to have; 0 if that is
// unknown.
func (s *service) expectedEvents(req *Request) float64 {
	if s.tokensPerEvent == 0 {
		return 0
	}
	return float64(req.ExpectedTokens) / float64(s.tokensPerEvent)
}
