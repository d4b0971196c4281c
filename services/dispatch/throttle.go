package dispatch

import (
	"math"
	"time"
)

// throttled says whether a server's own word keeps calls from it now.
func (s *server) throttled(now time.Time) bool {
	return !s.limit.Admits(now) || s.backoff.active(now)
}

// throttled says whether what all servers that calls of a service may go to say of themselves
// tells when calls start, and not how long calls keep their slots.
func (s *service) throttled(now time.Time) bool {
	n := 0
	for _, one := range s.servers {
		if one.Draining {
			continue
		}
		if !one.limit.Active(now) && !one.backoff.active(now) {
			return false
		}
		n++
	}
	return n > 0
}

// throttledStart is in how many seconds a call starts here that has so many ahead, where all
// servers have limits or rest; infinite if this entry has no part of any limit and is not
// likely to be lent one.
func (s *service) throttledStart(now time.Time, share float64, ahead int) float64 {
	soonest, rate, lends := math.Inf(1), 0.0, false
	for _, one := range s.servers {
		if one.Draining {
			continue
		}
		soonest = min(soonest, max(one.limit.Wait(now), one.backoff.wait(now)))
		rate += one.limit.Share().PerSecond
		lends = lends || !one.backoff.active(now)
	}
	if lends && s.permitRequests.likely(now, ahead) {
		return 0
	}
	if rate *= share; ahead == 0 || rate == 0 {
		return soonest
	}
	return soonest + float64(ahead)/rate
}

// BackoffRemaining is for how much longer all servers rest that a service's calls may go to; 0 if one
// does not.
func (d *Dispatcher) BackoffRemaining(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s.backoffRemaining(time.Now())
	}
	return 0
}

func (s *service) backoffRemaining(now time.Time) time.Duration {
	soonest := time.Duration(0)
	for _, one := range s.servers {
		if one.Draining {
			continue
		}
		if !one.backoff.active(now) {
			return 0
		}
		if left := one.backoff.until.Sub(now); soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}
