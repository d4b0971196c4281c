package quarantine

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

// suspect is what is known about a trait.
type suspect struct {
	part     string
	position int
	// exits are when each server's incarnation exited under the trait.
	exits map[string]time.Time
	// firstExit and lastExit are the oldest and the newest of them; those up to clearedAt do not
	// count.
	firstExit, lastExit, clearedAt time.Time
	// triedAt is when a call with the quarantined trait was last sent to try it.
	triedAt time.Time
}

// addLocked applies an update, notes in c what may follow from it and reports whether it said anything
// new.
func (q *Quarantine) addLocked(now time.Time, update *runworks.Suspect, c *changes) bool {
	if update.TriedAt.IsZero() && q.Expired(now, update) {
		return false
	}
	f := update.Fingerprint
	s := q.suspectLocked(now, f)
	exitsBefore, heldBefore := len(s.exits), q.heldForLocked(now, f) > 0
	if !s.add(now, update) {
		return false
	}
	c.find = c.find || max(exitsBefore, len(s.exits)) >= q.ExitThreshold
	if !heldBefore && len(s.exits) > exitsBefore {
		c.quarantined[f] = true
	}
	if len(s.exits) == 0 && exitsBefore > 0 && (exitsBefore >= recordThreshold || !f.IsPart()) {
		c.released[f] = true
	}
	return true
}

// suspectLocked returns the suspect of a trait, a new one if there is none.
func (q *Quarantine) suspectLocked(now time.Time, f runworks.Fingerprint) *suspect {
	if s := q.suspects[f]; s != nil {
		return s
	}
	q.pruneLocked(now)
	q.dropOldestLocked()
	if q.suspects == nil {
		q.suspects = make(map[runworks.Fingerprint]*suspect)
	}
	s := &suspect{exits: make(map[string]time.Time)}
	q.suspects[f] = s
	q.count.Store(int64(len(q.suspects)))
	return s
}

// pruneLocked drops the suspects whose exits and clearing are too old.
func (q *Quarantine) pruneLocked(now time.Time) {
	for f, s := range q.suspects {
		if now.Sub(later(s.lastExit, s.clearedAt)) > q.retention() {
			delete(q.suspects, f)
			delete(q.causes, f)
		}
	}
	q.count.Store(int64(len(q.suspects)))
}

// dropOldestLocked drops a suspect if there are too many: of those with the fewest exits the
// oldest.
func (q *Quarantine) dropOldestLocked() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var drop runworks.Fingerprint
	var oldest *suspect
	for f, s := range q.suspects {
		if oldest == nil || len(s.exits) < len(oldest.exits) || len(s.exits) == len(oldest.exits) && s.lastExit.Before(oldest.lastExit) {
			drop, oldest = f, s
		}
	}
	delete(q.suspects, drop)
	delete(q.causes, drop)
}

// mustRecordLocked reports whether what is known of a trait must be recorded in the store. A part in
// common use is not, until it is quarantined: it is cleared at once as a rule.
func (q *Quarantine) mustRecordLocked(f runworks.Fingerprint) bool {
	s := q.suspects[f]
	if s == nil || len(s.exits) < recordThreshold {
		return false
	}
	return q.causes[f] || !f.IsPart() || !s.answeredBefore()
}

// add merges an update and reports whether it said anything new.
func (s *suspect) add(now time.Time, update *runworks.Suspect) bool {
	clearedBefore, triedBefore, added := s.clearedAt, s.triedAt, false
	s.clearedAt = later(s.clearedAt, earlier(update.ClearedAt, now))
	s.triedAt = later(s.triedAt, earlier(update.TriedAt, now))
	s.position = max(s.position, update.Position)
	if s.part == "" {
		s.part = update.Part
	}
	for _, e := range update.Exits[max(len(update.Exits)-maxExits, 0):] {
		// A sender whose clock is ahead must not quarantine the trait for longer.
		at := earlier(e.At, now)
		if _, known := s.exits[e.Server]; !known && at.After(s.clearedAt) {
			s.exits[e.Server] = at
			added = true
		}
	}
	for server, at := range s.exits {
		if !at.After(s.clearedAt) {
			delete(s.exits, server)
		}
	}
	sorted := s.sortedExits()
	if more := len(sorted) - maxExits; more > 0 {
		for _, e := range sorted[:more] {
			delete(s.exits, e.Server)
		}
		sorted = sorted[more:]
	}
	s.firstExit, s.lastExit = time.Time{}, time.Time{}
	if len(sorted) > 0 {
		s.firstExit, s.lastExit = sorted[0].At, sorted[len(sorted)-1].At
	}
	return added || s.clearedAt.After(clearedBefore) || s.triedAt.After(triedBefore)
}

// answeredBefore reports whether a server answered a call with the trait shortly before the first
// exit.
func (s *suspect) answeredBefore() bool {
	return !s.clearedAt.IsZero() && s.firstExit.Sub(s.clearedAt) <= answerRetention
}

// sortedExits returns the exits, the oldest first.
func (s *suspect) sortedExits() []runworks.ServerExit {
	var out []runworks.ServerExit
	for server, at := range s.exits {
		out = append(out, runworks.ServerExit{Server: server, At: at})
	}
	slices.SortFunc(out, func(a, b runworks.ServerExit) int { return a.At.Compare(b.At) })
	return out
}

// snapshot returns what is known of a trait, in the form that is sent to others.
func (s *suspect) snapshot(f runworks.Fingerprint) runworks.Suspect {
	return runworks.Suspect{Fingerprint: f, Part: s.part, Position: s.position, Exits: s.sortedExits(), ClearedAt: s.clearedAt, TriedAt: s.triedAt}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
