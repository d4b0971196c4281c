package agent

import (
	"sort"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

const sweepEvery = 5 * time.Second

// sweep forgets, now and then, what ended long ago.
func (a *Agent) sweep() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-a.life.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		a.sweepLocked(time.Now())
		a.mu.Unlock()
	}
}

// sweepLocked drops records past RunKeep, answers that nobody will fetch, and
// the oldest kept answers beyond their bound.
func (a *Agent) sweepLocked(now time.Time) {
	var kept []*run
	for id, r := range a.runs {
		if r.ended.IsZero() || r.readers > 0 {
			continue
		}
		age := now.Sub(r.ended)
		switch {
		case age > control.RunRetention && (!r.keep || age > a.KeyRetention):
			delete(a.runs, id)
		case r.answer == nil:
		case !r.keep && age > a.OrphanTimeout:
			a.dropLocked(r)
		case r.keep:
			kept = append(kept, r)
		}
	}
	a.boundKept(kept)
}

// boundKept drops the oldest of the kept answers until they fit the bound.
func (a *Agent) boundKept(kept []*run) {
	sort.Slice(kept, func(i, j int) bool { return kept[i].ended.After(kept[j].ended) })
	total := 0
	for _, r := range kept {
		total += r.answer.Size()
		if total > a.MaxRetainedBytes {
			a.dropLocked(r)
		}
	}
}

// dropLocked lets go of an answer, and counts one that nobody read to its end.
func (a *Agent) dropLocked(r *run) {
	r.answer = nil
	if !r.whole {
		metrics.Count(a.Metrics.DroppedResponses, metrics.Rank(r.ticket.Tier))
	}
}
