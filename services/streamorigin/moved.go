package streamorigin

import (
	"maps"
	"time"

	"github.com/runworks/runworks"
)

// MoveStreams records that routes share the streams of services out anew. For as long as callers may resume streams that
// began before, the service of one can't be told from its route, and the other entries receive the streams of these services.
func (t *Table) MoveStreams(now time.Time, services []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.moved, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.changeVersionsLocked(now, func() {
		for _, service := range services {
			if t.moved == nil {
				t.moved = make(map[string]time.Time)
			}
			t.moved[service] = now.Add(t.longestKeepLocked(service))
		}
	})
}

// longestKeepLocked returns for how long callers may resume streams of a service.
func (t *Table) longestKeepLocked(service string) time.Duration {
	keep := versionMemory
	for _, v := range t.versions[service] {
		keep = max(keep, v.keep)
	}
	return keep
}

// isMovedLocked reports whether routes moved streams of a service that callers may resume.
func (t *Table) isMovedLocked(now time.Time, service string) bool {
	return now.Before(t.moved[service])
}

// mayArrive reports whether the origin of a stream is not known, and another entry may be sending it as its route has changed.
func (t *Table) mayArrive(stream runworks.RequestID, service string) bool {
	now := time.Now()
	if t.knows(now, stream) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isMovedLocked(now, service)
}
