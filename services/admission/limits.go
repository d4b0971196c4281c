package admission

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// limits holds the customers' rates and requests at once, at this entry.
type limits struct {
	mu        sync.Mutex
	customers map[string]*limit
}

// limit is what one customer uses here; rate is nil without a limit.
type limit struct {
	rate   *rate.Limiter
	atOnce int
}

// take counts a request in, or gives the failure of a limit that is reached.
func (l *limits) take(now time.Time, customer *runworks.Customer, s share) (func(), *runworks.Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.none && (customer.Concurrency > 0 || customer.RatePerSecond > 0) {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrNotReady, "this entry has no share of the customers' limits yet"), time.Second)
	}
	one := l.of(customer.Name)
	if customer.Concurrency > 0 && one.atOnce >= s.whole(customer.Concurrency) {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrLimit, "%d requests at once", customer.Concurrency), time.Second)
	}
	if wait := one.wait(now, s.rate(customer.RatePerSecond)); wait > 0 {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrLimit, "%g requests a second", customer.RatePerSecond), wait)
	}
	one.atOnce++
	return sync.OnceFunc(func() { l.give(one) }), nil
}

func (l *limits) give(one *limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one.atOnce--
}

func (l *limits) of(name string) *limit {
	if l.customers == nil {
		l.customers = make(map[string]*limit)
	}
	one := l.customers[name]
	if one == nil {
		one = &limit{}
		l.customers[name] = one
	}
	return one
}

// wait takes a request of the rate, or tells how long until there is one.
func (l *limit) wait(now time.Time, perSecond float64) time.Duration {
	if perSecond <= 0 {
		l.rate = nil
		return 0
	}
	burst := int(math.Ceil(perSecond))
	switch {
	case l.rate == nil:
		l.rate = rate.NewLimiter(rate.Limit(perSecond), burst)
	case l.rate.Limit() != rate.Limit(perSecond):
		l.rate.SetLimitAt(now, rate.Limit(perSecond))
		l.rate.SetBurstAt(now, burst)
	}
	r := l.rate.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
