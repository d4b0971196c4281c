package admission

import (
	"slices"
	"sync"
	"time"
)

// Shares computes an entry's share of the customers' limits from the host list. The list lags and
// entries read it at different times, so a share shrinks at once and grows only when all entries
// must have shrunk theirs. Set the exported fields before use.
type Shares struct {
	// Name is this entry's name in the host list.
	Name string
	// MaxLag bounds how late an entry learns of a change of the list; 0 applies the list at once,
	// which is correct for a single entry only.
	MaxLag time.Duration

	mu    sync.Mutex
	lists []entryList
	// listedSince is when this entry appeared in the lists; zero while it is not listed.
	listedSince time.Time
}

// entryList is the list as read from a time on.
type entryList struct {
	from    time.Time
	entries []string
}

// share is an entry's share: one of a number of entries, at an index. none means that it must not
// use any share yet.
type share struct {
	entries int
	index   int
	none    bool
}

// Observe records the sorted names of the live entries, as read at now.
func (s *Shares) Observe(now time.Time, entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldLocked(now)
	switch listed := slices.Contains(entries, s.Name); {
	case !listed:
		s.listedSince = time.Time{}
	case s.listedSince.IsZero():
		s.listedSince = now
	}
	if n := len(s.lists); n > 0 && slices.Equal(s.lists[n-1].entries, entries) {
		return
	}
	s.lists = append(s.lists, entryList{from: now, entries: entries})
}

// dropOldLocked drops the lists that were replaced longer than MaxLag ago.
func (s *Shares) dropOldLocked(now time.Time) {
	for len(s.lists) > 1 && now.Sub(s.lists[1].from) >= s.MaxLag {
		s.lists = s.lists[1:]
	}
}

// Ready reports whether this entry may use a share of the limits.
func (s *Shares) Ready(now time.Time) bool { return !s.at(now).none }

// at returns the share as of now: that of the longest list within MaxLag, and none until every
// entry must have read that this one is listed.
func (s *Shares) at(now time.Time) share {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldLocked(now)
	if s.listedSince.IsZero() || now.Sub(s.listedSince) < s.MaxLag {
		return share{entries: 1, none: true}
	}
	out := share{entries: 1}
	for _, one := range s.lists {
		out.entries = max(out.entries, len(one.entries))
		out.index = max(out.index, slices.Index(one.entries, s.Name))
	}
	if len(s.lists) > 1 {
		// Entries that see different lists must not both take the remainder.
		out.index = out.entries
	}
	return out
}

// splitInt splits a whole number so that the shares of all entries add up to it at most.
func (s share) splitInt(total int) int {
	if s.none {
		return 0
	}
	part := total / s.entries
	if s.index < total%s.entries {
		part++
	}
	return part
}

func (s share) splitRate(total float64) float64 {
	if s.none {
		return 0
	}
	return total / float64(s.entries)
}
