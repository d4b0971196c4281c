package entry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The retry budget: each request earns a part of a retry, so that retries stay
// a small share of the load however many calls fail.
const (
	retryEarned = 0.1
	retryMost   = 10.0
)

const (
	firstRetryWait = 10 * time.Millisecond
	lastRetryWait  = 500 * time.Millisecond
)

// newBackoff gives jittered waits between placements.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetryWait
	b.MaxInterval = lastRetryWait
	return b
}
