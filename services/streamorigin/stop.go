package streamorigin

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// updateTimeout limits the wait for what the other entries know, after this one was stopped: a request to one of another
	// region takes some 100 ms, and callers wait for seconds.
	updateTimeout = 500 * time.Millisecond
	// updatePause is the time between an update that lacks something and the next one.
	updatePause = 200 * time.Millisecond
	// updateMemory is how long an update counts while another entry is not heard.
	updateMemory = 250 * time.Millisecond
)

// stops is what a table knows of the stops of its entry.
type stops struct {
	// updated is the number of stops up to which nothing is missing.
	updated int
	// updatedAt is when the last update that lacked nothing began.
	updatedAt time.Time
	// updating is closed when the update under way ends; nil if there is none.
	updating chan struct{}
}

// lookup is when a caller came, and whether its stream was resolved then: a stop since does not matter.
type lookup struct {
	since    time.Time
	resolved bool
}

// isBehind reports whether the entry was stopped or may be cut off, and may lack streams and versions that others knew when a
// caller came.
func (t *Table) isBehind(l lookup) bool {
	if t.Stops == nil {
		return false
	}
	n, missing := t.Stops(), t.MissesEntry != nil && t.MissesEntry() || t.Alone != nil && t.Alone()
	t.mu.Lock()
	defer t.mu.Unlock()
	return n != t.stops.updated && !l.resolved || missing && l.since.Sub(t.stops.updatedAt) >= updateMemory
}

// awaitUpdate waits for what the other entries knew when a caller came, until ctx is done.
func (t *Table) awaitUpdate(ctx context.Context, l lookup) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	for t.isBehind(l) && ctx.Err() == nil {
		select {
		case <-t.startUpdate():
		case <-ctx.Done():
		}
	}
}

// startUpdate starts an update unless one is under way. The returned channel is closed when it ends.
func (t *Table) startUpdate() <-chan struct{} {
	n, began := t.Stops(), time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stops.updating != nil {
		return t.stops.updating
	}
	done, stopped := make(chan struct{}), n != t.stops.updated
	t.stops.updating = done
	go func() {
		whole := t.Update(stopped)
		if !whole {
			pause.For(context.Background(), updatePause)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if whole {
			t.stops.updated, t.stops.updatedAt = n, began
		}
		t.stops.updating = nil
		close(done)
	}()
	return done
}
