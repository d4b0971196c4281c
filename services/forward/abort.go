package forward

import (
	"context"

	"github.com/runworks/runworks"
)

// AbortPending ends all calls that have no answer yet, near the end of a planned stop: each
// gets a final one, where the end would cut its connection without a word. Answers that
// have begun go on.
func (f *Forwarder) AbortPending() {
	f.prepare()
	f.end()
}

func (f *Forwarder) prepare() {
	f.once.Do(func() { f.ending, f.end = context.WithCancel(context.Background()) })
}

// untilGivenUp gives a context that GiveUp ends, unless answered was called before.
func (f *Forwarder) untilGivenUp(ctx context.Context) (out context.Context, answered func() bool, cancel context.CancelFunc) {
	f.prepare()
	out, giveUp := context.WithCancelCause(ctx)
	answered = context.AfterFunc(f.ending, func() { giveUp(runworks.ErrStopping) })
	return out, answered, func() {
		answered()
		giveUp(nil)
	}
}

// over says why the call is given up on; nil if it is not.
func (c *call) over(ctx context.Context) error {
	if c.f.ending.Err() != nil {
		return runworks.ErrStopping
	}
	return context.Cause(ctx)
}
