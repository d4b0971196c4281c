package admission

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// limits holds the customers' request rates and requests in flight at this entry.
type limits struct {
	mu        sync.Mutex
	customers map[string]*limit
}

// limit is what one customer uses here; rate is nil without a limit.
type limit struct {
	rate     *rate.Limiter
	inFlight int
}

// acquire counts a request, or returns the failure of the limit that is reached. The returned
// function ends it.
func (l *limits) acquire(now time.Time, customer *runworks.Customer, s share) (func(), *runworks.Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.none && (customer.Concurrency > 0 || customer.RatePerSecond > 0) {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrNotReady, "this entry has no share of the customers' limits yet"), time.Second)
	}
	one := l.get(customer.Name)
	if customer.Concurrency > 0 && one.inFlight >= s.splitInt(customer.Concurrency) {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrLimit, "%d requests at once", customer.Concurrency), time.Second)
	}
	if wait := one.reserve(now, s.splitRate(customer.RatePerSecond)); wait > 0 {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrLimit, "%g requests a second", customer.RatePerSecond), wait)
	}
	one.inFlight++
	return sync.OnceFunc(func() { l.release(one) }), nil
}

func (l *limits) release(one *limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one.inFlight--
}

func (l *limits) get(name string) *limit {
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

// reserve takes a permit for one request from the rate, or returns how long until there is one.
func (l *limit) reserve(now time.Time, perSecond float64) time.Duration {
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
