package quarantine

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

// addLocked adds what was seen or told of a request; the function that it gives tells of a
// change, and is to be called without the lock.
func (q *Quarantine) addLocked(now time.Time, news *runworks.Suspect) (tell func()) {
	tell = func() {}
	if q.Expired(now, news) {
		return tell
	}
	s := q.suspectLocked(now, news.Fingerprint)
	before, heldBefore := len(s.ends), q.heldLocked(now, s) > 0
	s.add(now, news)
	held := q.heldLocked(now, s)
	switch {
	case held > 0 && !heldBefore:
		told := s.tell(news.Fingerprint)
		if q.OnQuarantine != nil {
			tell = func() { q.OnQuarantine(told, held) }
		}
	case before > 0 && len(s.ends) == 0 && q.OnRelease != nil:
		tell = func() { q.OnRelease(news.Fingerprint) }
	}
	return tell
}

// suspectLocked gives the entry of a request, a new one if it has none.
func (q *Quarantine) suspectLocked(now time.Time, f runworks.Fingerprint) *suspect {
	if s := q.suspects[f]; s != nil {
		return s
	}
	q.pruneLocked(now)
	q.dropOldestLocked()
	if q.suspects == nil {
		q.suspects = make(map[runworks.Fingerprint]*suspect)
	}
	s := &suspect{ends: make(map[string]time.Time)}
	q.suspects[f] = s
	q.known.Store(int64(len(q.suspects)))
	return s
}

// pruneLocked forgets the requests of which nothing counts any more.
func (q *Quarantine) pruneLocked(now time.Time) {
	for f, s := range q.suspects {
		if now.Sub(later(s.last, s.cleared)) > q.keep() {
			delete(q.suspects, f)
		}
	}
	q.known.Store(int64(len(q.suspects)))
}

// dropOldestLocked makes room for one more: of the suspects with the fewest ends the oldest
// goes.
func (q *Quarantine) dropOldestLocked() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var drop runworks.Fingerprint
	var oldest *suspect
	for f, s := range q.suspects {
		if oldest == nil || len(s.ends) < len(oldest.ends) || len(s.ends) == len(oldest.ends) && s.last.Before(oldest.last) {
			drop, oldest = f, s
		}
	}
	delete(q.suspects, drop)
}

// add takes the ends and the clearing of a telling.
func (s *suspect) add(now time.Time, news *runworks.Suspect) {
	s.cleared = later(s.cleared, earlier(news.ClearedAt, now))
	for _, e := range news.Exits[max(len(news.Exits)-maxEnds, 0):] {
		if _, known := s.ends[e.Server]; !known {
			// A writer whose clock is ahead must not hold the request for longer.
			s.ends[e.Server] = earlier(e.At, now)
		}
	}
	s.last = time.Time{}
	for server, at := range s.ends {
		if !at.After(s.cleared) {
			delete(s.ends, server)
			continue
		}
		s.last = later(s.last, at)
	}
	if told := s.sortedEnds(); len(told) > maxEnds {
		for _, e := range told[:len(told)-maxEnds] {
			delete(s.ends, e.Server)
		}
	}
}

// sortedEnds gives the ends, the oldest first.
func (s *suspect) sortedEnds() []runworks.ServerExit {
	var out []runworks.ServerExit
	for server, at := range s.ends {
		out = append(out, runworks.ServerExit{Server: server, At: at})
	}
	slices.SortFunc(out, func(a, b runworks.ServerExit) int { return a.At.Compare(b.At) })
	return out
}

// tell gives what is known of a request, in the form that others are told.
func (s *suspect) tell(f runworks.Fingerprint) runworks.Suspect {
	return runworks.Suspect{Fingerprint: f, Exits: s.sortedEnds(), ClearedAt: s.cleared}
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
