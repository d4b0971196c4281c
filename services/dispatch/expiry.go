package dispatch

import (
	"maps"
	"time"

	"github.com/runworks/runworks"
)

const (
	// expiryGrace is how long servers are kept whose records disappeared together. Records that
	// expired during an outage of the store are written again within about two seconds, most of
	// them sooner; and a server that really exited must get no calls two seconds later.
	expiryGrace = 1200 * time.Millisecond
	// Records count as expired together if at least one in expiryDivisor of them, and at least
	// minExpired, disappear at once: servers that exit do so one by one.
	expiryDivisor = 4
	minExpired    = 2
	// restoreGrace is how long after the store was restored from an older copy the record of a
	// server that was removed before is ignored. The server does not renew the record, so it
	// expires at the store within this time.
	restoreGrace = 5 * time.Second
	// removedRetention is how long a removed server is remembered. It exceeds the age of the
	// copies that the store is restored from.
	removedRetention = time.Minute
)

// ExpiryFilter distinguishes records that the store lost from those of servers that exited, and
// records that a restored copy of the store brought back from those of servers that started. The
// zero value is ready to use. It is not safe for concurrent use.
type ExpiryFilter struct {
	known map[string]runworks.Instance
	// missingSince is when the records of the servers that are kept disappeared.
	missingSince map[string]time.Time
	// removed is when incarnations were removed for good.
	removed map[string]time.Time
	// restoredAt is when the store was last restored from an older copy.
	restoredAt time.Time
}

// StoreRestored records that the store was restored from an older copy, which the next list
// passed to Merge comes from.
func (l *ExpiryFilter) StoreRestored(now time.Time) { l.restoredAt = now }

// Merge takes the list of servers at the store, which it may change. It returns the list with
// the servers that are kept for expiryGrace and without those that were removed before the store
// was restored, and the time after which the list has to be merged again; 0 if it need not be.
func (l *ExpiryFilter) Merge(now time.Time, list []runworks.Instance) (merged []runworks.Instance, again time.Duration) {
	list, again = l.withoutRemoved(now, list)
	listed := make(map[string]runworks.Instance, len(list))
	for _, one := range list {
		listed[one.ID] = one
	}
	expired := l.expired(now, listed)
	since := make(map[string]time.Time)
	for id, one := range l.known {
		if _, ok := listed[id]; ok {
			continue
		}
		at := l.missingSince[id]
		if at.IsZero() && expired {
			at = now
		}
		left := at.Add(expiryGrace).Sub(now)
		if one.Unavailable() || at.IsZero() || left <= 0 {
			l.noteRemoved(now, &one)
			continue
		}
		since[id] = at
		listed[id] = one
		list = append(list, one)
		again = sooner(again, left)
	}
	l.known, l.missingSince = listed, since
	return list, again
}

// expired reports whether the store probably lost the records of the servers that are no longer
// listed.
func (l *ExpiryFilter) expired(now time.Time, listed map[string]runworks.Instance) bool {
	if l.restoredAt.Equal(now) {
		return true // the copy is older than the records of the servers that started last
	}
	missing := 0
	for id, one := range l.known {
		if _, ok := listed[id]; !ok && !one.Unavailable() && l.missingSince[id].IsZero() {
			missing++
		}
	}
	return missing >= max(minExpired, len(l.known)/expiryDivisor)
}

// withoutRemoved returns the list without the servers that were removed before the store was
// restored, as long as the restored copy may still contain their records.
func (l *ExpiryFilter) withoutRemoved(now time.Time, list []runworks.Instance) (out []runworks.Instance, again time.Duration) {
	maps.DeleteFunc(l.removed, func(_ string, at time.Time) bool { return now.Sub(at) > removedRetention })
	left := l.restoredAt.Add(restoreGrace).Sub(now)
	out = list[:0]
	for _, one := range list {
		at, removed := l.removed[one.IncarnationID()]
		if removed && left > 0 && at.Before(l.restoredAt) {
			again = left
			continue
		}
		delete(l.removed, one.IncarnationID())
		out = append(out, one)
	}
	return out, again
}

func (l *ExpiryFilter) noteRemoved(now time.Time, one *runworks.Instance) {
	if l.removed == nil {
		l.removed = make(map[string]time.Time)
	}
	l.removed[one.IncarnationID()] = now
}

// sooner returns the shorter of two durations, of which 0 means none.
func sooner(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
