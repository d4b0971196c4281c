package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// share is this entry's part of the limits: one of n entries, the index-th.
type share struct {
	n     int
	index int
}

// shares gives this entry's part, by the live entries of the host list.
func (a *Admission) shares() share {
	entries := a.Entries()
	index := slices.Index(entries, a.Name)
	if index < 0 {
		return share{n: len(entries) + 1, index: len(entries)}
	}
	return share{n: len(entries), index: index}
}

// whole splits a whole number so that the parts of all entries add up to it.
func (s share) whole(total int) int {
	part := total / s.n
	if s.index < total%s.n {
		part++
	}
	return part
}

// limits holds the customers' rates and requests at once, at this entry.
type limits struct {
	mu        sync.Mutex
	customers map[string]*limit
}

type limit struct {
	rate   *rate.Limiter
	atOnce int
}

// take counts a request in, or gives the failure of a limit that is reached.
func (l *limits) take(now time.Time, customer *runworks.Customer, s share) (func(), *runworks.Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.of(customer.Name)
	if customer.Concurrency > 0 && one.atOnce >= s.whole(customer.Concurrency) {
		return nil, runworks.NotRun(errorx.Decorate(runworks.ErrLimit, "%d requests at once", customer.Concurrency), time.Second)
	}
	if wait := one.wait(now, customer.RatePerSecond/float64(s.n)); wait > 0 {
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
		one = &limit{rate: rate.NewLimiter(rate.Inf, 1)}
		l.customers[name] = one
	}
	return one
}

// wait takes a request of the rate, or tells how long until there is one.
func (l *limit) wait(now time.Time, perSecond float64) time.Duration {
	if perSecond <= 0 {
		l.rate.SetLimitAt(now, rate.Inf)
		return 0
	}
	if l.rate.Limit() != rate.Limit(perSecond) {
		l.rate.SetLimitAt(now, rate.Limit(perSecond))
		l.rate.SetBurstAt(now, int(math.Ceil(perSecond)))
	}
	r := l.rate.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
