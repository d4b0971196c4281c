package dispatch

import (
	"math"
	"time"
)

const (
	// useInterval is how long the sums of what customers consumed are used: the heartbeat interval
	// (package peers), at which the sums of other entries change.
	useInterval = 50 * time.Millisecond
	// maxBehind bounds how far behind a customer starts, as the time in which it would be served that
	// much at its fair share. Without a bound, a customer that used what others had left would get
	// nothing for seconds once they need it: up to a window times the ratio of its use to its share.
	maxBehind = time.Second
)

// recentUse caches what customers consumed recently.
type recentUse struct {
	tokens map[string]float64
	at     time.Time
}

// customerUseLocked returns what each customer consumed recently at all entries; nil if unknown.
func (d *Dispatcher) customerUseLocked(now time.Time) map[string]float64 {
	if d.CustomerUse == nil {
		return nil
	}
	if d.use.at.IsZero() || now.Sub(d.use.at) >= useInterval {
		d.use = recentUse{tokens: d.CustomerUse(now), at: now}
	}
	return d.use.tokens
}

// customerBehind returns the cost by which a customer starts behind the others in a tier in which none of
// its calls waits. Fair queueing knows what it served itself, and only while a customer waits. What a
// customer got before it became active, or from an earlier scheduler, is known from the use of
// limits: the customer starts behind by what it consumed beyond the mean of the active customers: those that
// consumed tokens in the window or sent calls of the class lately, itself included. It is served at once
// while no call of another customer waits, so that unused share goes to the others.
//
// The error is bounded. The sums are one heartbeat old, so a customer gains at most what it consumes
// in that time. An entry that restarted lacks at most one window, and only until it has read the
// state of another one. A customer without a limit counts as having consumed nothing. In each
// case the customer is served like the others from then on.
func (s *service) customerBehind(now time.Time, tier int, customer string) float64 {
	if s.use == nil || s.queue.Backlog(tier, customer) > 0 {
		return 0
	}
	use := s.use(now)
	if use[customer] == 0 {
		return 0
	}
	class := s.measured.classes[onTimeTier(tier)]
	if class == nil {
		return 0
	}
	sum, active := 0.0, len(use)
	for _, tokens := range use {
		sum += tokens
	}
	for other := range class.customers {
		if use[other] == 0 {
			active++
		}
	}
	v := s.capacityView(now)
	return behind(use[customer]-sum/float64(active), v.rankRate(onTimeTier(tier))*class.meanCost(now)/float64(active))
}

// behind returns the cost by which a customer starts behind if it consumed excess tokens beyond the mean
// and its fair share is share tokens per second.
func behind(excess, share float64) float64 {
	return math.Max(0, math.Min(excess, share*maxBehind.Seconds()))
}
