package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/runworks/runworks"
)

// Environment is what the decisions depend on beside the calls.
type Environment struct {
	// Known counts the other entries that are listed or were heard, and Live those heard recently.
	Known, Live int
	// Running is the number of running calls by service, over all entries.
	Running map[string]int
}

// Write is a status to be written to the store.
type Write struct {
	Service string
	Status  runworks.RolloutStatus
	Reason  string
}

// Tick updates all orders and returns the statuses to write. They are returned again until the store
// has them.
func (r *Rollouts) Tick(now time.Time, env Environment) []Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fronts.update(now, env.Known, env.Live, peakFor*r.RollbackAfter)
	var out []Write
	for _, o := range r.orders {
		o.peakLoad = max(o.peakLoad, env.Running[o.Service])
		want, reason := r.decideLocked(now, o)
		if want == "" || want == o.stored {
			o.wantSince = time.Time{}
			continue
		}
		if o.wantSince.IsZero() {
			o.wantSince = now
		}
		if now.Sub(o.wantSince) >= writeDelay*time.Duration(min(r.rankLocked(now, o), maxWriteDelays)) {
			out = append(out, Write{Service: o.Service, Status: runworks.RolloutStatus{TargetVersion: o.TargetVersion, State: want}, Reason: reason})
		}
	}
	slices.SortFunc(out, func(a, b Write) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// decideLocked returns the state that the order should have, or "" if that is not known yet.
func (r *Rollouts) decideLocked(now time.Time, o *order) (runworks.RolloutState, string) {
	switch {
	case o.confirmed.IsZero() || o.started.IsZero():
		return "", ""
	case o.state.Terminal() && o.stored.Terminal():
		return "", ""
	case o.state.Terminal():
		return o.state, "the store lost the status"
	case o.stored == "":
		return runworks.RolloutRunning, ""
	case o.verdict == runworks.RolloutRolledBack:
		return o.verdict, o.reason
	}
	if now.Sub(o.judgedAt) >= judgeInterval {
		o.judgedAt = now
		totals := o.totals()
		o.judge.update(now, totals, &o.spreads)
		r.chooseCanariesLocked(o)
		if reason := o.judge.verdict(len(o.targets), &o.spreads, totals); reason != "" {
			return r.rollBackLocked(o, reason)
		}
		o.updateHarmless(now)
	}
	r.logProgressLocked(now, o)
	switch {
	case o.acceptable(now) && o.connected(now, &r.fronts):
		return runworks.RolloutCompleted, "as good as the old version"
	case o.after(now, giveUpAfter):
		return r.rollBackLocked(o, o.obstacle(now))
	}
	return runworks.RolloutRunning, ""
}

// updateHarmless decides whether more calls follow the first ones.
func (o *order) updateHarmless(now time.Time) {
	_, _, known := o.spreads[0].cut(&buckets{})
	o.comparable = o.comparable || known || o.after(now, probeUntil)
	enough := min(probedServers, len(o.targets))
	if o.after(now, probeUntil) {
		enough = min(enough, minCanaries)
	}
	placed := o.placed
	for _, one := range o.reports {
		placed += one.placed
	}
	// The slow answers arrive last.
	answered := float64(o.judge.total.Ended) >= answeredShare*float64(placed)
	o.harmless = o.harmless || answered && o.judge.harmless(enough, &o.spreads)
}

// after reports whether a fraction of the duration has passed.
func (o *order) after(now time.Time, fraction float64) bool {
	return now.Sub(o.started) >= time.Duration(fraction*float64(o.Duration))
}

// acceptable reports whether the version can be accepted by its answers and its servers.
func (o *order) acceptable(now time.Time) bool {
	late := o.after(now, acceptLate)
	enough := o.judge.total.Ended >= minAnswers && o.judge.compared() >= min(minLevelServers, len(o.targets))
	enough = enough && o.after(now, acceptAfter) || late && o.judge.total.Ended >= minLateAnswers
	return enough && !o.judge.suspicious(&o.spreads) && o.carriesLoad(now, late)
}

// rollBackLocked decides that the version is rolled back. The decision is final at this entry.
func (r *Rollouts) rollBackLocked(o *order, reason string) (runworks.RolloutState, string) {
	o.verdict, o.reason = runworks.RolloutRolledBack, reason
	o.sentAt = time.Time{} // the other entries learn of it at once
	r.stepLocked(o, "rollback decided", reason)
	return o.verdict, reason
}

// obstacle returns why a version was not accepted in time.
func (o *order) obstacle(now time.Time) string {
	switch {
	case len(o.targets) == 0:
		return "no server of the version by the deadline"
	case !o.carriesLoad(now, true):
		return "the servers of the version can't carry the load by the deadline"
	case o.judge.suspicious(&o.spreads):
		return "too doubtful by the deadline"
	case o.judge.total.Ended < minLateAnswers:
		return "too few answers by the deadline"
	}
	return "not accepted by the deadline"
}

// carriesLoad reports whether the servers of the new version can take over all calls.
func (o *order) carriesLoad(now time.Time, late bool) bool {
	targets, old := 0, 0
	for _, one := range o.targets {
		if !o.judge.condemned(one.ID) && !one.ColdUntil.After(now) {
			targets += one.Slots
		}
	}
	for _, one := range o.old {
		old += one.Slots
	}
	if targets == 0 {
		return false
	}
	return float64(targets) >= capacityShare*float64(old) || late && float64(targets) >= loadFactor*float64(o.peakLoad)
}

// logProgressLocked reports the steps before the verdict.
func (r *Rollouts) logProgressLocked(now time.Time, o *order) {
	switch {
	case len(o.targets) == 0:
		r.stepLocked(o, "waiting for servers", "")
	case !o.exposes(now, r):
		r.stepLocked(o, "paused", o.pauseReason(now, r))
	case !o.harmless:
		r.stepLocked(o, "probing", "")
	default:
		r.stepLocked(o, "testing", "")
	}
}

func (o *order) pauseReason(now time.Time, r *Rollouts) string {
	switch {
	case !now.Before(o.started.Add(o.Duration)):
		return "the deadline has passed"
	case !o.connected(now, &r.fronts):
		return "most other fronts do not report"
	}
	return "the status was not read lately"
}

// stepLocked reports a step once.
func (r *Rollouts) stepLocked(o *order, name, reason string) {
	if o.step == name {
		return
	}
	o.step = name
	if r.OnStep != nil {
		r.OnStep(Step{Service: o.Service, TargetVersion: o.TargetVersion, Name: name, Reason: reason, Status: o.status(r)})
	}
}

// rankLocked returns the number of live entries before this one in the order in which they write.
func (r *Rollouts) rankLocked(now time.Time, o *order) int {
	n := 0
	for from, one := range o.reports {
		if from < r.Self && now.Sub(one.at) <= missedReports*r.fronts.interval() {
			n++
		}
	}
	return n
}

// NeedsRead reports whether the status has to be read from the store.
func (r *Rollouts) NeedsRead(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.orders {
		age := otherAge
		if r.rankLocked(now, o) < readers {
			age = readerAge
		}
		if o.confirmed.IsZero() || o.started.IsZero() || !o.state.Terminal() && now.Sub(o.confirmed) >= r.part(age) {
			return true
		}
	}
	return false
}

// StoreRestored makes the statuses be read again after the store was restored from an older copy.
func (r *Rollouts) StoreRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.orders {
		o.confirmed = time.Time{}
	}
}

