package forward

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
)

// finish ends a call and writes its one line: what decided it, and how it ended.
func (c *call) finish(outcome runworks.Outcome, status int, err error) {
	c.f.active.Add(-1)
	if c.cancel != nil {
		c.cancel()
	}
	metrics.Count(c.f.Metrics.Requests, metrics.Rank(c.rank), metrics.Result(string(outcome)))
	fields := []any{
		"request", c.in.ID, "outcome", outcome, "status", status,
		"took_ms", time.Since(c.in.Received).Milliseconds(), "waited_ms", c.waited.Milliseconds(),
	}
	if c.table != nil {
		fields = append(fields, "routing_version", c.table.Routing.Version)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "service", c.service, "rank", c.rank, "route_rank", c.route.Rank,
			"target_ms", c.route.Target.Milliseconds(), "max_gap_ms", c.route.MaxGap.Milliseconds())
	}
	if c.customer != nil {
		fields = append(fields, "customer", c.customer.Name)
	}
	if c.verdict.Allowed > 0 {
		// What a call that passed was let through on: sums of these lines over all
		// entries show whether a limit held, and who knew of what.
		fields = append(fields, "limit_drawn", c.verdict.Debit.Tokens(), "limit_used", c.verdict.Consumed, "limit_held", c.verdict.Reserved, "limit_assumed", c.verdict.Assumed,
			"limit_allowed", c.verdict.Allowed, "limit_entries", c.verdict.OtherEntries)
	}
	if len(c.tried) > 0 {
		fields = append(fields, "servers", c.tried, "ran", c.ran)
	}
	if !c.firstByte.IsZero() {
		fields = append(fields, "first_byte_ms", c.firstByte.Sub(c.in.Received).Milliseconds(), "events", c.events,
			"longest_pause_ms", c.longestPause.Milliseconds())
	}
	if c.in.MaxTokens > 0 {
		fields = append(fields, "prompt_tokens", c.in.PromptTokens, "max_tokens", c.in.MaxTokens, "expected_tokens", c.in.ExpectedTokens, "subject", c.in.PromptPrefix)
	}
	if err != nil {
		fields = append(fields, "cause", err.Error())
	}
	c.f.Logger.Info("call ended", fields...)
}
