package quota

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// updateInterval is how long even the smallest change may stay unreported.
	updateInterval = time.Second
	// updateFraction is the part of a limit that all entries together may leave unreported:
	// reporting every change would nearly double the bytes between halls.
	updateFraction = 1.0 / 32
	// nearFraction is the part of a limit from which on every change is reported at once.
	nearFraction = 15.0 / 16
	// historyWindows is for how many windows the past use of a limit is remembered.
	historyWindows = 4
	// sweepInterval is how often incarnations that left the window are removed.
	sweepInterval = time.Second
	// unreportedSpan is the number of buckets in which an incarnation may have consumed without a
	// report: some heartbeats.
	unreportedSpan = 2
	// unreachableSpan is the same for an unreachable incarnation, until a share of the rate is
	// assumed instead, after UnreachableAfter.
	unreachableSpan = int(UnreachableAfter / bucketWidth)
	// recordSpan is the same for what is known only from a record.
	recordSpan = int(RecordInterval/bucketWidth) + 1
	// recentStep is the span of one RecentUse, in buckets. It keeps the state of many customers
	// small; consumption counts at most this much longer.
	recentStep = 5
)

// Updates returns for a heartbeat what this entry used since its last report, as far as it
// matters: near a limit every change, otherwise changes that are a part of the limit or some time
// old.
func (q *Quota) Updates(now time.Time) runworks.LimitUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.sweptAt) >= sweepInterval {
		q.sweep(now)
	}
	own := q.ownIncarnation()
	out := q.header(now, own)
	entries := float64(q.otherEntries(now) + 1)
	for customer, a := range own.accounts {
		limit := q.recorder.limits[customer]
		unreported := a.unreported()
		if unreported == 0 || !limit.near && unreported < updateFraction*limit.allowed/entries && now.Sub(a.reportedAt) < updateInterval {
			continue
		}
		out.Customers[customer] = q.reportAccount(now, a)
	}
	return out
}

// FullUse returns all that this entry used, with the times of the consumption. Another entry
// needs it before it can apply updates.
func (q *Quota) FullUse(now time.Time) runworks.LimitUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fullUse(now, q.ownIncarnation())
}

// header returns what is reported of an incarnation besides its customers.
func (q *Quota) header(now time.Time, inc *incarnation) runworks.LimitUse {
	out := runworks.LimitUse{Version: inc.version, RecordsWritten: inc.recordsWritten, Customers: make(map[string]runworks.CustomerUse)}
	if inc == q.ownIncarnation() {
		out.Complete = q.completeLocked(now)
	}
	return out
}

// reportAccount returns an account of this entry's own and marks it as reported.
func (q *Quota) reportAccount(now time.Time, a *account) runworks.CustomerUse {
	a.reportedAt, a.reportedConsumed, a.reportedReserved = now, a.consumed, a.reserved
	a.recent.trim(q.oldestBucket(now))
	return runworks.CustomerUse{Consumed: a.consumed, ConsumedInWindow: a.recent.sum(), Reserved: a.reserved}
}

// sweep removes the incarnations of which nothing is left in the window.
func (q *Quota) sweep(now time.Time) {
	q.sweptAt = now
	oldest := q.oldestBucket(now)
	for id, inc := range q.incarnations {
		if id == q.Self {
			continue // the others count on from what was consumed since its start
		}
		if now.Sub(inc.lastSeen) > UnreachableAfter {
			inc.consumeReserved(q.bucketAt(now), unreachableSpan)
		}
		empty := inc.sweep(now, oldest, historyWindows*q.window())
		if empty && (inc.ended || now.Sub(inc.lastSeen) > runworks.EntryTimeout) {
			delete(q.incarnations, id)
		}
	}
}

// fullUse returns what an incarnation used in the window, with the times of the consumption.
func (q *Quota) fullUse(now time.Time, inc *incarnation) runworks.LimitUse {
	oldest := q.oldestBucket(now)
	out := q.header(now, inc)
	for customer, a := range inc.accounts {
		a.recent.trim(oldest)
		one := runworks.CustomerUse{Consumed: a.consumed, ConsumedInWindow: a.recent.sum(), Reserved: a.reserved, Recent: q.recent(now, &a.recent)}
		if one.ConsumedInWindow > 0 || one.Reserved > 0 {
			out.Customers[customer] = one
		}
	}
	return out
}

