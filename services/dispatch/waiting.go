package dispatch

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/reservation"
)

const (
	// routeSteps spreads the ranks of customers, so that the ranks of routes stand
	// between them.
	routeSteps = 16
	// lateSteps spreads the ranks of customers once more, so that calls that missed their
	// targets stand behind all of their customers' rank that can still meet theirs.
	lateSteps = 2
	// lengthPenaltyFraction is which part of its expected duration a call stands behind shorter ones
	// of its customer: small, so that the longest, which are worth most to their callers,
	// are seldom late.
	lengthPenaltyFraction = 0.1
)

// waiter is a call that waits.
type waiter struct {
	req   *Request
	lease chan *Lease
	late  bool
	// arrival tells the order in which calls came.
	arrival int
	// feasible says that some server could let it be in time when it came.
	feasible bool
	// err is set before lease is closed.
	err error
}

// enqueueLocked puts a call in the queue of its service; false if it is full.
func (d *Dispatcher) enqueueLocked(s *service, w *waiter) bool {
	s.recordRank(w.req.RouteRank)
	if gap := w.req.MaxGap; gap > 0 && (s.maxGap == 0 || gap < s.maxGap) {
		s.maxGap = gap
	}
	t := &reservation.Waiting{
		Reservation: runworks.Reservation{
			ID: w.req.ID, Service: w.req.Service, Tier: queueTier(w.req, w.late), Customer: w.req.Customer,
			PromptTokens: w.req.PromptTokens, MaxTokens: w.req.MaxTokens,
		},
		Deadline: w.req.Deadline,
		Behind:   s.lengthPenalty(w.req),
	}
	verdict, dropped := s.queue.Offer(time.Now(), t, func(int) int { return 0 })
	if dropped != nil {
		s.drop(dropped.ID, runworks.ErrShortage)
	}
	if verdict != reservation.Taken {
		return false
	}
	s.waiters[w.req.ID] = w
	return true
}

// drop gives up a call that waits, and says why.
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

// result gives the lease that the call received, or why there is none.
func (w *waiter) result(lease *Lease) (*Lease, error) {
	if lease == nil {
		return nil, w.err
	}
	return lease, nil
}

// demote puts a call that missed its target behind those that can still meet theirs. One
// that has no hope to be served there before its caller leaves is told so.
func (d *Dispatcher) demote(w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[w.req.Service]
	if s == nil || s.queue.Remove(w.req.ID) == nil {
		return nil
	}
	delete(s.waiters, w.req.ID)
	w.late = true
	if err := s.checkLateAdmission(time.Now(), w); err != nil {
		return err
	}
	if !d.enqueueLocked(s, w) {
		w.abandon(runworks.ErrShortage)
	}
	d.pumpLocked(s) // a late call may have what it had to leave before
	return nil
}

// cancel takes a call out of the queue; a lease that came in the meantime wins.
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

// queueTier gives the tier in which a call waits. An answer that broke off goes on before
// anything new of its customer's rank: what was read and made would be lost, and its
// caller leaves soon.
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

// isLateTier says whether a tier is one of late calls.
func isLateTier(queueRank int) bool { return queueRank/routeSteps%lateSteps == 1 }

// routeRank gives the route's rank back.
func routeRank(queueRank int) int { return queueRank % routeSteps }

// lengthPenalty is how much later than by its deadline a call stands in its customer's order.
func (s *service) lengthPenalty(req *Request) time.Duration {
	_, fastest := s.paces()
	return time.Duration(lengthPenaltyFraction * s.expectedEvents(req) * fastest * float64(time.Second))
}

// expectedEvents is how many expectedEvents a call's answer is expected to have; 0 if that is not known.
func (s *service) expectedEvents(req *Request) float64 {
	if s.tokensPerEvent == 0 {
		return 0
	}
	return float64(req.ExpectedTokens) / float64(s.tokensPerEvent)
}
