package quota

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// tellEvery is when the smallest change is told.
	tellEvery = time.Second
	// tellPart is the part of a limit that all entries together may have drawn untold:
	// telling every change would nearly double the bytes between halls.
	tellPart = 1.0 / 32
	// nearPart is the part of a limit from which on every change is told at once.
	nearPart = 15.0 / 16
	// sweepEvery is how often lives that left the window are looked for.
	sweepEvery = time.Second
	// unheardSpan is the span, in grains, in which a life may have drawn unheard: some
	// heartbeats.
	unheardSpan = 2
	// silentSpan is the same for a life that is out of touch, until a part of the rate is
	// assumed instead: SilentAfter.
	silentSpan = int(UnreachableAfter / grain)
	// recordSpan is the same for what only a record tells.
	recordSpan = int(RecordInterval/grain) + 1
	// recentStep is the span of one RecentDraw, in grains: a state of many customers
	// stays small, and a draw counts at most this much longer.
	recentStep = 5
)

// Updates gives for a heartbeat what this entry used since it told it last, as far as it
// matters: near a limit every change, else what is a part of the limit or some time old.
func (q *Quota) Updates(now time.Time) runworks.LimitUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.swept) >= sweepEvery {
		q.sweep(now)
	}
	own := q.own()
	out := q.head(now, own)
	entries := float64(q.heard(now) + 1)
	for customer, a := range own.accounts {
		limit := q.recorder.limits[customer]
		untold := a.untold()
		if untold == 0 || !limit.near && untold < tellPart*limit.allowed/entries && now.Sub(a.told) < tellEvery {
			continue
		}
		out.Customers[customer] = q.tell(now, a)
	}
	return out
}

// FullUse gives all that this entry used, with the times of its draws: what another entry
// needs before it can follow the news.
func (q *Quota) FullUse(now time.Time) runworks.LimitUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.whole(now, q.own())
}

// head gives what is told of a life besides its customers.
func (q *Quota) head(now time.Time, l *life) runworks.LimitUse {
	out := runworks.LimitUse{Version: l.version, RecordsWritten: l.records, Customers: make(map[string]runworks.CustomerUse)}
	if l == q.own() {
		out.Complete = q.completeLocked(now)
	}
	return out
}

// tell gives an account of this entry's own, and notes that the others know it now.
func (q *Quota) tell(now time.Time, a *account) runworks.CustomerUse {
	a.told, a.toldDrawn, a.toldHeld = now, a.drawn, a.held
	a.recent.trim(q.oldest(now))
	return runworks.CustomerUse{Consumed: a.drawn, ConsumedInWindow: a.recent.sum(), Reserved: a.held}
}

// sweep forgets the lives of which nothing is left in the window.
func (q *Quota) sweep(now time.Time) {
	q.swept = now
	oldest := q.oldest(now)
	for id, l := range q.lives {
		if id == q.Self {
			continue // the others count on from what was drawn since its start
		}
		if now.Sub(l.heard) > UnreachableAfter {
			l.spendHeld(q.number(now), silentSpan)
		}
		empty := l.sweep(oldest)
		if empty && (l.over || now.Sub(l.heard) > runworks.EntryTimeout) {
			delete(q.lives, id)
		}
	}
}

// whole gives what a life used in the window, with the times of its draws.
func (q *Quota) whole(now time.Time, l *life) runworks.LimitUse {
	oldest := q.oldest(now)
	out := q.head(now, l)
	for customer, a := range l.accounts {
		a.recent.trim(oldest)
		one := runworks.CustomerUse{Consumed: a.drawn, ConsumedInWindow: a.recent.sum(), Reserved: a.held, Recent: q.recent(now, &a.recent)}
		if one.ConsumedInWindow > 0 || one.Reserved > 0 {
			out.Customers[customer] = one
		}
	}
	return out
}

// recent gives the times of draws in steps, each as old as its newest.
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
		at := q.epoch.Add(time.Duration(u.first+int64(end)-1) * grain)
		out = append(out, runworks.RecentUse{AgeMs: max(now.Sub(at), 0).Milliseconds(), Tokens: tokens})
	}
	return out
}

// State gives all that this entry counts, for a new life of another entry.
func (q *Quota) State(now time.Time) runworks.LimitState {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state(now)
}

func (q *Quota) state(now time.Time) runworks.LimitState {
	out := runworks.LimitState{Complete: q.completeLocked(now), Incarnations: make(map[runworks.Incarnation]runworks.LimitUse)}
	for id, l := range q.lives {
		if use := q.whole(now, l); len(use.Customers) > 0 {
			out.Incarnations[id] = use
		}
	}
	return out
}

// ApplyUpdates takes what another life of an entry tells of its own use.
func (q *Quota) ApplyUpdates(now time.Time, from runworks.Incarnation, use runworks.LimitUse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.of(from)
	l.heard, l.over = now, false
	if use.RecordsWritten > l.records {
		l.records = use.RecordsWritten
		q.recorder.recorded(now)
	}
	if use.Version > l.version {
		l.update(q.number(now), &use, q.recorder.drew)
		q.setOff.told(from, l, q.lives[recordLife])
	}
}

// ApplyFullUse takes all that another life of an entry used, before its news.
func (q *Quota) ApplyFullUse(now time.Time, from runworks.Incarnation, use runworks.LimitUse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.of(from)
	l.heard, l.over = now, false
	if use.Version >= l.version {
		q.replace(now, l, &use)
		q.setOff.told(from, l, q.lives[recordLife])
	}
}

// ApplyState takes all that another entry counts, if nothing of the window is missing
// there. It says whether something was missing here.
func (q *Quota) ApplyState(now time.Time, s *runworks.LimitState) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !s.Complete || q.completeLocked(now) {
		return false
	}
	// Who counted a whole window knows what of the record still counts, and since when.
	delete(q.lives, recordLife)
	q.takeLives(now, s)
	q.told, q.complete = true, true
	return true
}

// NeedsState says whether so much of the window is missing here that another entry's count of it
// is worth asking for.
func (q *Quota) NeedsState(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.completeLocked(now) && q.window()-now.Sub(q.Started) >= min(minMissing, q.window()/4)
}

// takeLives takes the use of each life that is told newer than it is known.
func (q *Quota) takeLives(now time.Time, s *runworks.LimitState) {
	for id, use := range s.Incarnations {
		if id == q.Self {
			continue
		}
		l := q.of(id)
		if fresh := l.version == 0 && len(l.accounts) == 0; !fresh && use.Version <= l.version {
			continue
		}
		q.replace(now, l, &use)
		l.spendHeld(q.number(now), unheardSpan)
	}
}

func (q *Quota) replace(now time.Time, l *life, use *runworks.LimitUse) {
	q.number(now) // sets the epoch
	l.replace(func(age time.Duration) int64 { return q.number(now.Add(-age)) }, use)
	l.records = max(l.records, use.RecordsWritten)
}

// EndIncarnation counts a life of an entry as over: what it drew stays counted, and it draws
// nothing more.
func (q *Quota) EndIncarnation(now time.Time, id runworks.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.lives[id]; l != nil {
		l.over = true
		l.spendHeld(q.number(now), unheardSpan)
	}
}
