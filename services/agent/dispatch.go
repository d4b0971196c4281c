package agent

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/eventstream"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/control"
)

const (
	// unreachablePeriod is how long reservations are refused after the backend server refused a
	// connection.
	unreachablePeriod = time.Second
	readBufferSize    = 32 << 10
	// maxResumes limits how often one response is resumed.
	maxResumes = 5
)

// withTrace returns a context that ends with the agent and carries the trace of ctx.
func (a *Agent) withTrace(ctx context.Context) context.Context {
	return trace.ContextWithSpanContext(a.ctx, trace.SpanContextFromContext(ctx))
}

// execute sends the call to the backend server once and buffers the response.
func (a *Agent) execute(ctx context.Context, r *run, backend runworks.Backend, call *runworks.Call) {
	a.claimSpan(ctx, r)
	ctx, span := a.Tracer.Start(ctx, tracing.SpanAgent, trace.WithAttributes(attribute.String("server", a.Server)))
	err := a.dispatch(ctx, r, backend, call)
	tracing.End(span, err)
	if ctx.Err() != nil {
		backend.Cancel(a.ctx, r.id)
	}
	if errors.Is(err, runworks.ErrNotDispatched) {
		a.notDispatched(r, err)
		return
	}
	a.finish(ctx, r, err)
}

// claimSpan records the time from the claim to the start in the request's trace.
func (a *Agent) claimSpan(ctx context.Context, r *run) {
	_, span := a.Tracer.Start(ctx, tracing.SpanClaim, trace.WithTimestamp(r.claimedAt))
	span.End()
}

// dispatch sends the call and copies the response into the run's buffer.
func (a *Agent) dispatch(ctx context.Context, r *run, backend runworks.Backend, call *runworks.Call) error {
	ctx, span := a.Tracer.Start(ctx, tracing.SpanBackend)
	defer span.End()
	if call.Header == nil {
		call.Header = make(map[string][]string)
	}
	call.Header[runworks.HeaderRank] = []string{strconv.Itoa(r.reservation.Tier)}
	tracing.Inject(ctx, propagation.HeaderCarrier(call.Header))
	metrics.Count(a.Metrics.Dispatches, metrics.Rank(r.reservation.Tier))
	reply, err := backend.Do(ctx, r.id, call)
	if err != nil {
		return err
	}
	a.setHead(r, &control.ReplyHead{Status: reply.Status, Header: reply.Header})
	return a.copyWithResume(ctx, r, backend, reply)
}

// copyWithResume copies the response. If it breaks off, it is resumed up to maxResumes times,
// so that the work which the engine has done for it is not lost. An end that is not known to be that of the
// response counts as a break: the rest, which may be empty, confirms it.
func (a *Agent) copyWithResume(ctx context.Context, r *run, backend runworks.Backend, reply *runworks.Reply) error {
	var events *eventstream.Tracker
	if eventstream.IsEventStream(reply.Header) {
		events = &eventstream.Tracker{}
	}
	body, from := reply.Body, int64(0)
	for resumes := 0; ; resumes++ {
		n, err := a.copyResponse(ctx, r, body, events)
		_ = body.Close()
		from += n
		if err == nil || ctx.Err() != nil {
			return err
		}
		if resumes == maxResumes {
			return errorx.Decorate(err, "picked up %d times", resumes)
		}
		reply, resumeErr := backend.Resume(ctx, r.id, from)
		if resumeErr != nil {
			a.Logger.Warn("response is incomplete", "server", a.Server, "request", r.id, "bytes", from, "error", err, "resume_error", resumeErr)
			return err
		}
		metrics.Count(a.Metrics.Resumes)
		body = reply.Body
	}
}

// copyResponse copies a response until it ends or breaks off and returns the number of bytes
// copied. events, unless nil, tracks the events of the whole response, across resumes: one that ends
// inside an event broke off, whatever its framing says.
func (a *Agent) copyResponse(ctx context.Context, r *run, body io.Reader, events *eventstream.Tracker) (copied int64, err error) {
	p := make([]byte, readBufferSize)
	for {
		n, err := body.Read(p)
		copied += int64(n)
		if events != nil {
			events.Track(p[:n])
		}
		if n > 0 {
			if werr := r.response.Write(ctx, p[:n]); werr != nil {
				return copied, errorx.Decorate(runworks.ErrBackend, "keep the answer: %v", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			if events != nil && events.InsideEvent() {
				return copied, errorx.Decorate(runworks.ErrBackend, "the stream ended inside an event")
			}
			return copied, nil
		}
		if err != nil {
			return copied, errorx.Decorate(runworks.ErrBackend, "read the answer: %v", err)
		}
	}
}

func (a *Agent) setHead(r *run, head *control.ReplyHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.head = head
	close(r.headReady)
}

// notDispatched marks a request that provably was not sent as not run, and refuses
// reservations for unreachablePeriod.
func (a *Agent) notDispatched(r *run, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.After(a.unreachableUntil) {
		a.Logger.Warn("backend server unreachable", "server", a.Server, "error", err)
	}
	a.unreachableUntil = now.Add(unreachablePeriod)
	r.state = control.StateTombstoned
	r.err = err
	r.endedAt = now
	close(r.headReady)
	r.response.Close(err)
	a.retainLocked(r)
	a.refuseAllLocked(control.RefusedDown)
	a.freeLocked(r)
}

// finish records the end of a run; err is nil if the response is complete.
func (a *Agent) finish(ctx context.Context, r *run, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		err = errorx.Decorate(ctx.Err(), "the run was cut: %v", err)
	}
	if err != nil {
		metrics.Add(a.Metrics.WastedTokens, r.reservation.PromptTokens, metrics.Rank(r.reservation.Tier))
	}
	r.state = control.StateEnded
	r.err = err
	r.endedAt = time.Now()
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		a.runTimes.add(r.reservation.Tier, r.reservation.Cost(), r.endedAt.Sub(r.startedAt))
	}
	if r.orphanTimer != nil {
		r.orphanTimer.Stop()
	}
	if r.head == nil {
		close(r.headReady)
	}
	r.response.Close(err)
	a.retainLocked(r)
	a.freeLocked(r)
}
