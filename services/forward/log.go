package forward

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
)

// finishFailed ends a call with a failure.
func (c *call) finishFailed(failure *runworks.Failure) {
	if failure.Outcome == runworks.OutcomeNotRun {
		c.retryTime = failure.RetryAfter
	}
	if c.retryTime > 0 && c.retryBasis != "" {
		metrics.Observe(c.f.Metrics.RetryAfterSeconds, c.retryTime.Seconds(), metrics.Rank(c.rank), metrics.Basis(c.retryBasis))
	}
	c.finish(failure.Outcome, 0, failure.Err)
}

// finish ends a call and writes its log line: what decided it, and how it ended.
func (c *call) finish(outcome runworks.Outcome, status int, err error) {
	c.f.active.Add(-1)
	if outcome == runworks.OutcomeDone {
		c.recordDuration()
	}
	if c.cancel != nil {
		c.cancel()
	}
	metrics.Count(c.f.Metrics.Requests, metrics.Rank(c.rank), metrics.Result(string(outcome)))
	c.countEnd(outcome)
	fields := []any{
		"request", c.in.ID, "outcome", outcome, "status", status,
		"took_ms", time.Since(c.in.Received).Milliseconds(), "unread_ms", c.in.Unread.Milliseconds(), "waited_ms", c.waited.Milliseconds(),
	}
	if c.table != nil {
		fields = append(fields, "routing_version", c.table.Routing.Version)
		fields = append(fields, c.newerRoutingFields()...)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "service", c.service, "rank", c.rank, "route_rank", c.route.Rank,
			"target_ms", c.route.Target.Milliseconds(), "max_gap_ms", c.route.MaxGap.Milliseconds())
	}
	if c.customer != nil {
		fields = append(fields, "customer", c.customer.Name)
	}
	if c.decision.Allowed > 0 {
		// The figures by which the limit admitted the call: summed over the lines of all entries,
		// they show whether a limit was kept and which entry knew what.
		fields = append(fields, "limit_drawn", c.decision.Debit.Tokens(), "limit_used", c.decision.Consumed, "limit_held", c.decision.Reserved, "limit_assumed", c.decision.Assumed,
			"limit_allowed", c.decision.Allowed, "limit_entries", c.decision.OtherEntries)
	}
	if len(c.tried) > 0 {
		fields = append(fields, "servers", c.tried, "ran", c.ran)
	}
	if !c.firstByte.IsZero() {
		fields = append(fields, "first_byte_ms", c.firstByte.Sub(c.in.Received).Milliseconds(), "events", c.events,
			"longest_pause_ms", c.longestPause.Milliseconds())
	}
	fields = append(fields, c.streamFields()...)
	if c.readerBlocked >= slowReaderAfter {
		fields = append(fields, "reader_blocked_ms", c.readerBlocked.Milliseconds())
	}
	fields = append(fields, c.firstEvent.logFields()...)
	if c.in.MaxTokens > 0 {
		fields = append(fields, "prompt_tokens", c.in.PromptTokens, "max_tokens", c.in.MaxTokens, "expected_tokens", c.in.ExpectedTokens, "subject", c.in.LastPart())
	}
	if c.retryTime > 0 {
		fields = append(fields, "retry_after_ms", c.retryTime.Milliseconds())
		if c.retryBasis != "" {
			fields = append(fields, "retry_basis", c.retryBasis)
		}
	}
	if err != nil {
		fields = append(fields, "cause", err.Error())
	}
	c.f.Logger.Info("call ended", fields...)
}

// newerRoutingFields returns the log fields of a call that arrived after another entry had reported a newer
// routing than the one that handled it.
func (c *call) newerRoutingFields() []any {
	if c.f.NewerRouting == nil {
		return nil
	}
	version, reported := c.f.NewerRouting()
	if version <= c.table.Routing.Version || !reported.Before(c.in.Received) {
		return nil
	}
	return []any{"newer_routing_version", version, "newer_routing_ms", c.in.Received.Sub(reported).Milliseconds()}
}

// streamFields returns the log fields that only streams, or responses that are cut, have.
func (c *call) streamFields() []any {
	var fields []any
	if c.in.LastEventID != "" {
		fields = append(fields, "resumes", c.in.Resumes, "caller_last_event", c.in.LastEventID)
	}
	if len(c.continuedAfter) > 0 {
		fields = append(fields, "continued_after", c.continuedAfter)
	}
	if len(c.versions) > 0 {
		fields = append(fields, "versions", c.versions)
	}
	if c.end.closeDelimited {
		fields = append(fields, "close_delimited", true)
		if c.end.server != nil {
			fields = append(fields, "server_at_end", c.end.server())
		}
	}
	if c.end.proof != "" {
		fields = append(fields, "end_proof", c.end.proof)
	}
	if c.unfinishedEvent > 0 {
		fields = append(fields, "unfinished_event_bytes", c.unfinishedEvent)
	}
	return fields
}
