package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/runworks/runworks/services/enginemodel"
)

const (
	// maxChanged is the largest number of estimates in one message, those with the most samples since
	// they were last sent first: with one message per second and some 110 bytes for each, an entry
	// sends another 2 KB per second.
	maxChanged = 16
	// maxEarlyEstimates bounds the estimates that are kept for unknown servers.
	maxEarlyEstimates = maxEarlyNotices
)

// sentEstimate is an estimate that was sent, and when.
type sentEstimate struct {
	enginemodel.Estimate
	at time.Time
}

// earlyEstimate is an estimate of a server whose record is not known yet, with its time of receipt.
type earlyEstimate struct {
	enginemodel.Estimate
	receivedAt time.Time
}

// EngineEstimates returns what this entry learned of all engines, for an entry that may know nothing.
func (d *Dispatcher) EngineEstimates() []enginemodel.Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []enginemodel.Estimate
	d.eachEstimateLocked(time.Now(), func(_ *server, e enginemodel.Estimate) { out = append(out, e) })
	slices.SortFunc(out, func(a, b enginemodel.Estimate) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// ChangedEngineEstimates returns what changed since it was last returned, at most maxChanged estimates.
func (d *Dispatcher) ChangedEngineEstimates() []enginemodel.Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var changed []*server
	estimates := make(map[*server]enginemodel.Estimate)
	d.eachEstimateLocked(now, func(s *server, e enginemodel.Estimate) {
		if e.Changed(s.sentEstimate.Estimate, now.Sub(s.sentEstimate.at)) {
			changed = append(changed, s)
			estimates[s] = e
		}
	})
	slices.SortFunc(changed, func(a, b *server) int {
		newer := func(s *server) int { return estimates[s].Samples - s.sentEstimate.Samples }
		return cmp.Or(cmp.Compare(newer(b), newer(a)), cmp.Compare(a.incarnation, b.incarnation))
	})
	var out []enginemodel.Estimate
	for _, s := range changed[:min(len(changed), maxChanged)] {
		s.sentEstimate = sentEstimate{Estimate: estimates[s], at: now}
		out = append(out, estimates[s])
	}
	return out
}

// eachEstimateLocked calls f with what this entry learned of each engine of the services that are
// placed by models.
func (d *Dispatcher) eachEstimateLocked(now time.Time, f func(s *server, e enginemodel.Estimate)) {
	for _, s := range d.services {
		if !d.forecastsByEngine(s) {
			continue
		}
		for _, one := range s.servers {
			if e, ok := one.model.Estimate(now, &s.fleet, one.incarnation); ok {
				f(one, e)
			}
		}
	}
}

// ApplyEngineEstimates applies what another entry learned of engines.
func (d *Dispatcher) ApplyEngineEstimates(list []enginemodel.Estimate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, e := range list {
		if s := d.servers[e.Server]; s != nil {
			s.model.Merge(now, e)
			continue
		}
		if d.earlyEstimates == nil {
			d.earlyEstimates = make(map[string]earlyEstimate)
		}
		older, ok := d.earlyEstimates[e.Server]
		if !ok && len(d.earlyEstimates) >= maxEarlyEstimates || ok && older.AgedBy(now.Sub(older.receivedAt)).AgeMs < e.AgeMs {
			continue
		}
		d.earlyEstimates[e.Server] = earlyEstimate{Estimate: e, receivedAt: now}
	}
}

// applyEarlyEstimatesLocked applies the kept estimates of servers that are known now, and removes
// those of servers that did not appear.
func (d *Dispatcher) applyEarlyEstimatesLocked(now time.Time) {
	maps.DeleteFunc(d.earlyEstimates, func(incarnation string, e earlyEstimate) bool {
		age := now.Sub(e.receivedAt)
		if s := d.servers[incarnation]; s != nil {
			s.model.Merge(now, e.AgedBy(age))
			return true
		}
		return age > expiredRetention
	})
}

// leaseForecast returns the time to the first event of a call that is sent to a server now; 0 if it
// is unknown or calls are not placed by models.
func (f *forecast) leaseForecast(one *server, req *Request) time.Duration {
	if !f.byEngine {
		return 0
	}
	return time.Duration(f.engineDelay(one, req) * float64(time.Second))
}

// Forecast returns the time from the send to the first event that was expected when the lease was
// granted; 0 if it was unknown.
func (l *Lease) Forecast() time.Duration { return l.forecast }
