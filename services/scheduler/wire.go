package scheduler

import (
	"errors"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
	"github.com/runworks/runworks/services/returns"
)

const (
	// maxTimeLeft bounds the times in a message: the longest calls take hours.
	maxTimeLeft = 24 * time.Hour
	// maxExcluded bounds the servers that a request excludes: several times as many as a call tries.
	maxExcluded = 64
	// maxTokens bounds the sizes in a request: many times the longest context of a model.
	maxTokens = 1 << 30
	// maxRank bounds the ranks in a request: many times those of a deployment.
	maxRank = 1000
)

// resultNames are the names of the results on the wire.
var resultNames = [...]string{
	dispatch.Served: "served", dispatch.Rejected: "rejected", dispatch.Unreachable: "unreachable", dispatch.Interrupted: "interrupted",
	dispatch.AddressReused: "address_reused", dispatch.Abandoned: "abandoned", dispatch.Failed: "failed",
}

// resultOf returns the result with a name.
func resultOf(name string) (dispatch.Result, bool) {
	i := slices.Index(resultNames[:], name)
	return dispatch.Result(max(i, 0)), i >= 0
}

// encodeRequest returns the message for a request of an entry of the given hall.
func encodeRequest(now time.Time, req *dispatch.Request, hall string) *peers.AcquireRequest {
	out := &peers.AcquireRequest{
		ID: req.ID, Service: req.Service, Rank: req.Rank, RouteRank: req.RouteRank, Customer: req.Customer,
		PromptTokens: clampTokens(req.PromptTokens), MaxTokens: clampTokens(req.MaxTokens), ExpectedTokens: clampTokens(req.ExpectedTokens), Resumed: req.Resumed, Retry: req.Retry,
		Version: req.Version, Hall: hall, MaxGapMs: req.MaxGap.Milliseconds(), Exclude: req.Exclude,
		TargetMs: req.Target.Sub(now).Milliseconds(), DeadlineMs: max(req.Deadline.Sub(now).Milliseconds(), 1),
	}
	if !req.CallerTimeout.IsZero() {
		out.CallerMs = max(req.CallerTimeout.Sub(now).Milliseconds(), 1)
	}
	return out
}

// clampTokens bounds a number that a caller states, as the scheduler refuses implausible ones.
func clampTokens(n int) int { return min(max(n, 0), maxTokens) }

// decodeRequest returns the request of a message of an entry; ok is false if its numbers are
// implausible. The ID names the entry, as callers choose IDs and may repeat them at another one.
func decodeRequest(now time.Time, r *peers.AcquireRequest, from runworks.Incarnation) (req *dispatch.Request, ok bool) {
	limit := maxTimeLeft.Milliseconds()
	inRange := func(n, least, most int64) bool { return n >= least && n <= most }
	if r.ID == "" || r.Service == "" || len(r.Exclude) > maxExcluded ||
		!inRange(int64(r.Rank), 0, maxRank) || !inRange(int64(r.RouteRank), 0, maxRank) ||
		!inRange(int64(r.PromptTokens), 0, maxTokens) || !inRange(int64(r.MaxTokens), 0, maxTokens) || !inRange(int64(r.ExpectedTokens), 0, maxTokens) ||
		!inRange(r.MaxGapMs, 0, limit) || !inRange(r.TargetMs, -limit, limit) || !inRange(r.CallerMs, 0, limit) || !inRange(r.DeadlineMs, 1, limit) {
		return nil, false
	}
	left := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	req = &dispatch.Request{
		ID: runworks.RequestID(from) + "/" + r.ID, Service: r.Service, Rank: r.Rank, RouteRank: r.RouteRank, Customer: r.Customer,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, ExpectedTokens: r.ExpectedTokens, Resumed: r.Resumed, Retry: r.Retry,
		Version: r.Version, Hall: r.Hall, MaxGap: time.Duration(r.MaxGapMs) * time.Millisecond, Exclude: r.Exclude, Target: left(r.TargetMs), Deadline: left(r.DeadlineMs),
	}
	if r.CallerMs > 0 {
		req.CallerTimeout = left(r.CallerMs)
	}
	return req, true
}

// encodeRefusal returns the reply for an error of the dispatcher.
func encodeRefusal(err error) *peers.AcquireReply {
	out := &peers.AcquireReply{Refused: peers.RefusedNotScheduler, Cause: err.Error()}
	switch {
	case errors.Is(err, runworks.ErrShortage):
		out.Refused = peers.RefusedShortage
	case errors.Is(err, runworks.ErrNoServer):
		out.Refused = peers.RefusedNoServer
	case errors.Is(err, runworks.ErrTimeLimit):
		out.Refused = peers.RefusedTimeLimit
	}
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) {
		out.RetryAfterMs, out.RetryBasis = refusal.RetryAfter.Milliseconds(), refusal.Basis
	}
	return out
}

// decodeRefusal returns the error of a refusal that ends the call, or nil if the call continues at
// the local dispatcher. That knows best whether there is no server: the scheduler may have read an
// older list.
func decodeRefusal(reply *peers.AcquireReply) error {
	var err error
	switch reply.Refused {
	case peers.RefusedShortage:
		err = runworks.ErrShortage
	case peers.RefusedTimeLimit:
		err = runworks.ErrTimeLimit
	default:
		return nil
	}
	if reply.Cause != "" && reply.Cause != err.Error() {
		err = errorx.Decorate(err, "refused by the scheduler: %s", reply.Cause)
	}
	wait := time.Duration(reply.RetryAfterMs) * time.Millisecond
	if wait <= 0 || wait > maxTimeLeft {
		return err
	}
	return &dispatch.Refusal{Err: err, RetryAfter: wait, Basis: knownBasis(reply.RetryBasis)}
}

// knownBasis returns the basis of a retry time, or "scheduler" if this version does not know it: the
// basis is a label of a metric, whose values must be few.
func knownBasis(basis string) string {
	switch b := returns.Basis(basis); b {
	case returns.Queue, returns.Promised, returns.Spread:
		return basis
	}
	return "scheduler"
}
