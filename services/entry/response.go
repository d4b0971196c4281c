package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/control"
)

// Response is the response to one request. Read returns io.EOF only after the
// complete response; any other error is a *runworks.Failure. The caller must
// close it.
type Response struct {
	// Head is the backend server's status and header.
	Head control.ReplyHead

	ctx      context.Context
	run      *grantedRun
	req      *runworks.Request
	link     *link
	retain   bool
	offset   int64
	res      *http.Response
	complete bool
	err      error

	reqCtx context.Context
	cancel context.CancelFunc
	closed sync.Once
}

// newResponse returns the response of a request that was granted to l.
func newResponse(ctx context.Context, run *grantedRun, l *link) *Response {
	return &Response{ctx: ctx, run: run, link: l}
}

// linkGrace is how long a stream continues after the control connection ended: an
// agent that stops as planned sends the rest of the response within this time.
const linkGrace = time.Second

// connect prepares a stream that is cancelled linkGrace after the control
// connection l ends: the heartbeat of l detects a frozen agent.
func (r *Response) connect(l *link) {
	r.closeStream()
	ctx, cancel := context.WithCancel(r.ctx)
	stop := context.AfterFunc(l.ctx, func() {
		timer := time.NewTimer(linkGrace)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			cancel()
		}
	})
	r.reqCtx = ctx
	r.cancel = func() {
		stop()
		cancel()
	}
}

// closeStream cancels the HTTP request and closes its body.
func (r *Response) closeStream() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	if r.res != nil {
		_ = r.res.Body.Close()
		r.res = nil
	}
}

// Read implements io.Reader. It resumes the stream after a disconnect.
func (r *Response) Read(p []byte) (int, error) {
	for {
		if r.err != nil {
			return 0, r.err
		}
		n, err := r.res.Body.Read(p)
		r.offset += int64(n)
		if err != nil {
			r.handleEnd(err)
		}
		if n > 0 {
			return n, nil
		}
	}
}

// handleEnd records whether the response is complete or failed, and resumes after
// a disconnect.
func (r *Response) handleEnd(err error) {
	if errors.Is(err, io.EOF) {
		switch runworks.Outcome(r.res.Trailer.Get(control.HeaderRunOutcome)) {
		case runworks.OutcomeDone:
			r.complete = true
			r.err = io.EOF
			return
		case runworks.OutcomeFailed:
			r.err = failed(errorx.Decorate(runworks.ErrBackend, "the answer broke off"))
			return
		}
	}
	if err := r.resume(); err != nil {
		r.err = r.finalFailure(err)
	}
}

// resume continues the same run at the current offset.
func (r *Response) resume() error {
	for {
		if r.ctx.Err() != nil {
			return r.unknown(context.Cause(r.ctx))
		}
		state, l := r.run.resolve(r.ctx)
		switch state {
		case control.StateTombstoned:
			return notDispatched("the agent has not run it")
		case control.StateRunning, control.StateEnded:
		default:
			return r.unknown(runworks.ErrOutcomeUnknown)
		}
		metrics.Count(r.run.entry.Metrics.Resumes)
		err := r.fetch(l)
		if !errors.Is(err, errDisconnected) {
			return err
		}
	}
}

// fetch requests the stream from the current offset.
func (r *Response) fetch(l *link) error {
	r.connect(l)
	req, err := http.NewRequestWithContext(r.reqCtx, http.MethodGet, r.url(l), nil)
	if err != nil {
		return r.unknown(errorx.Decorate(err, "build the fetch"))
	}
	return r.do(req)
}

func (r *Response) unknown(err error) error {
	return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
}

// finalFailure converts the last error into the Failure for the caller.
func (r *Response) finalFailure(err error) error {
	var failure *runworks.Failure
	if errors.As(err, &failure) {
		return r.withTimeLimit(failure)
	}
	var refusal *refusedRun
	if !errors.As(err, &refusal) {
		return r.unknown(err)
	}
	switch refusal.state {
	case control.StateEnded:
		return &runworks.Failure{Err: runworks.ErrAnswerGone, Outcome: runworks.OutcomeDone}
	case control.StateTombstoned:
		return notDispatched("the agent has not run it")
	}
	return r.unknown(runworks.ErrOutcomeUnknown)
}

// withTimeLimit reports ErrTimeLimit for a failure after the deadline, unless the
// request provably did not run.
func (r *Response) withTimeLimit(failure *runworks.Failure) error {
	late := !r.run.deadline.IsZero() && !time.Now().Before(r.run.deadline)
	if late && failure.Outcome != runworks.OutcomeNotRun {
		return &runworks.Failure{
			Err:     errorx.Decorate(runworks.ErrTimeLimit, "%v", failure.Err),
			Outcome: failure.Outcome, RetryAfter: retryAfterTimeout,
		}
	}
	return failure
}

// Complete reports whether the whole response was read.
func (r *Response) Complete() bool { return r.complete }

// Close releases the response. A request without an idempotency key is cancelled
// if its response was not read to the end.
func (r *Response) Close() {
	r.closed.Do(func() {
		r.abandon()
		if r.link != nil {
			r.run.entry.ungrant(r.link)
		}
		r.run.entry.countResponse(r)
	})
}

// abandon closes the stream, and cancels the run unless it is complete or a retry
// with the same key may read it.
func (r *Response) abandon() {
	r.closeStream()
	if r.complete || r.retain {
		return
	}
	r.run.entry.work.Go(r.cancelRun)
}

// cancelRun cancels the run at its agent, if the granted incarnation is connected.
func (r *Response) cancelRun() {
	l := r.run.link()
	if l == nil || l.incarnation != r.run.incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, r.url(l), nil)
	if err != nil {
		return
	}
	req.Header.Set(rpc.KeyHeader, r.run.entry.Keys.Primary())
	req.Header.Set(control.HeaderIncarnation, string(r.run.incarnation))
	if res, err := r.run.entry.client.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// countResponse updates the counters when a response is closed.
func (e *Entry) countResponse(r *Response) {
	defer e.finish(r.req.Tier, true)
	outcome := runworks.OutcomeDone
	if !r.complete {
		outcome = runworks.OutcomeFailed
	}
	metrics.Count(e.Metrics.Requests, metrics.Tier(r.req.Tier), metrics.Result(string(outcome)))
	if r.complete && time.Now().Before(r.req.Deadline) {
		metrics.Count(e.Metrics.Goodput, metrics.Tier(r.req.Tier))
	}
}
