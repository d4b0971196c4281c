package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/returns"
)

// Retry-After estimates.
const (
	// retryNotReady is about the time that an entry needs to read its state.
	retryNotReady = time.Second
	// retryNotReadySpread spreads the retries of callers that came before the entry was ready.
	retryNotReadySpread = 300 * time.Millisecond
	// retryKnownTimeSpread spreads the retries of callers that are given the time at which a limit
	// opens or a back-off ends. It is many times what entries need to learn of each other's calls.
	retryKnownTimeSpread = 500 * time.Millisecond
	// retryNoCapacity and retryNoCapacitySpread bound the wait after a call found no capacity: a
	// burst lasts a few seconds, and the retries must not form the next one.
	retryNoCapacity       = 1500 * time.Millisecond
	retryNoCapacitySpread = 2500 * time.Millisecond
	// retryTimeLeftDivisor bounds that wait to a fraction of the caller's time left.
	retryTimeLeftDivisor = 3
	// retryRejected is several times the time in which a slot becomes free.
	retryRejected = 200 * time.Millisecond
)

// retryAfter returns the Retry-After estimate for a call that found no capacity: the length of a
// burst, spread, and at most a fraction of the caller's time left, unless the refusal states a time.
// A caller whose time is over retries with a new call, so the bound does not apply.
func (c *call) retryAfter(err error) time.Duration {
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		c.retryBasis = refusal.Basis
		return refusal.RetryAfter
	}
	wait := retryNoCapacity + rand.N(retryNoCapacitySpread)
	if bound := time.Until(c.deadline) / retryTimeLeftDivisor; bound > 0 {
		wait = min(wait, bound)
	}
	if wait := c.backoffOr(0); wait > 0 {
		return wait
	}
	c.retryBasis = string(returns.Spread)
	return wait
}

// backoffOr returns the time until the first server's back-off ends, spread, if all servers have
// one, and otherwise the given estimate. A caller that retried sooner would find no server, and all
// of them at once would find the first one full.
func (c *call) backoffOr(estimate time.Duration) time.Duration {
	if wait := c.f.Dispatcher.BackoffRemaining(c.service); wait > 0 {
		return wait + rand.N(retryKnownTimeSpread)
	}
	return estimate
}