// recent returns the consumption in steps of recentStep buckets, each as old as its newest
// bucket.
func (q *Quota) recent(now time.Time, u *usage) []runworks.RecentUse {
	var out []runworks.RecentUse
	for i := 0; i < len(u.counts); i += recentStep {
		end := min(i+recentStep, len(u.counts))
		tokens := 0.0
		for _, n := range u.counts[i:end] {
			tokens += n
		}
		if tokens == 0 {
			continue
		}
		at := q.epoch.Add(time.Duration(u.first+int64(end)-1) * bucketWidth)
		out = append(out, runworks.RecentUse{AgeMs: max(now.Sub(at), 0).Milliseconds(), Tokens: tokens})
	}
	return out
}

// State returns all that this entry counts, for a new incarnation of another entry.
func (q *Quota) State(now time.Time) runworks.LimitState {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state(now)
}

func (q *Quota) state(now time.Time) runworks.LimitState {
	out := runworks.LimitState{Complete: q.completeLocked(now), Incarnations: make(map[runworks.Incarnation]runworks.LimitUse)}
	for id, inc := range q.incarnations {
		if use := q.fullUse(now, inc); len(use.Customers) > 0 {
			out.Incarnations[id] = use
		}
	}
	return out
}

// ApplyUpdates applies a heartbeat with another incarnation's own use.
func (q *Quota) ApplyUpdates(now time.Time, from runworks.Incarnation, use runworks.LimitUse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	inc := q.incarnation(from)
	inc.lastSeen, inc.ended = now, false
	if use.RecordsWritten > inc.recordsWritten {
		inc.recordsWritten = use.RecordsWritten
		q.recorder.otherWrote(now)
	}
	if use.Version > inc.version {
		inc.update(q.bucketAt(now), &use, q.recorder.consumed)
		q.dedup.subtract(from, inc, q.incarnations[recordIncarnation])
	}
}

// ApplyFullUse applies all that another incarnation used. It comes before that incarnation's
// updates.
func (q *Quota) ApplyFullUse(now time.Time, from runworks.Incarnation, use runworks.LimitUse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	inc := q.incarnation(from)
	inc.lastSeen, inc.ended = now, false
	if use.Version >= inc.version {
		q.replace(now, inc, &use)
		q.dedup.subtract(from, inc, q.incarnations[recordIncarnation])
	}
}

// ApplyState applies all that another entry counts, if that entry's window is complete. It
// reports whether it was applied; it is not where this entry's window is complete already.
func (q *Quota) ApplyState(now time.Time, s *runworks.LimitState) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !s.Complete || q.completeLocked(now) {
		return false
	}
	// An entry that counted a whole window knows what of the record still counts, and since when.
	delete(q.incarnations, recordIncarnation)
	q.applyIncarnations(now, s)
	q.ready, q.complete = true, true
	return true
}

// NeedsState reports whether so much of the window is missing here that another entry's state is
// worth requesting.
func (q *Quota) NeedsState(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.completeLocked(now) && q.window()-now.Sub(q.Started) >= min(minMissing, q.window()/4)
}

// applyIncarnations applies the use of each incarnation that is newer than what is known here.
func (q *Quota) applyIncarnations(now time.Time, s *runworks.LimitState) {
	for id, use := range s.Incarnations {
		if id == q.Self {
			continue
		}
		inc := q.incarnation(id)
		if fresh := inc.version == 0 && len(inc.accounts) == 0; !fresh && use.Version <= inc.version {
			continue
		}
		q.replace(now, inc, &use)
		inc.consumeReserved(q.bucketAt(now), unreportedSpan)
	}
}

func (q *Quota) replace(now time.Time, inc *incarnation, use *runworks.LimitUse) {
	q.bucketAt(now) // sets the epoch
	inc.replace(func(age time.Duration) int64 { return q.bucketAt(now.Add(-age)) }, q.window(), use)
	inc.recordsWritten = max(inc.recordsWritten, use.RecordsWritten)
}

// EndIncarnation marks another entry's incarnation as ended: what it consumed stays counted, and
// it consumes nothing more.
func (q *Quota) EndIncarnation(now time.Time, id runworks.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if inc := q.incarnations[id]; inc != nil {
		inc.ended = true
		inc.consumeReserved(q.bucketAt(now), unreportedSpan)
	}
}
