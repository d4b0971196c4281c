package forward

import (
	"context"
	"errors"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
)

// freshRun is how long after its first event an answer that breaks off may still speak
// against its call: a request that ends servers does so as its run begins, while one that
// has run for seconds only shared the server with it.
const freshRun = 500 * time.Millisecond

// noteEnd looks whether the server that a call's answer was broken off by has ended, and
// tells what the call was. First is when the server gave its first event, zero if none came.
func (c *call) noteEnd(ctx context.Context, server runworks.Instance, first time.Time) {
	if ctx.Err() != nil {
		return // the caller or the clock broke it off
	}
	if !errors.Is(context.Cause(c.sending), errStartedAgain) && !c.f.Sender.Ended(ctx, server) {
		return
	}
	metrics.Count(c.f.Metrics.ServerEnds, metrics.Rank(c.rank))
	fresh := first.IsZero() || time.Since(first) < freshRun
	c.f.Logger.Warn("backend server ended under a call", "server", server.Life(), "service", c.service, "request", c.in.ID,
		"fingerprint", c.fingerprint(), "customer", c.customerName(), "events", c.events, "fresh", fresh)
}

// fingerprint is the call's, reckoned when it is first asked for.
func (c *call) fingerprint() runworks.Fingerprint {
	if c.print == "" {
		c.print = c.in.Fingerprint(c.customerName())
	}
	return c.print
}

// customerName is who asks; empty if nobody is known.
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}
