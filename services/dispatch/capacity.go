package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// flowSpan is the time constant of measured rates: many times the interval between calls of a loaded
	// service, and short enough to follow a burst before many calls have waited in vain.
	flowSpan = 500 * time.Millisecond
	// minFlowAge bounds the age of a rate that has just begun to be measured.
	minFlowAge = 200 * time.Millisecond
	// idleAfter is how long after its last call a customer is forgotten: its rate is below a hundredth
	// then.
	idleAfter = 5 * flowSpan
	// minEnds is the number of ends within flowSpan from which their rate is used: its standard error is
	// about a fifth then.
	minEnds = 20
	// heldWeight is the weight of the newest call in the mean time for which calls of a route rank hold
	// their slots. It averages over some fifty calls.
	heldWeight = 0.02
)

// flow measures a rate with exponentially decaying weights.
type flow struct {
	count          float64
	since, updated time.Time
}

func (f *flow) add(now time.Time, n float64) {
	if f.since.IsZero() {
		f.since = now
	}
	f.count = f.at(now) + n
	f.updated = now
}

// at returns the decayed count.
func (f *flow) at(now time.Time) float64 {
	return f.count * math.Exp(-float64(now.Sub(f.updated))/float64(flowSpan))
}

// perSecond returns the rate; 0 before the first event.
func (f *flow) perSecond(now time.Time) float64 {
	if f.since.IsZero() {
		return 0
	}
	age := float64(max(now.Sub(f.since), minFlowAge)) / float64(flowSpan)
	return f.at(now) / (flowSpan.Seconds() * (1 - math.Exp(-age)))
}

// capacity measures how fast slots of a service become free, and what is demanded of it.
type capacity struct {
	// ends, arrivals and starts count calls of all ranks.
	ends, arrivals, starts flow
	// held is the mean time in seconds for which calls hold their slots, and running the number of
	// calls that hold one, by route rank.
	held    map[int]*average
	running map[int]int
	// heldByAll is the mean over all route ranks.
	heldByAll average
	// classes is keyed by the tier of the calls that can still be on time.
	classes map[int]*classLoad
	// waitingSince is since when calls wait without a break; zero if none does.
	waitingSince time.Time
}

// classLoad is the demand of one class.
type classLoad struct {
	arrivals flow
	credit   float64
	// customers holds the cost of the calls that arrive, by customer.
	customers map[string]*flow
}

// demands returns the cost of the calls that arrive per second from each customer.
func (c *classLoad) demands(now time.Time) []float64 {
	out := make([]float64, 0, len(c.customers))
	for name, one := range c.customers {
		if now.Sub(one.updated) > idleAfter {
			delete(c.customers, name)
			continue
		}
		out = append(out, one.perSecond(now))
	}
	return out
}

// meanCost returns the mean cost of the calls that arrive.
func (c *classLoad) meanCost(now time.Time) float64 {
	rate := c.arrivals.perSecond(now)
	if rate == 0 {
		return 0
	}
	sum := 0.0
	for _, one := range c.demands(now) {
		sum += one
	}
	return sum / rate
}

// recordArrival counts an arriving call of a class. Like each call, it adds to the starts that the class is
// owed for its minimum share.
func (c *capacity) recordArrival(now time.Time, tier int, minFraction float64) {
	if c.classes == nil {
		c.classes = make(map[int]*classLoad)
	}
	one := c.classes[tier]
	if one == nil {
		one = &classLoad{customers: make(map[string]*flow)}
		c.classes[tier] = one
	}
	c.arrivals.add(now, 1)
	one.arrivals.add(now, 1)
	share := minFraction * c.servedFraction(now)
	one.credit = min(one.credit+share, 1+maxCreditSeconds*share*one.arrivals.perSecond(now))
}

// recordCost adds the cost of an arrived call to what its customer demands of the class.
func (c *capacity) recordCost(now time.Time, tier int, customer string, cost float64) {
	one := c.classes[tier]
	by := one.customers[customer]
	if by == nil {
		by = &flow{}
		one.customers[customer] = by
	}
	by.add(now, cost)
}

// recordStart counts a started call of a class.
func (c *capacity) recordStart(now time.Time, tier int, minFraction float64) {
	c.starts.add(now, 1)
	if one := c.classes[tier]; one != nil {
		share := minFraction * c.servedFraction(now)
		one.credit = max(one.credit-1, -maxCreditSeconds*share*one.arrivals.perSecond(now))
	}
}

