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

// held is for how much longer the call's request is kept from the servers; 0 if it is not.
// While no request is a suspect, nothing is reckoned.
func (c *call) held(now time.Time) time.Duration {
	if c.f.Quarantine.Empty() {
		return 0
	}
	return c.f.Quarantine.HeldFor(now, c.fingerprint())
}

// noteAnswered records that the call had a whole answer.
func (c *call) noteAnswered() {
	c.f.Quarantine.RecordAnswer(time.Now(), c.fingerprint())
}

// noteEnd looks whether the server that a call's answer was broken off by has ended, and
// puts the blame on the call if its run was fresh. First is when the server gave its first
// event, zero if none came.
func (c *call) noteEnd(ctx context.Context, server runworks.Instance, first time.Time) {
	if ctx.Err() != nil {
		return // the caller or the clock broke it off
	}
	fresh := first.IsZero() || time.Since(first) < freshRun
	end := &serverEnd{call: c, server: server, events: c.events, fresh: fresh, fingerprint: c.fingerprint()}
	if errors.Is(context.Cause(c.sending), errStartedAgain) {
		end.note()
		return
	}
	if fresh {
		c.f.Quarantine.RecordDisconnect(time.Now(), end.fingerprint, server.IncarnationID())
	}
	c.f.Sender.WatchExit(ctx, server, end.note)
}

// serverEnd is the end of a backend server under a call, as it was when the answer broke off.
type serverEnd struct {
	call        *call
	server      runworks.Instance
	events      int
	fresh       bool
	fingerprint runworks.Fingerprint
}

// note tells of the end, and puts the blame on the call.
func (e *serverEnd) note() {
	c := e.call
	metrics.Count(c.f.Metrics.ServerEnds, metrics.Rank(c.rank))
	c.f.Logger.Warn("backend server ended under a call", "server", e.server.IncarnationID(), "service", c.service, "request", c.in.ID,
		"fingerprint", e.fingerprint, "customer", c.customerName(), "events", e.events, "fresh", e.fresh)
	if e.fresh {
		c.f.Quarantine.AttributeExit(time.Now(), e.fingerprint, e.server.IncarnationID())
	}
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
