package entry

import (
	"context"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

// Retry-After values for failed requests.
const (
	retryAfterNoCapacity  = 2 * time.Second
	retryAfterTimeout     = 5 * time.Second
	retryAfterUnreachable = time.Second
)

// pending is one placement of a request: the agents that hold its reservations and
// the agent it was granted to. It is guarded by the entry's mu.
type pending struct {
	entry *Entry
	req   *runworks.Request
	// attemptID identifies this placement; it is never reused.
	attemptID runworks.RequestID
	// reservations holds the send time of the reservation at each agent.
	reservations map[*link]time.Time
	// refused holds the refusal of each agent that refused. It dates from the time
	// the reservation was sent, as the agent's admission threshold can't have
	// applied earlier.
	refused map[*link]refusal
	// granted is the agent that got the request; nil while it waits.
	granted *link
	closed  bool
	// wake is signalled when the placement must be checked.
	wake chan struct{}
}

type refusal struct {
	sent   time.Time
	reason control.RefusalReason
}

// place waits until the request is granted to an agent, or abandons it. After a
// Failure, the request has not been granted and never will be.
func (e *Entry) place(ctx context.Context, req *runworks.Request, attempt int) (*pending, *runworks.Failure) {
	p := e.open(req, attempt)
	spread := time.NewTimer(e.SpreadDelay)
	defer spread.Stop()
	recheck := time.NewTicker(control.RefusalWindow)
	defer recheck.Stop()
	deadline := time.NewTimer(time.Until(req.Deadline))
	defer deadline.Stop()
	for {
		if done, failure := p.step(ctx); done {
			return p, failure
		}
		select {
		case <-p.wake:
		case <-spread.C:
			p.reserveAll()
		case <-recheck.C:
			p.reserveAll()
		case <-deadline.C:
		case <-ctx.Done():
		}
	}
}

// open registers the placement and sends the first reservation.
func (e *Entry) open(req *runworks.Request, attempt int) *pending {
	p := &pending{
		entry: e, req: req, attemptID: req.ID.Attempt(attempt), wake: make(chan struct{}, 1),
		reservations: make(map[*link]time.Time), refused: make(map[*link]refusal),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending[p.attemptID] = p
	best, free := e.pickLocked(req)
	if best == nil {
		return p
	}
	p.reserveLocked(best)
	if !free {
		p.reserveAllLocked()
	}
	return p
}

// step ends the placement if it is granted, cancelled, past its deadline or refused
// by all agents.
func (p *pending) step(ctx context.Context) (done bool, failure *runworks.Failure) {
	e := p.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.granted != nil {
		return true, nil
	}
	switch {
	case ctx.Err() != nil:
		failure = runworks.NotRun(context.Cause(ctx), 0)
	case !time.Now().Before(p.req.Deadline):
		failure = runworks.NotRun(runworks.ErrTimeLimit, retryAfterTimeout)
	case len(p.reservations) == 0:
		failure = p.retryOrShedLocked()
	}
	if failure == nil {
		return false, nil
	}
	p.closeLocked()
	return true, failure
}

// retryOrShedLocked sends reservations to the agents without a recent refusal. It
// sheds the request if every agent refused it recently: an agent that refuses bars
// lower tiers for RefusalWindow, counted from after the reservation was sent, so at
// this moment no agent holds waiting requests of a lower tier.
func (p *pending) retryOrShedLocked() *runworks.Failure {
	eligible := p.entry.eligibleLocked(p.req.Service)
	if len(eligible) == 0 {
		return runworks.NotRun(runworks.ErrShortage, retryAfterUnreachable)
	}
	for _, l := range eligible {
		if !p.recentlyRefusedLocked(l) {
			p.reserveLocked(l)
		}
	}
	if len(p.reservations) > 0 {
		return nil
	}
	return p.shedLocked()
}

// shedLocked returns the failure of a request that every agent refused.
func (p *pending) shedLocked() *runworks.Failure {
	reason := control.RefusedTooLate
	for _, refused := range p.refused {
		if refused.reason != control.RefusedTooLate {
			reason = refused.reason
		}
	}
	metrics.Count(p.entry.Metrics.Refused, metrics.Tier(p.req.Tier), metrics.Cause(string(reason)))
	if reason == control.RefusedTooLate {
		return runworks.NotRun(runworks.ErrTimeLimit, retryAfterTimeout)
	}
	if p.entry.OnShed != nil {
		p.entry.OnShed(p.req)
	}
	return runworks.NotRun(runworks.ErrShortage, retryAfterNoCapacity)
}

// recentlyRefusedLocked reports whether the agent refused within RefusalWindow.
func (p *pending) recentlyRefusedLocked(l *link) bool {
	refused, ok := p.refused[l]
	return ok && time.Since(refused.sent) < control.RefusalWindow
}

func (p *pending) reserveAll() {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	if p.granted == nil && !p.closed {
		p.reserveAllLocked()
	}
}

// reserveAllLocked sends a reservation to each agent that neither holds one nor
// refused recently, if the picker spreads requests.
func (p *pending) reserveAllLocked() {
	if !p.entry.Picker.Spread() {
		return
	}
	for _, l := range p.entry.eligibleLocked(p.req.Service) {
		if _, ok := p.reservations[l]; !ok && !p.recentlyRefusedLocked(l) {
			p.reserveLocked(l)
		}
	}
}

// reserveLocked queues a reservation for one agent.
func (p *pending) reserveLocked(l *link) {
	now := time.Now()
	p.reservations[l] = now
	delete(p.refused, l)
	l.reservations++
	l.sentSinceReport++
	l.outbox.Place = append(l.outbox.Place, p.req.Reservation(now))
	l.outbox.Place[len(l.outbox.Place)-1].ID = p.attemptID
	l.signal()
}

// refusedLocked records that an agent does not hold the reservation. A reservation
// that the agent dropped after queuing it counts as a stale refusal, so it is sent
// again.
func (p *pending) refusedLocked(l *link, reason control.RefusalReason) {
	sent, ok := p.reservations[l]
	if !ok {
		return
	}
	p.removeReservationLocked(l)
	if reason == control.RefusedDropped {
		sent = time.Time{}
	}
	p.refused[l] = refusal{sent: sent, reason: reason}
	p.signal()
}

// grantLocked grants the request to an agent, at most once, and reports whether it
// did.
func (p *pending) grantLocked(l *link) bool {
	if p.granted != nil || p.closed || !time.Now().Before(p.req.Deadline) {
		return false
	}
	p.granted = l
	l.granted++
	p.closeLocked()
	p.signal()
	return true
}

// closeLocked withdraws the reservations; no claim is granted afterwards.
func (p *pending) closeLocked() {
	if p.closed {
		return
	}
	p.closed = true
	delete(p.entry.pending, p.attemptID)
	for l := range p.reservations {
		l.reservations--
		if l != p.granted {
			l.outbox.Withdraw = append(l.outbox.Withdraw, p.attemptID)
			l.signal()
		}
	}
	p.reservations = nil
}

// removeReservationLocked removes the reservation at an agent, if there is one.
func (p *pending) removeReservationLocked(l *link) {
	if _, ok := p.reservations[l]; ok {
		delete(p.reservations, l)
		l.reservations--
	}
}

func (p *pending) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (l *link) signal() {
	select {
	case l.flush <- struct{}{}:
	default:
	}
}
