package dispatch

import (
	"math"
	"slices"
)

const (
	// minServedFraction is how often a rank with waiting calls is served at least, relative to all
	// calls. Callers need a quarter; half leaves a margin for errors of the measured rates.
	minServedFraction = 0.5
	// minLocalFraction is the same where each entry serves its own queue. Long calls of the lowest rank take
	// the slots of many calls of the other ranks, so the margin is smaller.
	minLocalFraction = 0.3
	// waitMargin is the fraction of the time to its target, or until its caller leaves, within which
	// an arriving call must be expected to start to wait. The rest covers the error of the estimate,
	// so that few calls wait long and are refused then, and the time to the first event. A waiting call
	// is kept until the estimate is as far beyond its target.
	waitMargin = 0.75
	// minReturnFraction is the fraction of the slots of a rank for which refused callers return while
	// other calls need all. Callers that are told to return by the whole rate are refused again more
	// often than by chance.
	minReturnFraction = 0.25
	// maxCreditSeconds bounds the starts that a rank is owed, or got beyond its minimum share, to those
	// of its minimum share in this time: a rank whose calls could not use their starts does not
	// displace others for long later, nor wait for long after others left it many.
	maxCreditSeconds = 0.5
)

// capacityView is what admission knows of a service at one moment. Its methods decide without a
// clock; times are in seconds.
type capacityView struct {
	// rate is the number of slots that become free per second; 0 is unknown.
	rate float64
	// served is the fraction of the calls that arrived recently that started.
	served float64
	// minFraction is how often a rank with waiting calls is served at least, relative to all calls.
	minFraction float64
	// classes are ordered by tier.
	classes []classView
}

// classView is the state of the calls of one customer rank and route rank.
type classView struct {
	// tier is the tier of its calls that can still be on time; the classes are ordered by it.
	tier int
	// arrivals is the number of calls that arrive per second.
	arrivals float64
	// credit is the number of starts that the class is owed for its minimum share.
	credit float64
	// waiting and late are the numbers of its waiting calls that can still be on time, and of those
	// that can't.
	waiting, late int
}

// admissionVerdict is what happens to an arriving call.
type admissionVerdict int

const (
	// waitForTarget means that the call waits, or starts at once, among those that can be on time.
	waitForTarget admissionVerdict = iota
	// waitLate means that it waits for capacity that no call needs which can be on time.
	waitLate
	// refuseNow means that waiting would be of no use.
	refuseNow
)

// admission describes a call to be decided about.
type admission struct {
	// tier is its tier as a call that can be on time.
	tier int
	// ahead and lateAhead are the calls of its tier that are served before it, as a call that can be
	// on time and as a late one. Callers that were told to return now count as late ones before it.
	ahead, lateAhead int
	// target and leaves are the times until its target and until its caller leaves.
	target, leaves float64
	// backlog is the number of its customer's waiting calls of its tier, and demands the cost of the
	// calls of its class that arrive per second, by customer. Both are unset for a waiting call.
	backlog int
	demands []float64
}

// decide decides about an arriving call. The result holds the time after which it is expected to
// start on time, and as a late call.
func (v *capacityView) decide(a *admission) (verdict admissionVerdict, onTime, late float64) {
	onTime = max(v.startDelay(a.tier, a.ahead), v.backlogDelay(a))
	if a.target > 0 && onTime <= a.target*waitMargin {
		return waitForTarget, onTime, 0
	}
	late = v.lateDelay(a.tier, a.lateAhead)
	if a.leaves > 0 && late <= a.leaves*waitMargin {
		return waitLate, onTime, late
	}
	return refuseNow, onTime, late
}

// keeps reports whether a waiting call is still likely to be served in time to be of use.
func (v *capacityView) keeps(a *admission) bool {
	if a.target > 0 && v.startDelay(a.tier, a.ahead)*waitMargin <= a.target {
		return true
	}
	return v.lateDelay(a.tier, a.lateAhead) <= a.leaves
}

// startDelay returns in how many seconds a call that can be on time starts with ahead calls of its
// tier before it: once all calls at its own and at higher ranks have started, those that arrive at
// higher ranks meanwhile and the minimum shares of lower ranks included, or earlier by the minimum
// share of its own rank. It is 0 for the first call and while the rate is unknown.
func (v *capacityView) startDelay(tier, ahead int) float64 {
	if v.rate == 0 {
		return 0
	}
	free, minimum := v.rate, 0.0
	above, credit := 0, 0.0
	for i := range v.classes {
		c := &v.classes[i]
		switch {
		case c.tier < tier:
			above += c.waiting
			free -= c.arrivals
			if lateTier(c.tier) < tier {
				above += c.late
			}
		case c.tier == tier:
			minimum, credit = v.minimumRate(c), c.credit
		case c.waiting+c.late > 0:
			free -= v.minimumRate(c)
		}
	}
	if above+ahead == 0 {
		return 0
	}
	strict := math.Inf(1)
	if free > 0 {
		strict = float64(above+ahead+1) / free
	}
	return min(strict, shareDelay(v.rate, minimum, credit, ahead))
}

