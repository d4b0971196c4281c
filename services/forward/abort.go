package forward

import (
	"context"
	"time"

	"github.com/runworks/runworks"
)

const (
	// maxLate is the fraction of a route's calls that may take longer than what is left before a stop for
	// one that can't be repeated to be sent: its caller loses more by a 502 than by a retry at another entry.
	maxLate = 0.125
	// maxLateRepeatable is that of one that can be repeated, or resumed.
	maxLateRepeatable = 0.5
)

// StopAt has calls rejected as not run that are not likely to end before t, at which AbortPending is
// called.
func (f *Forwarder) StopAt(t time.Time) { f.stopAt.Store(&t) }

// checkStop returns ErrStopping if the call, sent now, is not likely to end before the stop. One whose time
// is over sooner gets the same answer as without a stop.
func (c *call) checkStop() error {
	stopAt := c.f.stopAt.Load()
	if stopAt == nil || c.ran > 0 || c.deadline.Before(*stopAt) {
		return nil
	}
	assumed, allowed := unknownDuration, maxLate
	if c.route.Target > 0 {
		assumed = c.route.Target
	}
	if c.repeatable() {
		allowed = maxLateRepeatable
	}
	if c.f.durations.late(durationKey{c.route.Name, c.service}, c.work(), assumed, time.Until(*stopAt)) > allowed {
		return runworks.ErrStopping
	}
	return nil
}

// AbortPending ends all calls whose callers have nothing of a response, near the end of a planned stop.
// Each gets a final response, where the exit of the process would only close its connection. Responses
// of which callers have a part continue.
func (f *Forwarder) AbortPending() {
	f.initAbort()
	f.abort()
}

func (f *Forwarder) initAbort() {
	f.abortOnce.Do(func() { f.abortCtx, f.abort = context.WithCancel(context.Background()) })
}

// withAbort returns a context that AbortPending cancels, unless detach has been called before.
func (f *Forwarder) withAbort(ctx context.Context) (out context.Context, detach func() bool, cancel context.CancelFunc) {
	f.initAbort()
	out, abort := context.WithCancelCause(ctx)
	detach = context.AfterFunc(f.abortCtx, func() { abort(runworks.ErrStopping) })
	return out, detach, func() {
		detach()
		abort(nil)
	}
}

// abortCause returns why the call is aborted; nil if it is not.
func (c *call) abortCause(ctx context.Context) error {
	if c.f.abortCtx.Err() != nil {
		return runworks.ErrStopping
	}
	return context.Cause(ctx)
}

// beginResponse records that the caller gets the first bytes of the response: AbortPending no longer ends
// the call.
func (c *call) beginResponse() {
	if c.detach != nil {
		c.detach()
		c.detach = nil
	}
}
