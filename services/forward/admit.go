package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/route"
)

// admit finds the route, the customer and the service, and reserves tokens of the customer's limit.
func (c *call) admit(ctx context.Context) *runworks.Failure {
	now := time.Now()
	if c.table = c.f.Table.Load(); c.table == nil {
		return runworks.NotRun(runworks.ErrNotReady, retryNotReady)
	}
	var err error
	if c.route, err = c.table.Route(c.in.Host, c.in.Path); err != nil {
		return runworks.NotRun(err, 0)
	}
	if c.f.Stopping.Load() && c.route.Kind == runworks.CallStream {
		return runworks.NotRun(runworks.ErrStopping, retryRejected)
	}
	if c.customer, err = c.table.Customer(c.route, c.in.APIKey); err != nil {
		return runworks.NotRun(err, 0)
	}
	c.rank = c.route.Rank
	if wait := c.quarantinedFor(now); wait > 0 {
		metrics.Count(c.f.Metrics.Quarantined, metrics.Rank(c.rank))
		return runworks.NotRun(runworks.ErrQuarantined, wait)
	}
	c.service, c.deadline = route.PickService(c.route, c.streamID()), c.in.Received.Add(c.timeout())
	if err := c.checkStop(); err != nil {
		return runworks.NotRun(err, retryRejected)
	}
	if failure := c.resolveOrigin(ctx); failure != nil {
		return failure
	}
	if c.customer != nil {
		if c.customer.Rank != nil {
			c.rank = *c.customer.Rank
		}
		if failure := c.reserveTokens(now); failure != nil {
			return failure
		}
	}
	c.f.Budgets.RecordCall(c.service)
	return nil
}

// reserveTokens reserves the call's tokens of the customer's limit. The first send debits them.
func (c *call) reserveTokens(now time.Time) *runworks.Failure {
	tokens := c.in.Tokens(c.customer.TokensPerCall)
	v := c.f.Quota.Reserve(now, c.customer, tokens)
	switch {
	case v.NotReady:
		return runworks.NotRun(errorx.Decorate(runworks.ErrNotReady, "usage of the limit before the start is not known yet"), v.Wait+rand.N(retryNotReadySpread))
	case v.Wait > 0:
		return runworks.NotRun(errorx.Decorate(runworks.ErrLimit, "%.0f tokens requested; %.0f used, %.0f reserved and %.0f assumed of %.0f allowed, with reports of %d other entries",
			tokens, v.Consumed, v.Reserved, v.Assumed, v.Allowed, v.OtherEntries), v.Wait+rand.N(retryKnownTimeSpread))
	}
	c.decision = v
	return nil
}

// releaseTokens releases the tokens of a call that did not run.
func (c *call) releaseTokens(failure *runworks.Failure) {
	if failure.Outcome == runworks.OutcomeNotRun {
		c.decision.Debit.Refund()
	}
}

// timeout returns the most time that the call may take.
func (c *call) timeout() time.Duration {
	allowed := defaultTimeout
	if c.route.Timeout > 0 {
		allowed = c.route.Timeout
	}
	if c.in.Timeout > 0 {
		allowed = min(allowed, c.in.Timeout)
	}
	return allowed
}
