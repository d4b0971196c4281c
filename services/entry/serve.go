package entry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
)

const (
	// maxPlacements bounds the placements of one request. All but the last have
	// provably not run, or the request is repeatable.
	maxPlacements = 8
	// maxRuns bounds the placements that may have run, as the request may be what breaks the
	// backend servers.
	maxRuns = 3
)

// Serve runs a request and returns its response once the head is known. The caller
// reads and closes the response. The error is a *runworks.Failure.
func (e *Entry) Serve(ctx context.Context, req *runworks.Request) (*Response, error) {
	if err := e.begin(req.Tier); err != nil {
		return nil, runworks.NotRun(err, retryAfterUnreachable)
	}
	started := time.Now()
	resp, err := e.respond(ctx, req)
	if err != nil {
		e.finish(req.Tier, false)
		e.countFailure(req, err)
		return nil, err
	}
	resp.req = req
	e.markRunning(req.Tier)
	metrics.Observe(e.Metrics.FirstByteSeconds, time.Since(started).Seconds(), metrics.Tier(req.Tier))
	return resp, nil
}

func (e *Entry) respond(ctx context.Context, req *runworks.Request) (*Response, error) {
	if req.IdempotencyKey != "" {
		return e.serveKeyed(ctx, req)
	}
	return e.serveNew(ctx, req, nil)
}

// bind is called before a granted request is sent; if it returns false, the request
// must not run.
type bind func(ctx context.Context, p *pending) bool

// serveNew places and runs a request, and places it again while mayPlaceAgain
// permits.
func (e *Entry) serveNew(ctx context.Context, req *runworks.Request, bind bind) (*Response, error) {
	e.retries.Deposit()
	backoff := newBackoff()
	ran := 0
	for attempt := 1; ; attempt++ {
		resp, err := e.attempt(ctx, req, attempt, bind)
		if err == nil {
			return resp, nil
		}
		failure := asFailure(err)
		if failure.Outcome != runworks.OutcomeNotRun {
			ran++
		}
		if attempt == maxPlacements || ran == maxRuns || !e.mayPlaceAgain(req, failure) {
			return nil, failure
		}
		metrics.Count(e.Metrics.Retries, metrics.Result(string(failure.Outcome)))
		if !sleep(ctx, backoff.NextBackOff(), req.Deadline) {
			return nil, failure
		}
	}
}

// attempt places a request once and runs it at the agent that claimed it.
func (e *Entry) attempt(ctx context.Context, req *runworks.Request, attempt int, bind bind) (*Response, error) {
	p, failure := e.waitForGrant(ctx, req, attempt)
	if failure != nil {
		return nil, failure
	}
	if bind != nil && !bind(ctx, p) {
		e.releaseGrant(p)
		return nil, runworks.NotRun(runworks.ErrShortage, retryAfterUnreachable)
	}
	resp, err := e.run(ctx, p)
	if err != nil {
		e.ungrant(p.granted)
		return nil, err
	}
	return resp, nil
}

// waitForGrant places a request, in its own trace span.
func (e *Entry) waitForGrant(ctx context.Context, req *runworks.Request, attempt int) (*pending, *runworks.Failure) {
	spanCtx, span := e.Tracer.Start(ctx, tracing.SpanWait, trace.WithAttributes(attribute.Int("attempt", attempt)))
	defer span.End()
	started := time.Now()
	p, failure := e.place(spanCtx, req, attempt)
	if failure != nil {
		return nil, failure
	}
	metrics.Observe(e.Metrics.WaitSeconds, time.Since(started).Seconds(), metrics.Tier(req.Tier))
	return p, nil
}

// ungrant uncounts a granted request at its agent.
func (e *Entry) ungrant(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.granted--
}

// mayPlaceAgain reports whether a failed attempt may be followed by another: it
// provably did not run at the agent, or it is a repeatable plain call without a key
// and the retry budget allows it.
func (e *Entry) mayPlaceAgain(req *runworks.Request, failure *runworks.Failure) bool {
	if failure.Outcome == runworks.OutcomeNotRun {
		return errors.Is(failure, runworks.ErrNotDispatched)
	}
	return req.Kind == runworks.KindPlain && req.Repeatable && req.IdempotencyKey == "" && e.retries.TryWithdraw()
}

// countFailure counts a request that was abandoned or failed.
func (e *Entry) countFailure(req *runworks.Request, err error) {
	failure := asFailure(err)
	metrics.Count(e.Metrics.Requests, metrics.Tier(req.Tier), metrics.Result(string(failure.Outcome)))
}

// asFailure returns the Failure in err. Without one the outcome is unknown.
func asFailure(err error) *runworks.Failure {
	var failure *runworks.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
}

// sleep waits for d. It returns false if the deadline would pass or ctx is done.
func sleep(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Now().Add(d).After(deadline) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
