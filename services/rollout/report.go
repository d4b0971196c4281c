package rollout

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/runworks/runworks"
)

// Report is what an entry used and saw of an order. Counts are totals since its start, so that a
// report that is lost or repeated does no harm.
type Report struct {
	Service       string `json:"service"`
	TargetVersion string `json:"version"`
	// StartedAgo and ConfirmedAgo are since when the order was given, and the status read from the
	// store, in ms; nil if unknown. Clocks are not compared.
	StartedAgo   *int64 `json:"started_ms,omitempty"`
	ConfirmedAgo *int64 `json:"confirmed_ms,omitempty"`
	// State is the status, and Verdict the terminal state that the entry decided on, with the reason.
	State   runworks.RolloutState `json:"state,omitempty"`
	Verdict runworks.RolloutState `json:"verdict,omitempty"`
	Reason  string                `json:"reason,omitempty"`
	// Harmless is set once nothing spoke against the version after the first calls.
	Harmless bool   `json:"harmless,omitempty"`
	Arrived  int    `json:"arrived"`
	Placed   int    `json:"placed"`
	Cells    []Cell `json:"cells,omitempty"`
}

// Cell holds the answers of one server of the new version, or of the old version if Server is
// empty, on one route.
type Cell struct {
	Server string `json:"i,omitempty"`
	Route  string `json:"r,omitempty"`
	Counts
	// First and Gap are the times to the first event and between events, relative to the old
	// version's: counts by bucket.
	First map[int]int `json:"t,omitempty"`
	Gap   map[int]int `json:"g,omitempty"`
}

// maxReportAge bounds the ages in a report: orders last minutes.
const maxReportAge = 24 * time.Hour

// ErrImplausible means that a report can't be true.
var ErrImplausible = errors.New("implausible report of a roll-out")

// Reports returns the reports that are due.
func (r *Rollouts) Reports(now time.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for _, o := range r.orders {
		if now.Sub(o.sentAt) < r.fronts.interval() || o.state.Terminal() && now.Sub(o.endedAt) > terminalReports {
			continue
		}
		o.sentAt = now
		out = append(out, o.report(now))
	}
	slices.SortFunc(out, func(a, b Report) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// report returns the report of an order.
func (o *order) report(now time.Time) Report {
	out := Report{
		Service: o.Service, TargetVersion: o.TargetVersion, State: o.state, Verdict: o.verdict, Reason: o.reason, Harmless: o.harmless,
		Arrived: o.arrived, Placed: o.placed, StartedAgo: ago(now, o.started), ConfirmedAgo: ago(now, o.confirmed),
	}
	if o.reportsOut%fullReportEvery == 0 {
		o.sent = make(map[cellKey]int)
	}
	o.reportsOut++
	for key, t := range o.tallies {
		n := t.Ended + t.times[0].count()
		if o.sent[key] == n {
			continue
		}
		o.sent[key] = n
		c := Cell{Server: key.server, Route: key.route, Counts: t.Counts}
		if key.server != "" {
			c.First, c.Gap = t.times[0].encode(), t.times[1].encode()
		}
		out.Cells = append(out.Cells, c)
	}
	return out
}

func ago(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ms := now.Sub(at).Milliseconds()
	return &ms
}

// encode returns the buckets that are not empty.
func (b *buckets) encode() map[int]int {
	out := make(map[int]int)
	for i, c := range b {
		if c > 0 {
			out[i] = c
		}
	}
	return out
}

func decodeBuckets(counts map[int]int) (out buckets) {
	for i, c := range counts {
		out[i] = c
	}
	return out
}

// plausibleBuckets reports whether all buckets exist and hold possible counts.
func plausibleBuckets(counts map[int]int) bool {
	for i, c := range counts {
		if i < 0 || i > 2*maxBucket || c < 0 || c > maxCount {
			return false
		}
	}
	return true
}

// check returns ErrImplausible if the report can't be true.
func (p *Report) check() error {
	if p.Arrived < 0 || p.Placed < 0 || len(p.Cells) > maxCells {
		return ErrImplausible
	}
	for _, ms := range []*int64{p.StartedAgo, p.ConfirmedAgo} {
		if ms != nil && (*ms < 0 || *ms > maxReportAge.Milliseconds()) {
			return ErrImplausible
		}
	}
	for i := range p.Cells {
		c := &p.Cells[i]
		if !c.plausible() || !plausibleBuckets(c.First) || !plausibleBuckets(c.Gap) {
			return ErrImplausible
		}
	}
	return nil
}

// ApplyReport applies the report of another entry. Reports of other orders are ignored.
func (r *Rollouts) ApplyReport(now time.Time, from runworks.Incarnation, p *Report) error {
	if err := p.check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[p.Service]
	if o == nil || o.TargetVersion != p.TargetVersion || from == r.Self {
		return nil
	}
	o.addReport(now, from, p)
	if p.StartedAgo != nil && o.started.IsZero() {
		o.started = now.Add(-time.Duration(*p.StartedAgo) * time.Millisecond)
	}
	if p.ConfirmedAgo != nil && p.State != "" {
		r.applyStateLocked(now, o, p.State, now.Add(-time.Duration(*p.ConfirmedAgo)*time.Millisecond))
	}
	if p.Verdict == runworks.RolloutRolledBack && o.verdict != runworks.RolloutRolledBack && !o.state.Terminal() {
		o.verdict, o.reason = p.Verdict, p.Reason
		r.stepLocked(o, "rollback decided by another front", p.Reason)
	}
	return nil
}

// addReport replaces what another entry reported before.
func (o *order) addReport(now time.Time, from runworks.Incarnation, p *Report) {
	known := o.reports[from]
	if known == nil {
		known = &peerReport{tallies: make(map[cellKey]*tally)}
		o.reports[from] = known
	}
	o.harmless = o.harmless || p.Harmless
	known.at, known.arrived, known.placed = now, p.Arrived, p.Placed
	for _, c := range p.Cells {
		key := cellKey{c.Server, c.Route}
		if old := known.tallies[key]; old != nil && !c.atLeast(old.Counts) || old == nil && len(known.tallies) >= maxCells {
			continue
		}
		known.tallies[key] = &tally{Counts: c.Counts, times: [timings]buckets{decodeBuckets(c.First), decodeBuckets(c.Gap)}}
	}
}
