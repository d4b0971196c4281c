package forward

import (
	"time"

	"github.com/runworks/runworks"
)

// AddSuspension records that the host was suspended for d. Callers waited meanwhile, but the
// monotonic clock did not advance, so they have d less time left.
func (f *Forwarder) AddSuspension(d time.Duration) { f.suspended.Add(int64(d)) }

// timeLeft returns how much longer the caller waits for the call.
func (c *call) timeLeft() time.Duration {
	return time.Until(c.deadline) - time.Duration(c.f.suspended.Load()-c.suspendedBefore)
}

// checkTimeLeft returns an error if the call's time is over although its timer has not fired: a
// server must not be given time that the caller does not have.
func (c *call) checkTimeLeft() error {
	if c.timeLeft() <= 0 {
		return runworks.ErrTimeLimit
	}
	return nil
}
