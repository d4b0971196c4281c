package agent

import (
	"sort"
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

// sweepLocked removes records older than RunRetention, responses that can no longer be
// requested, and the oldest retained responses beyond MaxRetainedBytes.
func (a *Agent) sweepLocked(now time.Time) {
	var kept []*run
	for id, r := range a.runs {
		if r.endedAt.IsZero() || r.readers > 0 {
			continue
		}
		age := now.Sub(r.endedAt)
		switch {
		case age > control.RunRetention && (!r.keepRunning || age > a.KeyRetention):
			delete(a.runs, id)
		case r.response == nil:
		case !r.keepRunning && age > a.OrphanTimeout:
			a.dropResponseLocked(r)
		case r.keepRunning:
			kept = append(kept, r)
		}
	}
	a.limitRetained(kept)
}

// limitRetained drops the oldest retained responses until the rest fit in MaxRetainedBytes.
func (a *Agent) limitRetained(kept []*run) {
	sort.Slice(kept, func(i, j int) bool { return kept[i].endedAt.After(kept[j].endedAt) })
	total := 0
	for _, r := range kept {
		total += r.response.Size()
		if total > a.MaxRetainedBytes {
			a.dropResponseLocked(r)
		}
	}
}

// dropResponseLocked drops a response and counts it if it was never read to its end.
func (a *Agent) dropResponseLocked(r *run) {
	r.response = nil
	if !r.fullyRead {
		metrics.Count(a.Metrics.DroppedResponses, metrics.Rank(r.reservation.Tier))
	}
}
