package forward

import (
	"math/rand/v2"
	"time"
)

// When callers are told to come back.
const (
	// retryNotReady is about the time that an entry needs to read its state.
	retryNotReady = time.Second
	// retryNotReadySpread keeps those who came too early from coming back all at once.
	retryNotReadySpread = 300 * time.Millisecond
	// retryOpenSpread keeps those who are told when a limit opens, or a rest ends, from coming
	// back all in that moment: many times what entries need to hear of each other's calls.
	retryOpenSpread = 500 * time.Millisecond
	// retryShort and retrySpread bound the wait after a shortage: a burst lasts a
	// few seconds, and those who come back must not make the next one.
	retryShort  = 1500 * time.Millisecond
	retrySpread = 2500 * time.Millisecond
	// retryPart is the part of a caller's time left, as a divisor, that it waits
	// before it comes back.
	retryPart = 3
	// retryTurnedAway is some times the time in which a slot becomes free.
	retryTurnedAway = 200 * time.Millisecond
)

// retryAfter is when a caller is to come back that found all servers taken: after
// some bursts' length, spread, and inside the part of its time that it will wait. One whose
// time is over comes back with another call.
func (c *call) retryAfter() time.Duration {
	wait := retryShort + rand.N(retrySpread)
	if part := time.Until(c.deadline) / retryPart; part > 0 {
		wait = min(wait, part)
	}
	return c.restOr(wait)
}

// restOr is when a caller is to come back if all servers rest, and else what is given: before
// the first of them takes calls it would find none, and all at once would find it full.
func (c *call) restOr(otherwise time.Duration) time.Duration {
	if rests := c.f.Dispatcher.BackoffRemaining(c.service); rests > 0 {
		return rests + rand.N(retryOpenSpread)
	}
	return otherwise
}
