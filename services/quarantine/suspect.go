package quarantine

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

// addLocked applies an update. The returned function calls the callback for a change; call it
// without the lock.
func (q *Quarantine) addLocked(now time.Time, update *runworks.Suspect) (notify func()) {
	notify = func() {}
	if q.Expired(now, update) {
		return notify
	}
	s := q.suspectLocked(now, update.Fingerprint)
	exitsBefore, heldBefore := len(s.exits), q.heldForLocked(now, s) > 0
	s.add(now, update)
	held := q.heldForLocked(now, s)
	switch {
	case held > 0 && !heldBefore:
		snapshot := s.snapshot(update.Fingerprint)
		if q.OnQuarantine != nil {
			notify = func() { q.OnQuarantine(snapshot, held) }
		}
	case exitsBefore > 0 && len(s.exits) == 0 && q.OnRelease != nil:
		notify = func() { q.OnRelease(update.Fingerprint) }
	}
	return notify
}

// suspectLocked returns the suspect of a request, a new one if there is none.
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
}

// add merges the exits and the clearing of an update.
func (s *suspect) add(now time.Time, update *runworks.Suspect) {
	s.clearedAt = later(s.clearedAt, earlier(update.ClearedAt, now))
	for _, e := range update.Exits[max(len(update.Exits)-maxExits, 0):] {
		if _, known := s.exits[e.Server]; !known {
			// A sender whose clock is ahead must not quarantine the request for longer.
			s.exits[e.Server] = earlier(e.At, now)
		}
	}
	s.lastExit = time.Time{}
	for server, at := range s.exits {
		if !at.After(s.clearedAt) {
			delete(s.exits, server)
			continue
		}
		s.lastExit = later(s.lastExit, at)
	}
	if sorted := s.sortedExits(); len(sorted) > maxExits {
		for _, e := range sorted[:len(sorted)-maxExits] {
			delete(s.exits, e.Server)
		}
	}
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

// snapshot returns what is known of a request, in the form that is sent to others.
func (s *suspect) snapshot(f runworks.Fingerprint) runworks.Suspect {
	return runworks.Suspect{Fingerprint: f, Exits: s.sortedExits(), ClearedAt: s.clearedAt}
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
