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
)

// stops is what a table knows of the stops of its entry.
type stops struct {
	// updated is the number of stops up to which nothing is missing.
	updated int
	// updating is closed when the update under way ends; nil if there is none.
	updating chan struct{}
}

// isBehind reports whether the entry was stopped, and may lack streams and versions that others know since.
func (t *Table) isBehind() bool {
	if t.Stops == nil {
		return false
	}
	n := t.Stops()
	t.mu.Lock()
	defer t.mu.Unlock()
	return n != t.stops.updated
}

// awaitUpdate waits for what the other entries know since a stop of this one, until ctx is done.
func (t *Table) awaitUpdate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	for t.isBehind() && ctx.Err() == nil {
		select {
		case <-t.startUpdate():
		case <-ctx.Done():
		}
	}
}

// startUpdate starts an update unless one is under way. The returned channel is closed when it ends.
func (t *Table) startUpdate() <-chan struct{} {
	n := t.Stops()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stops.updating != nil {
		return t.stops.updating
	}
	done := make(chan struct{})
	t.stops.updating = done
	go func() {
		whole := t.Update()
		if !whole {
			pause.For(context.Background(), updatePause)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if whole {
			t.stops.updated = n
		}
		t.stops.updating = nil
		close(done)
	}()
	return done
}
