package dispatch

import (
	"context"
	"time"

	"github.com/runworks/runworks"
)

const (
	// recheckInterval is the interval at which the queues are checked without an event, as
	// ejections, back-offs and rate limits expire without one.
	recheckInterval = 50 * time.Millisecond
	// peerPumpInterval is the least time between two passes over a queue that the loads of other
	// entries start. It is short against the interval between an entry's heartbeats.
	peerPumpInterval = 10 * time.Millisecond
	// maxSkipped limits the calls that one pass over the queue skips because no free server
	// suits them.
	maxSkipped = 32
	// maxSkippedOfTier is the same for each tier where this entry schedules the service. Its queue holds
	// the calls of all entries, of which many of one tier may need the same servers.
	maxSkippedOfTier = 8
)

// Run checks the queues at an interval until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.pumpAll()
		}
	}
}

func (d *Dispatcher) pumpAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.watchUnresponsiveLocked(now)
	d.expireLimitsLocked(now)
	d.pruneExpiredLocked(now)
	d.applyEarlyEstimatesLocked(now)
	for _, s := range d.services {
		s.prune(now)
		d.pruneScheduled(now, s)
		d.pumpLocked(s)
	}
}

// pumpForPeersLocked assigns slots that the load of another entry may have freed, at most once in
// peerPumpInterval: a pass for each heartbeat of many entries would take much of a small host's
// processor while calls wait, and place hardly any.
func (d *Dispatcher) pumpForPeersLocked(s *service) {
	if s.peerPumpDue || s.queue.Len() == 0 {
		return
	}
	now := time.Now()
	if wait := peerPumpInterval - now.Sub(s.peerPumpAt); wait > 0 {
		s.peerPumpDue = true
		time.AfterFunc(wait, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			s.peerPumpDue, s.peerPumpAt = false, time.Now()
			d.pumpLocked(s)
		})
		return
	}
	s.peerPumpAt = now
	d.pumpLocked(s)
}

// pumpLocked assigns free slots to waiting calls in the order of their tiers. Calls that no
// free server suits are skipped.
func (d *Dispatcher) pumpLocked(s *service) {
	if s == nil {
		return
	}
	if s.queue.Len() > 0 {
		d.queuePasses++
	}
	now := time.Now()
	var skipped []skippedCall
	var f *forecast
	var available []*server
	scheduled := s.schedules(now)
	for s.queue.Len() > 0 && (scheduled || len(skipped) < maxSkipped) {
		if available == nil || !scheduled {
			d.applyGateLocked(s)
			available = d.serversInTurn(now, s, s.available(now))
		}
		if len(available) == 0 {
			break
		}
		t := s.pop(now, available, skipped)
		if t == nil {
			break
		}
		w := s.waiters[t.ID]
		delete(s.waiters, t.ID)
		if f == nil {
			f = d.forecast(now, s) // nothing that it depends on changes in one pass
		}
		target := d.choose(now, s, f, available, w)
		if target == nil {
			skipped = append(skipped, skippedCall{waiter: w, item: t})
			continue
		}
		forecast := f.leaseForecast(target, w.req)
		target.ownUnread += w.req.PromptTokens
		target.trackUnread(now)
		s.recordStart(t.Tier)
		s.measured.recordStart(now, newCallTier(w.req), s.minFraction(now))
		lease := &Lease{Instance: target.Instance, dispatcher: d, server: target, service: s.name, route: w.req.Route, routeRank: routeRank(t.Tier), began: now, unreadTokens: w.req.PromptTokens, aheadTokens: target.ownUnread + target.peerUnread - w.req.PromptTokens, entry: w.entry, forecast: forecast}
		target.addLease(now, lease)
		available = nil
		d.countPlacementLocked(target)
		w.lease <- lease
	}
	d.returnSkippedLocked(now, s, skipped)
	s.owedStart = false
	s.measured.noteWaiting(now, s.queue.Len() > 0)
	d.requestPermitsLocked(now, s)
}

// returnSkippedLocked puts skipped calls back into the queue.
func (d *Dispatcher) returnSkippedLocked(now time.Time, s *service, skipped []skippedCall) {
	if s.schedules(now) {
		s.restore(skipped)
		return
	}
	for _, one := range skipped {
		if !d.enqueueLocked(s, one.waiter) {
			one.waiter.abandon(runworks.ErrShortage)
		}
	}
}

// QueuePasses returns the number of passes over queues with waiting calls since the start.
func (d *Dispatcher) QueuePasses() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queuePasses
}

// hasServerFor reports whether there is a backend server to which the call may go. A retry
// does not wait for a server that is throttled: it has a failure to return, and the slot is
// of more use to a call that has no answer yet. A stream that is resumed does wait.
func (s *service) hasServerFor(now time.Time, req *Request) bool {
	for _, one := range s.servers {
		if !one.Draining && req.allows(one) && (!req.Retry || req.Resumed || !one.throttled(now)) {
			return true
		}
	}
	return false
}
