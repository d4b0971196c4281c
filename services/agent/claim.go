package agent

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
	"github.com/runworks/runworks/services/reservation"
)

// scheduleLocked claims waiting requests in queue order while slots are free.
func (a *Agent) scheduleLocked() {
	if a.draining {
		return
	}
	for a.busyLocked() < a.slots {
		w := a.queue.Pop(time.Now(), a.mayStartLocked)
		if w == nil {
			return
		}
		if !a.runTimes.fits(w.Tier, w.Cost(), time.Until(w.Deadline)) {
			a.refuseLocked(w, control.RefusedTooLate)
			continue
		}
		a.claimLocked(w)
	}
}

// mayStartLocked reports whether a request of the rank may use a slot. Slots reserved for
// higher tiers stay free.
func (a *Agent) mayStartLocked(rank int) bool {
	snapshot := a.Config.Active()
	if snapshot == nil {
		return false
	}
	reserved := snapshot.ReservedSlots(rank)
	if reserved == 0 {
		return true
	}
	sameOrLower := a.busyBelowLocked(rank - 1)
	return sameOrLower < max(a.slots-reserved, 1)
}

// claimLocked takes a slot for a reservation and starts to claim its request from its entry.
func (a *Agent) claimLocked(item *reservation.Item) {
	l := a.links[item.Source]
	if l == nil || a.runs[item.ID] != nil {
		return
	}
	r := newRun(item)
	a.runs[item.ID] = r
	a.busy[item.Tier]++
	a.work.Go(func() { a.claim(l, r) })
}

// claim asks the entry for the request. If the reply is lost, the request may have been
// granted, so the record is kept until a grant can no longer be valid.
func (a *Agent) claim(l *link, r *run) {
	ctx, cancel := context.WithTimeout(a.ctx, control.GrantTimeout)
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
		a.dropClaim(r)
		return
	}
	a.expireAt(r, r.claimedAt.Add(control.GrantTimeout))
}

// dropClaim deletes a claim that was not granted.
func (a *Agent) dropClaim(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != control.StateClaimed {
		return
	}
	delete(a.runs, r.id)
	a.freeLocked(r)
}

// expireAt prevents a claimed request from running after its grant has expired.
func (a *Agent) expireAt(r *run, at time.Time) {
	if left := time.Until(at); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-a.ctx.Done():
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

// tombstoneLocked prevents a claimed request from ever running here.
func (a *Agent) tombstoneLocked(r *run) {
	if r.state != control.StateClaimed {
		return
	}
	r.state = control.StateTombstoned
	r.endedAt = time.Now()
	a.freeLocked(r)
}

// freeLocked frees the slot of a request; further calls have no effect.
func (a *Agent) freeLocked(r *run) {
	if r.freed {
		return
	}
	r.freed = true
	a.busy[r.reservation.Tier]--
	a.changed.Signal()
	a.scheduleLocked()
}
