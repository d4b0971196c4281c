package rollout

import (
	"math"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
)

// peakFor is how long the highest number of live entries counts, in units of RollbackAfter. An
// entry that was cut off from the others sends nothing to the new version for that long; if they are
// gone for good, it then goes on alone.
const peakFor = 2

// fronts is what is known of the other entries.
type fronts struct {
	// known are all that are listed or were heard, live those heard recently.
	known, live int
	// peak is the highest recent number of live ones, and lowerSince since when fewer are live.
	peak       int
	lowerSince time.Time
}

func (f *fronts) update(now time.Time, known, live int, peakFor time.Duration) {
	f.known, f.live = known, live
	switch {
	case live >= f.peak:
		f.peak, f.lowerSince = live, time.Time{}
	case f.lowerSince.IsZero():
		f.lowerSince = now
	case now.Sub(f.lowerSince) >= peakFor:
		f.peak, f.lowerSince = live, time.Time{}
	}
}

// interval returns the time between two reports.
func (f *fronts) interval() time.Duration {
	return min(max(reportInterval, time.Duration(f.live)*reportIntervalPerPeer), maxReportInterval)
}

// connected reports whether at least half of the other entries report what they saw. An entry that
// is cut off can't know how many bad answers there were.
func (o *order) connected(now time.Time, f *fronts) bool {
	return 2*o.heard(now, f) >= f.peak
}

// heard returns the number of other entries that reported recently.
func (o *order) heard(now time.Time, f *fronts) int {
	n := 0
	for _, one := range o.reports {
		if now.Sub(one.at) <= missedReports*f.interval() {
			n++
		}
	}
	return n
}

// allowance returns how many calls this entry may send to the version before it is accepted. The
// share of the calls that arrived here needs no agreement: summed over all entries, it is the share
// of all calls. It also holds for an entry that restarts, as it then begins with no arrivals. The
// slack is divided by the number of known entries, heard or not.
func (o *order) allowance(r *Rollouts) float64 {
	slack := math.Floor(usedSlack * r.ExposureSlack / float64(r.fronts.known+1))
	return usedShare*r.ExposureShare*float64(o.arrived) + slack
}

// Arrived counts a call that arrived for a service.
func (r *Rollouts) Arrived(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Only calls between the order and its deadline count.
	if o := r.orders[service]; o != nil && !o.started.IsZero() && now.Before(o.started.Add(o.Duration)) {
		o.arrived++
	}
}

// Placed counts a call that is sent to a server.
func (r *Rollouts) Placed(server *runworks.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders[server.Service]; o != nil && server.Version == o.TargetVersion && !o.state.Terminal() {
		o.placed++
		o.probes[server.ID]++
		if r.OnPlaced != nil {
			r.OnPlaced()
		}
	}
}

// Ended counts how a server answered a call. Calls that the server rejected or never received, and
// those that the caller abandoned while they were not late, are no evidence.
func (r *Rollouts) Ended(server *runworks.Instance, a *dispatch.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[server.Service]
	if o == nil || o.state.Terminal() {
		return
	}
	var c Counts
	switch a.Result {
	case dispatch.Served:
		c.Ended = 1
	case dispatch.Failed:
		c.Ended, c.Failed = 1, 1
	case dispatch.Interrupted:
		c.Ended, c.Cut = 1, 1
	case dispatch.Abandoned:
	case dispatch.Rejected, dispatch.Unreachable, dispatch.AddressReused:
		return
	}
	target := server.Version == o.TargetVersion
	key := cellKey{route: a.Route}
	if target {
		key.server = server.ID
	}
	t := o.tallies[key]
	if t == nil {
		if len(o.tallies) >= maxCells {
			return
		}
		t = &tally{}
		o.tallies[key] = t
	}
	t.Counts.add(c)
	for i, d := range [timings]time.Duration{a.First, a.MeanGap} {
		switch {
		case target:
			o.addTime(t, i, d, a)
		case a.Result == dispatch.Served:
			o.spreads[i].add(a.Route, server.ID, d)
		}
	}
}

// addTime adds a time of the new version. Without a response only a lower bound is known, which
// counts if it is slow already.
func (o *order) addTime(t *tally, i int, d time.Duration, a *dispatch.Answer) {
	x, ok := o.spreads[i].ratio(a.Route, d)
	if !ok || a.Result == dispatch.Failed || a.Result == dispatch.Interrupted {
		return
	}
	if a.Result == dispatch.Abandoned && !a.Responded {
		if cut, _, ok := o.spreads[i].cut(&buckets{}); !ok || bucketOf(x) <= cut {
			return
		}
	}
	t.times[i][bucketOf(x)]++
}

// totals returns the answers over all entries.
func (o *order) totals() map[cellKey]*tally {
	out := make(map[cellKey]*tally, len(o.tallies))
	add := func(tallies map[cellKey]*tally) {
		for key, t := range tallies {
			if out[key] == nil {
				out[key] = &tally{}
			}
			out[key].add(t)
		}
	}
	add(o.tallies)
	for _, one := range o.reports {
		add(one.tallies)
	}
	return out
}
