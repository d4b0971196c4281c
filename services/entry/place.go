package entry

import (
	"context"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

// retryWhenShort and retryWhenLate are when callers are told to come back.
const (
	retryWhenShort = 2 * time.Second
	retryWhenLate  = 5 * time.Second
	retryWhenAway  = time.Second
)

// pending is one placement of a request: who holds its tickets, and who got it.
// It is guarded by the entry's lock.
type pending struct {
	entry *Entry
	req   *runworks.Request
	// id names this placement; agents see it once.
	id runworks.RequestID
	// standing gives, for each agent that holds a ticket, when it was sent.
	standing map[*link]time.Time
	// refused gives, for each agent that refused, when the refused ticket was
	// sent: the agent's floor held from then on at the earliest.
	refused map[*link]refusal
	// granted is who got the request; nil while it waits.
	granted *link
	closed  bool
	// wake is signalled when something changed.
	wake chan struct{}
}

type refusal struct {
	sent   time.Time
	reason control.RefusalReason
}

// place waits until an agent claims the request, or gives it up. After a
// Failure no agent has been granted it and none will be.
func (e *Entry) place(ctx context.Context, req *runworks.Request, attempt int) (*pending, *runworks.Failure) {
	p := e.open(req, attempt)
	follow := time.NewTimer(e.SpreadDelay)
	defer follow.Stop()
	again := time.NewTicker(control.RefusalWindow)
	defer again.Stop()
	limit := time.NewTimer(time.Until(req.Deadline))
	defer limit.Stop()
	for {
		if done, failure := p.step(ctx); done {
			return p, failure
		}
		select {
		case <-p.wake:
		case <-follow.C:
			p.offerAll()
		case <-again.C:
			p.offerAll()
		case <-limit.C:
		case <-ctx.Done():
		}
	}
}

// open makes the placement known and sends the first ticket.
func (e *Entry) open(req *runworks.Request, attempt int) *pending {
	p := &pending{
		entry: e, req: req, id: req.ID.Attempt(attempt), wake: make(chan struct{}, 1),
		standing: make(map[*link]time.Time), refused: make(map[*link]refusal),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending[p.id] = p
	best, free := e.bestLocked(req)
	if best == nil {
		return p
	}
	p.offerLocked(best)
	if !free {
		p.offerAllLocked()
	}
	return p
}

// step ends the placement if it is granted, out of time or refused everywhere.
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
		failure = runworks.NotRun(runworks.ErrTimeLimit, retryWhenLate)
	case len(p.standing) == 0:
		failure = p.reconsiderLocked()
	}
	if failure == nil {
		return false, nil
	}
	p.closeLocked()
	return true, failure
}

// reconsiderLocked offers the request again where no fresh refusal stands; it
// sheds the request if every agent refused it a moment ago. An agent that
// refused bars lower tiers for RefusalWindow from after the ticket was sent, so
// that at this moment none of them keeps lower work waiting.
func (p *pending) reconsiderLocked() *runworks.Failure {
	eligible := p.entry.eligibleLocked(p.req.Service)
	if len(eligible) == 0 {
		return runworks.NotRun(runworks.ErrShortage, retryWhenAway)
	}
	for _, l := range eligible {
		if !p.freshLocked(l) {
			p.offerLocked(l)
		}
	}
	if len(p.standing) > 0 {
		return nil
	}
	return p.shedLocked()
}

// shedLocked gives the final answer to a request that every agent refused.
func (p *pending) shedLocked() *runworks.Failure {
	reason := control.RefusedTooLate
	for _, one := range p.refused {
		if one.reason != control.RefusedTooLate {
			reason = one.reason
		}
	}
	metrics.Count(p.entry.Metrics.Refused, metrics.Tier(p.req.Tier), metrics.Cause(string(reason)))
	if reason == control.RefusedTooLate {
		return runworks.NotRun(runworks.ErrTimeLimit, retryWhenLate)
	}
	if p.entry.OnShed != nil {
		p.entry.OnShed(p.req)
	}
	return runworks.NotRun(runworks.ErrShortage, retryWhenShort)
}

// freshLocked says whether an agent's refusal is young enough to count.
func (p *pending) freshLocked(l *link) bool {
	one, ok := p.refused[l]
	return ok && time.Since(one.sent) < control.RefusalWindow
}

func (p *pending) offerAll() {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	if p.granted == nil && !p.closed {
		p.offerAllLocked()
	}
}

// offerAllLocked offers the request wherever neither a ticket nor a fresh
// refusal stands.
func (p *pending) offerAllLocked() {
	if !p.entry.Picker.Spread() {
		return
	}
	for _, l := range p.entry.eligibleLocked(p.req.Service) {
		if _, ok := p.standing[l]; !ok && !p.freshLocked(l) {
			p.offerLocked(l)
		}
	}
}

// offerLocked places a ticket at one agent.
func (p *pending) offerLocked(l *link) {
	now := time.Now()
	p.standing[l] = now
	delete(p.refused, l)
	l.standing++
	l.sentSince++
	l.outbox.Place = append(l.outbox.Place, p.req.Reservation(now))
	l.outbox.Place[len(l.outbox.Place)-1].ID = p.id
	l.signal()
}

// refusedLocked notes that an agent does not hold the ticket. A ticket that was
// dropped later than the window counts as a stale refusal: it is offered again.
func (p *pending) refusedLocked(l *link, reason control.RefusalReason) {
	sent, ok := p.standing[l]
	if !ok {
		return
	}
	p.forgetLocked(l)
	if reason == control.RefusedDropped {
		sent = time.Time{}
	}
	p.refused[l] = refusal{sent: sent, reason: reason}
	p.signal()
}

// grantLocked gives the request to an agent, once.
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

// closeLocked withdraws the tickets; no claim is granted after it.
func (p *pending) closeLocked() {
	if p.closed {
		return
	}
	p.closed = true
	delete(p.entry.pending, p.id)
	for l := range p.standing {
		l.standing--
		if l != p.granted {
			l.outbox.Withdraw = append(l.outbox.Withdraw, p.id)
			l.signal()
		}
	}
	p.standing = nil
}

// forgetLocked counts the ticket at an agent as gone.
func (p *pending) forgetLocked(l *link) {
	if _, ok := p.standing[l]; ok {
		delete(p.standing, l)
		l.standing--
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
