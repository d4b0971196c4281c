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

// maxPlacements bounds how often one request is placed; each placement but the
// last has provably not run, or may be repeated.
const maxPlacements = 8

// Serve takes a request through to the head of its answer. The error is a
// Failure. After an answer, the caller reads and closes it.
func (e *Entry) Serve(ctx context.Context, req *runworks.Request) (*Response, error) {
	if err := e.begin(req.Tier); err != nil {
		return nil, runworks.NotRun(err, retryWhenAway)
	}
	started := time.Now()
	answer, err := e.answer(ctx, req)
	if err != nil {
		e.finish(req.Tier, false)
		e.countFailure(req, err)
		return nil, err
	}
	answer.req = req
	e.answered(req.Tier)
	metrics.Observe(e.Metrics.FirstByteSeconds, time.Since(started).Seconds(), metrics.Tier(req.Tier))
	return answer, nil
}

func (e *Entry) answer(ctx context.Context, req *runworks.Request) (*Response, error) {
	if req.IdempotencyKey != "" {
		return e.serveKeyed(ctx, req)
	}
	return e.serveFresh(ctx, req, nil)
}

// bind is asked before a granted request is sent; false forbids it to run.
type bind func(ctx context.Context, p *pending) bool

// serveFresh places a request and runs it, and places it again while that is
// proved to be safe.
func (e *Entry) serveFresh(ctx context.Context, req *runworks.Request, bind bind) (*Response, error) {
	e.retries.Deposit()
	wait := newBackoff()
	for attempt := 1; ; attempt++ {
		answer, err := e.attempt(ctx, req, attempt, bind)
		if err == nil {
			return answer, nil
		}
		failure := asFailure(err)
		if attempt == maxPlacements || !e.mayPlaceAgain(req, failure) {
			return nil, failure
		}
		metrics.Count(e.Metrics.Retries, metrics.Result(string(failure.Outcome)))
		if !sleep(ctx, wait.NextBackOff(), req.Deadline) {
			return nil, failure
		}
	}
}

// attempt places a request once, and runs it where it was claimed.
func (e *Entry) attempt(ctx context.Context, req *runworks.Request, attempt int, bind bind) (*Response, error) {
	p, failure := e.waitForGrant(ctx, req, attempt)
	if failure != nil {
		return nil, failure
	}
	if bind != nil && !bind(ctx, p) {
		e.giveBack(p)
		return nil, runworks.NotRun(runworks.ErrShortage, retryWhenAway)
	}
	answer, err := e.run(ctx, p)
	if err != nil {
		e.ungrant(p.granted)
		return nil, err
	}
	return answer, nil
}

// waitForGrant places a request, in a span of its own.
func (e *Entry) waitForGrant(ctx context.Context, req *runworks.Request, attempt int) (*pending, *runworks.Failure) {
	spanCtx, span := e.Tracer.Start(ctx, tracing.SpanWait, trace.WithAttributes(attribute.Int("attempt", attempt)))
	defer span.End()
	began := time.Now()
	p, failure := e.place(spanCtx, req, attempt)
	if failure != nil {
		return nil, failure
	}
	metrics.Observe(e.Metrics.WaitSeconds, time.Since(began).Seconds(), metrics.Tier(req.Tier))
	return p, nil
}

// ungrant notes that a granted request no longer loads its agent.
func (e *Entry) ungrant(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.granted--
}

// mayPlaceAgain says whether a failed attempt may be followed by another: if it
// provably did not run at the agent, or if it is a repeatable plain call and the
// retry budget allows it.
func (e *Entry) mayPlaceAgain(req *runworks.Request, failure *runworks.Failure) bool {
	if failure.Outcome == runworks.OutcomeNotRun {
		return errors.Is(failure, runworks.ErrNotDispatched)
	}
	return req.Kind == runworks.KindPlain && req.Repeatable && req.IdempotencyKey == "" && e.retries.TryWithdraw()
}

// countFailure counts a request that was given up on or failed.
func (e *Entry) countFailure(req *runworks.Request, err error) {
	failure := asFailure(err)
	metrics.Count(e.Metrics.Requests, metrics.Tier(req.Tier), metrics.Result(string(failure.Outcome)))
}

// asFailure gives the failure in an error; an error without one proves nothing.
func asFailure(err error) *runworks.Failure {
	var failure *runworks.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
}

// sleep waits for d; false says that the request's time is over.
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