// HostSuspended ages what is known by the time for which the host was suspended.
func (r *Rollouts) HostSuspended(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.orders {
		if !o.confirmed.IsZero() {
			o.confirmed = o.confirmed.Add(-d)
		}
		if !o.started.IsZero() {
			o.started = o.started.Add(-d)
		}
		for _, one := range o.reports {
			one.at = one.at.Add(-d)
		}
	}
}

// StatusRead applies what the store holds for a service at now: the status, nil if there is none,
// and when the order was given, zero if the store does not say.
func (r *Rollouts) StatusRead(now time.Time, service string, status *runworks.RolloutStatus, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[service]
	if o == nil {
		return
	}
	if !started.IsZero() && o.started.IsZero() {
		o.started = started
	}
	var state runworks.RolloutState
	if status != nil && status.TargetVersion == o.TargetVersion {
		state = status.State
	}
	r.applyStateLocked(now, o, state, now)
}

// applyStateLocked applies the state that the store held at a time. A terminal state stays.
func (r *Rollouts) applyStateLocked(now time.Time, o *order, state runworks.RolloutState, at time.Time) {
	if at.After(o.confirmed) {
		o.confirmed, o.stored = at, state
	}
	if o.state.Terminal() || state == "" || state == o.state {
		return
	}
	o.state = state
	if state.Terminal() {
		o.endedAt = now
		o.sentAt = time.Time{} // the other entries learn of it at once
		r.stepLocked(o, string(state), o.reason)
	}
}

// NeedsStart returns the services for which the store must say when their orders were given.
func (r *Rollouts) NeedsStart(service string) (version string, needed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[service]
	if o == nil {
		return "", false
	}
	return o.TargetVersion, o.started.IsZero()
}

// Services returns the services with an order, sorted.
func (r *Rollouts) Services() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.orders))
	for service := range r.orders {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}
