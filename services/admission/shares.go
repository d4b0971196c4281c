package admission

import (
	"slices"
	"sync"
	"time"
)

// Shares tells an entry its part of the customers' limits, from the host list.
// The list lags and entries read it at different times, so a part shrinks at
// once and grows only when all entries must have shrunk theirs. Set the
// exported fields before use.
type Shares struct {
	// Name is this entry's name in the host list.
	Name string
	// MaxLag bounds how late an entry learns of a change of the list; 0 trusts
	// the list at once, as one entry alone may.
	MaxLag time.Duration

	mu   sync.Mutex
	seen []seenEntries
	// since is when the lists began to have this entry; zero while they do not.
	since time.Time
}

// seenEntries is the list as it was read from a time on.
type seenEntries struct {
	from    time.Time
	entries []string
}

// share is an entry's part: one of n entries, the index-th; none if it must not
// use any part yet.
type share struct {
	n     int
	index int
	none  bool
}

// Observe takes the names of the live entries, sorted, as read at now.
func (s *Shares) Observe(now time.Time, entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked(now)
	switch listed := slices.Contains(entries, s.Name); {
	case !listed:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
	if n := len(s.seen); n > 0 && slices.Equal(s.seen[n-1].entries, entries) {
		return
	}
	s.seen = append(s.seen, seenEntries{from: now, entries: entries})
}

// forgetLocked drops the lists that were replaced longer than Settle ago.
func (s *Shares) forgetLocked(now time.Time) {
	for len(s.seen) > 1 && now.Sub(s.seen[1].from) >= s.MaxLag {
		s.seen = s.seen[1:]
	}
}

// Ready says whether this entry may use a part of the limits.
func (s *Shares) Ready(now time.Time) bool { return !s.at(now).none }

// at gives the part as of now: by the longest list of the last while, and none
// until every entry must have read that this one is there.
func (s *Shares) at(now time.Time) share {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked(now)
	if s.since.IsZero() || now.Sub(s.since) < s.MaxLag {
		return share{n: 1, none: true}
	}
	out := share{n: 1}
	for _, one := range s.seen {
		out.n = max(out.n, len(one.entries))
		out.index = max(out.index, slices.Index(one.entries, s.Name))
	}
	if len(s.seen) > 1 {
		// Entries that see different lists must not both take the remainder.
		out.index = out.n
	}
	return out
}

// whole splits a whole number so that the parts of all entries add up to it at
// the most.
func (s share) whole(total int) int {
	if s.none {
		return 0
	}
	part := total / s.n
	if s.index < total%s.n {
		part++
	}
	return part
}

// rate splits a rate.
func (s share) rate(total float64) float64 {
	if s.none {
		return 0
	}
	return total / float64(s.n)
}
