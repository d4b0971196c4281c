package forward

import (
	"context"
	"time"
)

// startHold is how long a call is held that comes before the entry has read its state:
// some times what that takes, 10 to 30 ms where the store is well. Callers that wait
// for a start reach the entry as soon as it listens; sent back, they come too late.
const startHold = 250 * time.Millisecond

// awaitOpened holds a call for a moment that comes before the entry knows its state.
func (f *Forwarder) awaitOpened(ctx context.Context) {
	if f.Ready == nil {
		return
	}
	select {
	case <-f.Ready:
		return
	default:
	}
	limit := time.NewTimer(startHold)
	defer limit.Stop()
	select {
	case <-f.Ready:
	case <-limit.C:
	case <-ctx.Done():
	}
}
