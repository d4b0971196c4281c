package forward

import (
	"context"
	"time"
)

// readyTimeout is how long a call that arrives before the entry has read its state waits for it:
// several times the 10 to 30 ms that this takes while the store is healthy. Callers that wait for a
// start connect as soon as the entry listens; a refused one would retry too late.
const readyTimeout = 250 * time.Millisecond

// awaitReady waits until the entry has read its state, for at most readyTimeout.
func (f *Forwarder) awaitReady(ctx context.Context) {
	if f.Ready == nil {
		return
	}
	select {
	case <-f.Ready:
		return
	default:
	}
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case <-f.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}
