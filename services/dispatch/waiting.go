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
	// lengthPart is which part of its expected duration a call stands behind shorter ones
	// of its customer: small, so that the longest, which are worth most to their callers,
	// are seldom late.
	lengthPart = 0.1
)

// waiter is a call that waits.
type waiter struct {
	ask   *Request
	lease chan *Lease
	late  bool
	// number tells the order in which calls came.
	number int
	// fits says that some server could let it be in time when it came.
	fits bool
	// why is set before lease is closed.
	why error
}

// waitLocked puts a call in the queue of its service; false if it is full.
func (d *Dispatcher) waitLocked(s *service, w *waiter) bool {
	s.noteRank(w.ask.RouteRank)
	if pause := w.ask.MaxGap; pause > 0 && (s.maxGap == 0 || pause < s.maxGap) {
		s.maxGap = pause
	}
	t := &reservation.Waiting{
		Reservation: runworks.Reservation{
			ID: w.ask.ID, Service: w.ask.Service, Tier: queueRank(w.ask, w.late), Customer: w.ask.Customer,
			PromptTokens: w.ask.PromptTokens, MaxTokens: w.ask.MaxTokens,
		},
		Deadline: w.ask.Deadline,
		Behind:   s.behind(w.ask),
	}
	verdict, dropped := s.queue.Offer(time.Now(), t, func(int) int { return 0 })
	if dropped != nil {
		s.drop(dropped.ID, runworks.ErrShortage)
	}
	if verdict != reservation.Taken {
		return false
	}
	s.waiters[w.ask.ID] = w
	return true
}

// drop gives up a call that waits, and says why.
func (s *service) drop(id runworks.RequestID, why error) {
	if w := s.waiters[id]; w != nil {
		delete(s.waiters, id)
		w.giveUp(why)
	}
}

// giveUp ends the wait of a call without a server.
func (w *waiter) giveUp(why error) {
	w.why = why
	close(w.lease)
}

// granted gives the lease that the call received, or why there is none.
func (w *waiter) granted(lease *Lease) (*Lease, error) {
	if lease == nil {
		return nil, w.why
	}
	return lease, nil
}

// demote puts a call that missed its target behind those that can still meet theirs. One
// that has no hope to be served there before its caller leaves is told so.
func (d *Dispatcher) demote(w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[w.ask.Service]
	if s == nil || s.queue.Remove(w.ask.ID) == nil {
		return nil
	}
	delete(s.waiters, w.ask.ID)
	w.late = true
	if err := s.judgeLate(time.Now(), w); err != nil {
		return err
	}
	if !d.waitLocked(s, w) {
		w.giveUp(runworks.ErrShortage)
	}
	d.pumpLocked(s) // a late call may have what it had to leave before
	return nil
}

// leave takes a call out of the queue; a lease that came in the meantime wins.
func (d *Dispatcher) leave(w *waiter, err error) (*Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case lease := <-w.lease:
		return w.granted(lease)
	default:
	}
	if s := d.services[w.ask.Service]; s != nil {
		s.queue.Remove(w.ask.ID)
		delete(s.waiters, w.ask.ID)
	}
	return nil, err
}

// queueRank gives the tier in which a call waits. An answer that broke off goes on before
// anything new of its customer's rank: what was read and made would be lost, and its
// caller leaves soon.
func queueRank(ask *Request, late bool) int {
	step := lateSteps * ask.Rank
	if ask.Resumed {
		return routeSteps * step
	}
	if late {
		step++
	}
	return routeSteps*step + min(ask.RouteRank, routeSteps-1)
}

// isLate says whether a tier is one of late calls.
func isLate(queueRank int) bool { return queueRank/routeSteps%lateSteps == 1 }

// routeRank gives the route's rank back.
func routeRank(queueRank int) int { return queueRank % routeSteps }

// behind is how much later than by its deadline a call stands in its customer's order.
func (s *service) behind(ask *Request) time.Duration {
	_, fastest := s.paces()
	return time.Duration(lengthPart * s.events(ask) * fastest * float64(time.Second))
}

// events is how many events a call's answer is expected to have; 0 if that is not known.
func (s *service) events(ask *Request) float64 {
	if s.tokensPerEvent == 0 {
		return 0
	}
	return float64(ask.ExpectedTokens) / float64(s.tokensPerEvent)
}
