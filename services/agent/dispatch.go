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
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/control"
)

const (
	// downFor is how long tickets are refused after the backend server refused
	// a connection.
	downFor   = time.Second
	readBytes = 32 << 10
	// maxResumes bounds how often one answer is picked up again.
	maxResumes = 5
)

// withTrace gives a context that lives as long as the agent and carries the
// trace of ctx.
func (a *Agent) withTrace(ctx context.Context) context.Context {
	return trace.ContextWithSpanContext(a.life, trace.SpanContextFromContext(ctx))
}

// execute calls the backend server once and keeps its answer.
func (a *Agent) execute(ctx context.Context, r *run, backend runworks.Backend, call *runworks.Call) {
	a.claimSpan(ctx, r)
	ctx, span := a.Tracer.Start(ctx, tracing.SpanAgent, trace.WithAttributes(attribute.String("server", a.Server)))
	err := a.dispatch(ctx, r, backend, call)
	tracing.End(span, err)
	if ctx.Err() != nil {
		backend.Cancel(a.life, r.id)
	}
	if errors.Is(err, runworks.ErrNotDispatched) {
		a.notDispatched(r, err)
		return
	}
	a.ended(ctx, r, err)
}

// claimSpan records the time from the claim to the start, in the request's trace.
func (a *Agent) claimSpan(ctx context.Context, r *run) {
	_, span := a.Tracer.Start(ctx, tracing.SpanClaim, trace.WithTimestamp(r.asked))
	span.End()
}

// dispatch sends the call and copies the answer into the run's buffer.
func (a *Agent) dispatch(ctx context.Context, r *run, backend runworks.Backend, call *runworks.Call) error {
	ctx, span := a.Tracer.Start(ctx, tracing.SpanBackend)
	defer span.End()
	if call.Header == nil {
		call.Header = make(map[string][]string)
	}
	call.Header[runworks.HeaderRank] = []string{strconv.Itoa(r.ticket.Tier)}
	tracing.Inject(ctx, propagation.HeaderCarrier(call.Header))
	metrics.Count(a.Metrics.Dispatches, metrics.Rank(r.ticket.Tier))
	reply, err := backend.Do(ctx, r.id, call)
	if err != nil {
		return err
	}
	a.setHead(r, &control.ReplyHead{Status: reply.Status, Header: reply.Header})
	return a.copyWhole(ctx, r, backend, reply.Body)
}

// copyWhole copies the answer, and resumes a few times where it breaks: the
// engine's work goes on instead of being thrown away.
func (a *Agent) copyWhole(ctx context.Context, r *run, backend runworks.Backend, body io.ReadCloser) error {
	from := int64(0)
	for resumes := 0; ; resumes++ {
		n, err := a.copyAnswer(ctx, r, body)
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
			return err
		}
		metrics.Count(a.Metrics.Resumes)
		body = reply.Body
	}
}

// copyAnswer copies an answer up to its end or break, and tells how much came.
func (a *Agent) copyAnswer(ctx context.Context, r *run, body io.Reader) (copied int64, err error) {
	p := make([]byte, readBytes)
	for {
		n, err := body.Read(p)
		copied += int64(n)
		if n > 0 {
			if werr := r.answer.Write(ctx, p[:n]); werr != nil {
				return copied, errorx.Decorate(runworks.ErrBackend, "keep the answer: %v", werr)
			}
		}
		if errors.Is(err, io.EOF) {
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
	close(r.headed)
}

// notDispatched takes a request back that provably never left, and refuses
// tickets for a moment.
func (a *Agent) notDispatched(r *run, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.After(a.downTo) {
		a.Logger.Warn("backend server out of reach", "server", a.Server, "error", err)
	}
	a.downTo = now.Add(downFor)
	r.state = control.StateTombstoned
	r.err = err
	r.ended = now
	close(r.headed)
	r.answer.Close(err)
	a.giveBackLocked(control.RefusedDown)
	a.freeLocked(r)
}

// ended records the end of a run; err is nil if its answer is whole.
func (a *Agent) ended(ctx context.Context, r *run, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		err = errorx.Decorate(ctx.Err(), "the run was cut: %v", err)
	}
	if err != nil {
		metrics.Add(a.Metrics.WastedTokens, r.ticket.PromptTokens, metrics.Rank(r.ticket.Tier))
	}
	r.state = control.StateEnded
	r.err = err
	r.ended = time.Now()
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		a.rates.learn(r.ticket.Tier, r.ticket.Cost(), r.ended.Sub(r.began))
	}
	if r.orphan != nil {
		r.orphan.Stop()
	}
	if r.head == nil {
		close(r.headed)
	}
	r.answer.Close(err)
	a.freeLocked(r)
}