// shareDelay returns in how many seconds a call with ahead calls of its rank before it starts by the
// rank's minimum share.
func shareDelay(rate, minimum, credit float64, ahead int) float64 {
	missing := float64(ahead+1) - credit
	switch {
	case missing <= 0:
		return float64(ahead+1) / rate
	case minimum == 0:
		return math.Inf(1)
	}
	return missing/minimum + 1/rate
}

// lateDelay returns in how many seconds a late call with ahead late calls of its tier before it
// starts, if calls of its customer rank and those above that can be on time keep arriving as they
// do and are served first.
func (v *capacityView) lateDelay(tier, ahead int) float64 {
	if v.rate == 0 {
		return 0
	}
	free := v.rate
	for i := range v.classes {
		c := &v.classes[i]
		if c.tier < lateTier(tier) {
			ahead += c.waiting
			free -= c.arrivals
		}
		if c.tier < tier {
			ahead += c.late
		}
	}
	switch {
	case ahead == 0:
		return 0
	case free <= 0:
		return math.Inf(1)
	}
	return float64(ahead+1) / free
}

// backlogDelay returns in how many seconds the waiting calls of the call's customer start, which fair
// queueing serves at the customer's share of what its rank gets. A customer that sends more than its
// share is overtaken by calls of others that arrive later. If its calls were admitted by those that
// are ahead on arrival alone, they would wait for most of their target and be refused then.
func (v *capacityView) backlogDelay(a *admission) float64 {
	c := v.class(a.tier)
	if c == nil || v.rate == 0 || a.backlog == 0 || c.arrivals == 0 {
		return 0
	}
	sum := 0.0
	for _, one := range a.demands {
		sum += one
	}
	rate := v.rankRate(a.tier)
	if rate == 0 {
		return math.Inf(1)
	}
	capacity := rate * sum / c.arrivals
	if capacity == 0 {
		return float64(a.backlog) / rate
	}
	return float64(a.backlog) / (rate * min(fairShare(capacity, a.demands)/capacity, 1))
}

// rankRate returns how many calls of a class start per second while calls of it wait.
func (v *capacityView) rankRate(tier int) float64 {
	free, minimum := v.rate, 0.0
	for i := range v.classes {
		c := &v.classes[i]
		switch {
		case c.tier < tier:
			free -= c.arrivals
		case c.tier == tier:
			minimum = v.minimumRate(c)
		case c.waiting+c.late > 0:
			free -= v.minimumRate(c)
		}
	}
	return min(max(free, minimum), v.rate)
}

// waitingBefore returns how many calls of a class and those above wait.
func (v *capacityView) waitingBefore(tier int) int {
	n := 0
	for i := range v.classes {
		if c := &v.classes[i]; c.tier <= tier {
			n += c.waiting + c.late
		}
	}
	return n
}

// returnRate returns how many callers per second should return to a class: what it gets beyond the calls
// that arrive anyway, but at least a fraction of all, so that callers return during a long burst too.
func (v *capacityView) returnRate(tier int) float64 {
	rate := v.rankRate(tier)
	arrivals := 0.0
	if c := v.class(tier); c != nil {
		arrivals = c.arrivals
	}
	return max(rate-arrivals, minReturnFraction*rate)
}

// fairShare returns the max-min fair share of a capacity: the most that one customer gets while all
// demands up to it are met. It is +Inf if all demands can be met.
func fairShare(capacity float64, demands []float64) float64 {
	demands = slices.Sorted(slices.Values(demands))
	for i, one := range demands {
		if share := capacity / float64(len(demands)-i); one > share {
			return share
		}
		capacity -= one
	}
	return math.Inf(1)
}

// minimumRate returns the starts per second that a class gets at least.
func (v *capacityView) minimumRate(c *classView) float64 {
	return v.minFraction * v.served * c.arrivals
}

// owed returns the class that is owed a start for its minimum share, with the longest claim if there
// are several; skipped classes are left out. It is -1 if none is.
func (v *capacityView) owed(skipped []int) int {
	best, longest := -1, 0.0
	for i := range v.classes {
		c := &v.classes[i]
		if c.credit < 1 || c.waiting+c.late == 0 || slices.Contains(skipped, c.tier) {
			continue
		}
		if claim := c.credit / max(v.minimumRate(c), minClaimRate); claim > longest {
			best, longest = c.tier, claim
		}
	}
	return best
}

// minClaimRate bounds the claim of a rank with hardly any calls.
const minClaimRate = 0.01

// class returns the state of a class; nil if it is unknown.
func (v *capacityView) class(tier int) *classView {
	i, ok := slices.BinarySearchFunc(v.classes, tier, func(c classView, tier int) int { return c.tier - tier })
	if !ok {
		return nil
	}
	return &v.classes[i]
}

// remove counts a call of a tier as no longer waiting.
func (v *capacityView) remove(tier int) {
	if c := v.class(onTimeTier(tier)); c == nil {
		return
	} else if isLateTier(tier) {
		c.late--
	} else {
		c.waiting--
	}
}

// lateTier returns the tier of the late calls of a class.
func lateTier(tier int) int { return tier + routeSteps }

// onTimeTier returns the tier of a class for one of its two tiers.
func onTimeTier(tier int) int {
	if isLateTier(tier) {
		return tier - routeSteps
	}
	return tier
}
