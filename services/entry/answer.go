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

// Response is the answer to one request. Read gives io.EOF only after the whole
// answer; any other end is a Failure. Close it.
type Response struct {
	// Head is the backend server's status and header.
	Head control.ReplyHead

	ctx    context.Context
	at     *runAt
	req    *runworks.Request
	link   *link
	keep   bool
	offset int64
	res    *http.Response
	whole  bool
	err    error

	reqCtx context.Context
	cancel context.CancelFunc
	closed sync.Once
}

// newAnswer begins the answer of a request that was granted to l.
func newAnswer(ctx context.Context, at *runAt, l *link) *Response {
	return &Response{ctx: ctx, at: at, link: l}
}

// afterLink is how long a stream goes on after the control connection it was
// begun beside has ended: an agent that stops as planned has sent the rest.
const afterLink = time.Second

// connect begins a stream that ends, a little later, with the control connection
// it was begun beside: a frozen agent is noticed there.
func (a *Response) connect(l *link) {
	a.drop()
	ctx, cancel := context.WithCancel(a.ctx)
	stop := context.AfterFunc(l.life, func() {
		timer := time.NewTimer(afterLink)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			cancel()
		}
	})
	a.reqCtx = ctx
	a.cancel = func() {
		stop()
		cancel()
	}
}

// drop lets go of the stream.
func (a *Response) drop() {
	if a.cancel != nil {
		a.cancel()
		a.cancel = nil
	}
	if a.res != nil {
		_ = a.res.Body.Close()
		a.res = nil
	}
}

// Read implements io.Reader, and resumes after a cut.
func (a *Response) Read(p []byte) (int, error) {
	for {
		if a.err != nil {
			return 0, a.err
		}
		n, err := a.res.Body.Read(p)
		a.offset += int64(n)
		if err != nil {
			a.atEnd(err)
		}
		if n > 0 {
			return n, nil
		}
	}
}

// atEnd tells a whole answer from a failed one and from a cut, which it resumes.
func (a *Response) atEnd(err error) {
	if errors.Is(err, io.EOF) {
		switch runworks.Outcome(a.res.Trailer.Get(control.HeaderRunOutcome)) {
		case runworks.OutcomeDone:
			a.whole = true
			a.err = io.EOF
			return
		case runworks.OutcomeFailed:
			a.err = failed(errorx.Decorate(runworks.ErrBackend, "the answer broke off"))
			return
		}
	}
	if err := a.resume(); err != nil {
		a.err = a.final(err)
	}
}

// resume goes on reading the same run at the offset reached.
func (a *Response) resume() error {
	for {
		if a.ctx.Err() != nil {
			return a.unknown(context.Cause(a.ctx))
		}
		state, l := a.at.fate(a.ctx)
		switch state {
		case control.StateTombstoned:
			return notDispatched("the agent has not run it")
		case control.StateRunning, control.StateEnded:
		default:
			return a.unknown(runworks.ErrOutcomeUnknown)
		}
		metrics.Count(a.at.entry.Metrics.Resumes)
		err := a.fetch(l)
		if !errors.Is(err, errCut) {
			return err
		}
	}
}

// fetch asks for the stream from the offset on.
func (a *Response) fetch(l *link) error {
	a.connect(l)
	req, err := http.NewRequestWithContext(a.reqCtx, http.MethodGet, a.url(l), nil)
	if err != nil {
		return a.unknown(errorx.Decorate(err, "build the fetch"))
	}
	return a.do(req)
}

func (a *Response) unknown(err error) error {
	return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
}

// final turns the last error into the failure that the caller is told.
func (a *Response) final(err error) error {
	var failure *runworks.Failure
	if errors.As(err, &failure) {
		return a.afterLimit(failure)
	}
	var refusal *refusedRun
	if !errors.As(err, &refusal) {
		return a.unknown(err)
	}
	switch refusal.state {
	case control.StateEnded:
		return &runworks.Failure{Err: runworks.ErrAnswerGone, Outcome: runworks.OutcomeDone}
	case control.StateTombstoned:
		return notDispatched("the agent has not run it")
	}
	return a.unknown(runworks.ErrOutcomeUnknown)
}

// afterLimit names the time limit as the cause of what ended because of it.
func (a *Response) afterLimit(failure *runworks.Failure) error {
	late := !a.at.deadline.IsZero() && !time.Now().Before(a.at.deadline)
	if late && failure.Outcome != runworks.OutcomeNotRun {
		return &runworks.Failure{
			Err:     errorx.Decorate(runworks.ErrTimeLimit, "%v", failure.Err),
			Outcome: failure.Outcome, RetryAfter: retryWhenLate,
		}
	}
	return failure
}

// Complete says whether the whole answer was read.
func (a *Response) Complete() bool { return a.whole }

// Close lets go of the answer. A request without a key is cancelled if its
// answer was not read to the end.
func (a *Response) Close() {
	a.closed.Do(func() {
		a.abandon()
		if a.link != nil {
			a.at.entry.ungrant(a.link)
		}
		a.at.entry.closed(a)
	})
}

// abandon drops the stream and cancels the run if nobody can come back for it.
func (a *Response) abandon() {
	a.drop()
	if a.whole || a.keep {
		return
	}
	a.at.entry.work.Go(a.cancelRun)
}

// cancelRun tells the agent, if it is there, that nobody wants the answer.
func (a *Response) cancelRun() {
	l := a.at.link()
	if l == nil || l.incarnation != a.at.incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(l.life, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, a.url(l), nil)
	if err != nil {
		return
	}
	req.Header.Set(rpc.KeyHeader, a.at.entry.Keys.Primary())
	req.Header.Set(control.HeaderIncarnation, string(a.at.incarnation))
	if res, err := a.at.entry.client.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// closed counts an answer out.
func (e *Entry) closed(a *Response) {
	defer e.finish(a.req.Tier, true)
	outcome := runworks.OutcomeDone
	if !a.whole {
		outcome = runworks.OutcomeFailed
	}
	metrics.Count(e.Metrics.Requests, metrics.Tier(a.req.Tier), metrics.Result(string(outcome)))
	if a.whole && time.Now().Before(a.req.Deadline) {
		metrics.Count(e.Metrics.Goodput, metrics.Tier(a.req.Tier))
	}
}
