package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/runworks/runworks"
)

// Status is what this entry knows of an order, for operators.
type Status struct {
	Service       string                `json:"service"`
	TargetVersion string                `json:"target_version"`
	State         runworks.RolloutState `json:"state"`
	Step          string                `json:"step"`
	Reason        string                `json:"reason,omitempty"`
	Started       time.Time             `json:"started,omitzero"`
	Deadline      time.Time             `json:"deadline,omitzero"`
	// Arrived and Exposed are the calls of the service, and those sent to the version, over all
	// entries; OwnExposed and OwnAllowed are those of this entry, and what it may send.
	Arrived    int     `json:"arrived"`
	Exposed    int     `json:"exposed"`
	OwnExposed int     `json:"own_exposed"`
	OwnAllowed float64 `json:"own_allowed"`
	// Targets and Canaries are the servers of the version, and those that get calls before the
	// verdict.
	Targets  int      `json:"targets"`
	Canaries []string `json:"canaries,omitempty"`
	// Answers are those of the version, and Doubt how near they are to a rollback, from 0 to 1.
	Answers Counts  `json:"answers"`
	Slow    int     `json:"slow"`
	Doubt   float64 `json:"doubt"`
	// Reports counts the other entries whose reports are included, and Heard those heard recently.
	// OldestReportMs is the age of the oldest report of these, and StatusAgeMs that of State.
	Reports        int   `json:"reports"`
	Heard          int   `json:"heard"`
	OldestReportMs int64 `json:"oldest_report_ms"`
	StatusAgeMs    int64 `json:"status_age_ms"`
}

// Statuses returns the state of all orders.
func (r *Rollouts) Statuses(now time.Time) []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Status
	for _, o := range r.orders {
		s := o.status(r)
		s.Heard = o.heard(now, &r.fronts)
		for _, one := range o.reports {
			if age := now.Sub(one.at); age <= missedReports*r.fronts.interval() {
				s.OldestReportMs = max(s.OldestReportMs, age.Milliseconds())
			}
		}
		if !o.confirmed.IsZero() {
			s.StatusAgeMs = now.Sub(o.confirmed).Milliseconds()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Service, b.Service) })
	return out
}

func (o *order) status(r *Rollouts) Status {
	out := Status{
		Service: o.Service, TargetVersion: o.TargetVersion, State: o.state, Step: o.step, Reason: o.reason, Started: o.started,
		Arrived: o.arrived, Exposed: o.placed, OwnExposed: o.placed, OwnAllowed: o.allowance(r), Targets: len(o.targets), Answers: o.judge.total, Slow: o.judge.slow,
	}
	if !o.started.IsZero() {
		out.Deadline = o.started.Add(o.Duration)
	}
	out.Doubt, _, _ = o.judge.level("")
	for id := range o.canaries {
		out.Canaries = append(out.Canaries, id)
	}
	slices.Sort(out.Canaries)
	for _, one := range o.reports {
		out.Arrived += one.arrived
		out.Exposed += one.placed
	}
	out.Reports = len(o.reports)
	return out
}
