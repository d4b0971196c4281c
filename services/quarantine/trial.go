package quarantine

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// firstTrialWait is the wait before a part is tried that may not be the cause: servers answered it
	// shortly before, or all exits are one event. Other entries' answers arrive long before.
	firstTrialWait = time.Second
	// minTrialWait is the shortest wait before any other trial. Each one may cost a server; the wait
	// doubles with each that does.
	minTrialWait = time.Minute
	// trialTimeout is how long the result of a trial is awaited before the next one.
	trialTimeout = 10 * time.Second
	// trialPending is the wait that is told while a trial may take place.
	trialPending = time.Second
)

// HeldFor returns for how much longer calls with these traits are quarantined; 0 if a call may be
// sent, or may be the one by which a part is tried.
func (q *Quarantine) HeldFor(now time.Time, traits []runworks.Trait) time.Duration {
	if q.Empty() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	held, _ := q.checkLocked(now, traits)
	return held
}

// BeginSend is HeldFor for a call of which the first byte is about to be sent. Of the calls by which
// a part may be tried it lets one through, here and at the other entries.
func (q *Quarantine) BeginSend(now time.Time, traits []runworks.Trait) time.Duration {
	if q.Empty() {
		return 0
	}
	q.mu.Lock()
	held, tried := q.checkLocked(now, traits)
	if tried == nil {
		q.mu.Unlock()
		return held
	}
	update := newUpdate(*tried)
	update.TriedAt = now.Round(0)
	news, records, notify := q.observeLocked(now, []runworks.Suspect{update}, newChanges())
	q.mu.Unlock()
	notify()
	q.publish(news, records)
	if q.OnTrial != nil {
		q.OnTrial(q.Get(update.Fingerprint))
	}
	return 0
}

// checkLocked returns for how much longer calls with these traits are quarantined, and the part that
// the call tries if it is sent. An early trial needs a call of which no other trait may be the cause.
func (q *Quarantine) checkLocked(now time.Time, traits []runworks.Trait) (held time.Duration, tried *runworks.Trait) {
	candidates := 0
	for i := range traits {
		f := traits[i].Fingerprint
		s := q.suspects[f]
		if s == nil || q.ExitThreshold == 0 || len(s.exits) < q.ExitThreshold {
			continue
		}
		candidates++
		if !q.causes[f] {
			continue
		}
		if f.IsPart() && !now.Before(q.trialAt(s)) {
			tried = &traits[i]
			continue
		}
		held = max(held, q.heldForLocked(now, f))
	}
	if tried != nil && (held > 0 || candidates > 1 && now.Sub(q.suspects[tried.Fingerprint].lastExit) < minTrialWait) {
		return max(held, trialPending), nil
	}
	return held, tried
}

// heldForLocked returns for how much longer a trait is quarantined, or until a part is tried; 0 if
// it is not.
func (q *Quarantine) heldForLocked(now time.Time, f runworks.Fingerprint) time.Duration {
	s := q.suspects[f]
	switch {
	case s == nil || !q.causes[f]:
		return 0
	case f.IsPart() && s.triedAt.After(s.lastExit) && now.Before(s.triedAt.Add(trialTimeout)):
		return trialPending
	case f.IsPart():
		return max(q.trialAt(s).Sub(now), trialPending)
	}
	return max(q.Duration-now.Sub(s.lastExit), 0)
}

// trialAt returns when this entry may next try a quarantined part.
func (q *Quarantine) trialAt(s *suspect) time.Time {
	spread := s.lastExit.Sub(s.firstExit)
	doubtful := s.answeredBefore() || spread < sameMoment
	failed := s.triedAt.After(s.clearedAt) && s.lastExit.After(s.triedAt)
	wait := min(max(minTrialWait, spread), q.Duration)
	if doubtful && !failed {
		wait = firstTrialWait
	}
	wait += time.Duration(q.Stagger * float64(wait))
	return later(s.lastExit.Add(wait), s.triedAt.Add(trialTimeout))
}
