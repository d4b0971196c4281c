package forward

import (
	"time"

	"github.com/runworks/runworks"
)

// AddSuspension notes that the host was suspended for so long: callers waited meanwhile, and the time
// that they have left is shorter than the steady clock says.
func (f *Forwarder) AddSuspension(d time.Duration) { f.suspended.Add(int64(d)) }

// left is how long the call's caller waits for it from now on.
func (c *call) left() time.Duration {
	return time.Until(c.deadline) - time.Duration(c.f.suspended.Load()-c.suspended)
}

// late gives an error if the call's time is over though its timer does not say so: a server
// must not be given time that its caller does not have.
func (c *call) late() error {
	if c.left() <= 0 {
		return runworks.ErrTimeLimit
	}
	return nil
}
