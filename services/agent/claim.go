package agent

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
	"github.com/runworks/runworks/services/reservation"
)

// scheduleLocked claims the first tickets while slots are free.
func (a *Agent) scheduleLocked() {
	if a.leaving {
		return
	}
	for a.busyLocked() < a.slots {
		w := a.queue.Pop(time.Now(), a.mayStartLocked)
		if w == nil {
			return
		}
		if !a.rates.fits(w.Tier, w.Cost(), time.Until(w.Deadline)) {
			a.refuseLocked(w, control.RefusedTooLate)
			continue
		}
		a.claimLocked(w)
	}
}

// mayStartLocked says whether a slot may be used for a rank: each tier leaves
// the slots free that are reserved for higher ones.
func (a *Agent) mayStartLocked(rank int) bool {
	now := a.Config.Active()
	if now == nil {
		return false
	}
	reserved := now.ReservedSlots(rank)
	if reserved == 0 {
		return true
	}
	sameOrLower := a.busyBelowLocked(rank - 1)
	return sameOrLower < max(a.slots-reserved, 1)
}

// claimLocked takes a slot for a ticket and asks its entry for the request.
func (a *Agent) claimLocked(w *reservation.Item) {
	l := a.links[w.Source]
	if l == nil || a.runs[w.ID] != nil {
		return
	}
	r := newRun(w)
	a.runs[w.ID] = r
	a.busy[w.Tier]++
	a.work.Go(func() { a.claim(l, r) })
}

// claim asks the entry. After a lost answer the request may have been granted,
// so the record stays until no grant can be valid any more.
func (a *Agent) claim(l *link, r *run) {
	ctx, cancel := context.WithTimeout(a.life, control.GrantTimeout)
	defer cancel()
	var reply control.ClaimReply
	err := l.conn.Call(ctx, control.MethodClaim, control.Claim{ID: r.id}, &reply)
	switch {
	case err != nil:
		metrics.Count(a.Metrics.Claims, metrics.Result("lost"))
	case reply.Granted:
		metrics.Count(a.Metrics.Claims, metrics.Result("granted"))
	default:
		metrics.Count(a.Metrics.Claims, metrics.Result("gone"))
		a.release(r)
		return
	}
	a.expireAt(r, r.asked.Add(control.GrantTimeout))
}

// release forgets a claim that was not granted.
func (a *Agent) release(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != control.StateClaimed {
		return
	}
	delete(a.runs, r.id)
	a.freeLocked(r)
}

// expireAt bars a claimed request from running once its grant has lapsed.
func (a *Agent) expireAt(r *run, at time.Time) {
	if left := time.Until(at); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-a.life.Done():
			return
		case <-r.started:
			return
		case <-timer.C:
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tombstoneLocked(r)
}

// tombstoneLocked bars a claimed request from ever running here.
func (a *Agent) tombstoneLocked(r *run) {
	if r.state != control.StateClaimed {
		return
	}
	r.state = control.StateTombstoned
	r.ended = time.Now()
	a.freeLocked(r)
}

// freeLocked gives the slot of a request back, once.
func (a *Agent) freeLocked(r *run) {
	if r.freed {
		return
	}
	r.freed = true
	a.busy[r.ticket.Tier]--
	a.changed.Signal()
	a.scheduleLocked()
}
