package forward

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
)

// ask says what the call wants of the dispatcher. An answer that broke off asks with the
// pause that its caller allows as its target.
func (c *call) ask() *dispatch.Request {
	target := c.deadline
	switch {
	case !c.lastEvent.IsZero():
		target = c.lastEvent.Add(c.route.MaxGap)
	case c.route.Target > 0:
		target = c.in.Received.Add(c.route.Target)
	}
	return &dispatch.Request{
		ID: c.in.ID, Service: c.service, Rank: c.rank, RouteRank: c.route.Rank, Customer: c.customerName(),
		PromptTokens: c.in.PromptTokens, MaxTokens: c.in.MaxTokens, ExpectedTokens: c.in.ExpectedTokens,
		Resumed: !c.lastEvent.IsZero(), Retry: c.ran > 0, MaxGap: c.route.MaxGap, Target: target, CallerTimeout: c.patience(), Deadline: c.deadline, Exclude: slices.Clone(c.tried),
	}
}

// patience is when a caller leaves that saw nothing of a stream; zero for calls
// that are no stream.
func (c *call) patience() time.Time {
	if c.route.Kind != runworks.CallStream {
		return time.Time{}
	}
	gap := max(minPatience, targetPatience*c.route.Target, gapPatience*c.route.MaxGap)
	if !c.lastEvent.IsZero() {
		return c.lastEvent.Add(gap)
	}
	return c.in.Received.Add(gap)
}
