package entry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The retry budget: each request adds retryRatio of a retry, up to maxRetries, so
// that retries stay a small fraction of the load however many calls fail.
const (
	retryRatio = 0.1
	maxRetries = 10.0
)

const (
	minRetryWait = 10 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
)

// newBackoff returns the jittered waits between placements.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryWait
	b.MaxInterval = maxRetryWait
	return b
}
