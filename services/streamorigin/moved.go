package streamorigin

import (
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// asks are the requests for the streams that the other entries know.
type asks struct {
	// began is when the last one that all answered began.
	began time.Time
	// asking is closed when the one under way ends; nil if there is none.
	asking chan struct{}
}

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

// askEntries resolves a stream whose route has changed, and whose origin has not arrived, by what the other entries know since a
// caller came.
func (t *Table) askEntries(l lookup, stream runworks.RequestID, service string) (runworks.StreamOrigin, error) {
	for range 2 { // a request under way may have begun before
		if t.AskEntries == nil || !t.askedBefore(l.since) {
			break
		}
		<-t.startAsk()
	}
	if t.mayArrive(stream, service) && (t.MissesEntry != nil && t.MissesEntry() || t.AskEntries != nil && t.askedBefore(l.since)) {
		return runworks.StreamOrigin{}, errorx.Decorate(runworks.ErrUnknownStream, "an entry that is not heard may have begun it at another service than %s", service)
	}
	return t.resolve(time.Now(), l, stream, service)
}

// askedBefore reports whether the other entries were last asked before a time.
func (t *Table) askedBefore(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asks.began.Before(since)
}

// startAsk asks the other entries unless that is under way. The returned channel is closed when it ends.
func (t *Table) startAsk() <-chan struct{} {
	began := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asks.asking != nil {
		return t.asks.asking
	}
	done := make(chan struct{})
	t.asks.asking = done
	go func() {
		answered := t.AskEntries()
		t.mu.Lock()
		defer t.mu.Unlock()
		if answered {
			t.asks.began = began
		}
		t.asks.asking = nil
		close(done)
	}()
	return done
}