// anyOwed reports whether any class may be owed a start.
func (c *capacity) anyOwed() bool {
	for _, one := range c.classes {
		if one.credit >= 1 {
			return true
		}
	}
	return false
}

// recordHold counts a slot that is taken by a call of a route rank.
func (c *capacity) recordHold(routeRank int) {
	if c.running == nil {
		c.running = make(map[int]int)
	}
	c.running[routeRank]++
}

// recordEnd counts a slot that a call of a route rank releases, which it took at began.
func (c *capacity) recordEnd(now time.Time, routeRank int, began time.Time) {
	if c.running[routeRank] > 0 {
		c.running[routeRank]--
	}
	if c.held == nil {
		c.held = make(map[int]*average)
	}
	one := c.held[routeRank]
	if one == nil {
		one = new(average)
		c.held[routeRank] = one
	}
	seconds := now.Sub(began).Seconds()
	one.add(seconds, heldWeight)
	c.heldByAll.add(seconds, heldWeight)
	c.ends.add(now, 1)
}

// servedFraction returns the fraction of the calls that arrived recently that started.
func (c *capacity) servedFraction(now time.Time) float64 {
	arrivals := c.arrivals.perSecond(now)
	if arrivals == 0 {
		return 1
	}
	return min(c.starts.perSecond(now)/arrivals, 1)
}

// slotRate returns how many slots become free per second while calls wait; 0 if that is unknown.
// It is the measured rate once calls have waited for flowSpan. Before, fewer slots became free than
// would under load, and the rate follows from the running calls and for how long their route ranks
// hold slots. peerCalls are running calls that other entries count.
func (c *capacity) slotRate(now time.Time, peerCalls int) float64 {
	if !c.waitingSince.IsZero() && now.Sub(c.waitingSince) >= flowSpan && c.ends.at(now) >= minEnds {
		return c.ends.perSecond(now)
	}
	if c.heldByAll == 0 {
		return 0
	}
	rate := float64(peerCalls) / float64(c.heldByAll)
	for rank, n := range c.running {
		mean := c.heldByAll
		if one := c.held[rank]; one != nil {
			mean = *one
		}
		if mean > 0 {
			rate += float64(n) / float64(mean)
		}
	}
	return rate
}

// noteWaiting records whether calls wait.
func (c *capacity) noteWaiting(now time.Time, waiting bool) {
	switch {
	case !waiting:
		c.waitingSince = time.Time{}
	case c.waitingSince.IsZero():
		c.waitingSince = now
	}
}

// schedules reports whether this entry schedules the service for other entries, and slots rather
// than rate limits or back-offs decide when calls start. Only then does its queue hold the calls of
// the whole service.
func (s *service) schedules(now time.Time) bool {
	return s.grantsToOthers(now) && !s.throttled(now)
}

// isShared reports whether one entry schedules the service as a rule: this one, or another one that may
// just have been lost.
func (s *service) isShared(now time.Time) bool {
	return s.grantsToOthers(now) || !s.sharedAt.IsZero() && now.Sub(s.sharedAt) <= grantingTime
}

// minFraction returns how often a rank with waiting calls is served at least, relative to all calls. A
// lost scheduler must not leave the lowest rank with less until its successor is asked.
func (s *service) minFraction(now time.Time) float64 {
	if s.isShared(now) {
		return minServedFraction
	}
	return minLocalFraction
}

// capacityView returns what admission knows of the service.
func (s *service) capacityView(now time.Time) *capacityView {
	peerCalls := 0
	for _, one := range s.servers {
		peerCalls += one.peerCalls
	}
	v := &capacityView{
		rate: s.measured.slotRate(now, peerCalls), served: s.measured.servedFraction(now), minFraction: s.minFraction(now),
		classes: make([]classView, 0, len(s.measured.classes)),
	}
	for tier, one := range s.measured.classes {
		v.classes = append(v.classes, classView{tier: tier, arrivals: one.arrivals.perSecond(now), credit: one.credit})
	}
	s.queue.EachTier(func(tier, _ int) {
		if s.measured.classes[onTimeTier(tier)] == nil {
			v.classes = append(v.classes, classView{tier: onTimeTier(tier)})
		}
	})
	slices.SortFunc(v.classes, func(a, b classView) int { return cmp.Compare(a.tier, b.tier) })
	v.classes = slices.CompactFunc(v.classes, func(a, b classView) bool { return a.tier == b.tier })
	s.queue.EachTier(func(tier, waiting int) {
		c := v.class(onTimeTier(tier))
		if isLateTier(tier) {
			c.late = waiting
		} else {
			c.waiting = waiting
		}
	})
	return v
}
