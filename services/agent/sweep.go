package agent

import (
	"slices"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

const sweepInterval = 5 * time.Second

// sweep removes expired records and responses at an interval.
func (a *Agent) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		a.sweepLocked(time.Now())
		a.mu.Unlock()
	}
}

// sweepLocked removes records older than RunRetention, and responses that can no longer be requested.
func (a *Agent) sweepLocked(now time.Time) {
	for id, r := range a.runs {
		if r.endedAt.IsZero() || r.readers > 0 {
			continue
		}
		age := now.Sub(r.endedAt)
		switch {
		case age > control.RunRetention && (!r.keepRunning || age > a.KeyRetention):
			a.dropResponseLocked(r)
			delete(a.runs, id)
		case !r.keepRunning && age > a.OrphanTimeout:
			a.dropResponseLocked(r)
		}
	}
}

// retainLocked keeps the response of a run that has ended, unless its entry cancelled it, and drops the oldest
// ones that nobody reads until the rest fit in MaxRetainedBytes.
func (a *Agent) retainLocked(r *run) {
	a.retained = append(a.retained, r)
	a.retainedBytes += r.response.Size()
	if r.cancelled {
		a.dropResponseLocked(r)
	}
	for i := 0; i < len(a.retained) && a.retainedBytes > a.MaxRetainedBytes; {
		if a.retained[i].readers > 0 {
			i++
			continue
		}
		a.dropResponseLocked(a.retained[i])
	}
}

// dropResponseLocked drops a retained response, if it has not been before, and counts it if it was never read to
// its end.
func (a *Agent) dropResponseLocked(r *run) {
	i := slices.Index(a.retained, r)
	if i < 0 {
		return
	}
	a.retained = slices.Delete(a.retained, i, i+1)
	a.retainedBytes -= r.response.Size()
	r.response = nil
	if !r.fullyRead {
		metrics.Count(a.Metrics.DroppedResponses, metrics.Rank(r.reservation.Tier))
	}
}
