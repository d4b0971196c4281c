package dispatch

import (
	"errors"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/returns"
)

// RefusalCause is why a call got no slot. It is a label of metrics.
type RefusalCause string

// The causes of a refusal where this entry schedules the service.
const (
	// CauseArrival means that the call was refused on arrival, as it would not start in time.
	CauseArrival RefusalCause = "arrival"
	// CauseCustomerShare means that it was refused on arrival as the waiting calls of its customer use
	// the customer's share of the capacity.
	CauseCustomerShare RefusalCause = "customer_share"
	// CauseOvertaken means that it waited, and calls that are served before it left no capacity.
	CauseOvertaken RefusalCause = "overtaken"
	// CauseTarget means that it was still waiting at its target.
	CauseTarget RefusalCause = "target"
	// CauseQueueFull means that the limit of waiting calls was reached.
	CauseQueueFull RefusalCause = "queue_full"
)

// refuse returns the refusal of a call for which there is no capacity, with the time after which its
// caller should return if this entry schedules the service. A call that a server may have run gets
// none, as its answer does not say that it has not run.
func (d *Dispatcher) refuse(now time.Time, s *service, w *waiter, cause RefusalCause, err error) error {
	if !s.schedules(now) || !errors.Is(err, runworks.ErrShortage) {
		return err
	}
	refusal := &Refusal{Err: err, Basis: string(returns.Spread)}
	if !w.req.Resumed && !w.req.Retry {
		v := s.capacityView(now)
		tier := newCallTier(w.req)
		after, basis := s.returns.Give(now, returns.Demand{
			Rank: tier, Waiting: v.waitingBefore(tier), PerSecond: v.returnRate(tier), TimeLeft: w.req.Deadline.Sub(now),
		})
		refusal.RetryAfter, refusal.Basis = after, string(basis)
	}
	if w.overShare {
		cause = CauseCustomerShare
	}
	if d.OnRefuse != nil {
		d.OnRefuse(w.req.Rank, cause, refusal.Basis)
	}
	return refusal
}
