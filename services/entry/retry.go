package entry

import (
	"sync"
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

// budget bounds retries of calls that may have run; the zero value is ready.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryEarned, retryMost)
}

// spend takes one retry from the budget, if there is one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// newBackoff gives jittered waits between placements.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetryWait
	b.MaxInterval = lastRetryWait
	return b
}
