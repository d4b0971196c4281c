package dispatch

import (
	"math"
	"time"
)

// throttled reports whether the server's rate limit or back-off forbids sending a call now.
func (s *server) throttled(now time.Time) bool {
	return !s.limit.Admits(now) || s.backoff.active(now)
}

// throttled reports whether all servers that calls of the service may be sent to have a rate
// limit or a back-off. These determine when calls start then, and not the durations of calls.
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

// throttledStart returns in how many seconds a call with the given number of calls ahead of it
// starts at this entry if all servers are throttled; +Inf if this entry has no share of any
// limit and cannot expect permits of another entry.
func (s *service) throttledStart(now time.Time, share float64, ahead int) float64 {
	soonest, rate, transferable := math.Inf(1), 0.0, false
	for _, one := range s.servers {
		if one.Draining {
			continue
		}
		soonest = min(soonest, max(one.limit.Wait(now), one.backoff.wait(now)))
		rate += one.limit.Share().PerSecond
		transferable = transferable || !one.backoff.active(now)
	}
	if transferable && s.permitRequests.likely(now, ahead) {
		return 0
	}
	if received := s.permitRequests.receivedRate(now); transferable && received > 0 {
		rate += received
		soonest = min(soonest, 1/received)
	}
	if rate *= share; ahead == 0 || rate == 0 {
		return soonest
	}
	return soonest + float64(ahead)/rate
}

// BackoffRemaining returns the time until the first back-off ends if all servers that calls of
// the service may be sent to are in a back-off, or else 0.
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
