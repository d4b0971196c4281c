package forward

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
)

// dispatchRequest returns the call's request to the dispatcher. A resumed stream has the route's
// longest pause, counted from the last event, as its target.
func (c *call) dispatchRequest() *dispatch.Request {
	target := c.deadline
	switch {
	case !c.lastEvent.IsZero():
		target = c.lastEvent.Add(c.route.MaxGap)
	case c.route.Target > 0:
		target = c.in.Received.Add(c.route.Target)
	}
	return &dispatch.Request{
		ID: c.in.ID, Service: c.service, Route: c.route.Name, Rank: c.rank, RouteRank: c.route.Rank, Customer: c.customerName(),
		PromptTokens: c.in.PromptTokens, MaxTokens: c.in.MaxTokens, ExpectedTokens: c.in.ExpectedTokens,
		Resumed: c.resumed(), Retry: c.ran > 0, MaxGap: c.route.MaxGap, Target: target, CallerTimeout: c.callerTimeout(), Deadline: c.deadline, Exclude: slices.Clone(c.tried),
		Version: c.origin.Version, AllowsHall: c.allowsHall(),
	}
}

// callerTimeout returns when a caller that has received nothing new of its stream is expected to
// disconnect; zero for calls that are not streams.
func (c *call) callerTimeout() time.Time {
	if c.route.Kind != runworks.CallStream {
		return time.Time{}
	}
	wait := max(minCallerTimeout, callerTimeoutTargets*c.route.Target, callerTimeoutGaps*c.route.MaxGap)
	if !c.lastEvent.IsZero() {
		return c.lastEvent.Add(wait)
	}
	return c.in.Received.Add(wait)
}

// allowsHall returns the function that reports whether the call may run in a hall, or nil if it may
// in all: both the route and the customer may be bound to regions.
func (c *call) allowsHall() func(hall string) bool {
	var customer []string
	if c.customer != nil {
		customer = c.customer.Regions
	}
	if len(c.route.Regions)+len(customer) == 0 {
		return nil
	}
	return func(hall string) bool {
		region, ok := c.f.Regions[hall]
		return ok && inRegions(c.route.Regions, region) && inRegions(customer, region)
	}
}

// inRegions reports whether a region is one of list; an empty list means all.
func inRegions(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}
