package forward

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/dispatch"
)

// attempt sends the call to one backend server. After a failure the lease is
// given back; the failure says whether the call may have run.
func (c *call) attempt(ctx context.Context, lease *dispatch.Lease, lastEvent string) (*runworks.ServerReply, *runworks.Failure) {
	c.tried = append(c.tried, lease.Instance.IncarnationID())
	c.sends++
	var cancel context.CancelCauseFunc
	c.sending, cancel = context.WithCancelCause(ctx)
	lease.OnServerExit(func() { cancel(errStartedAgain) })
	spanCtx, span := c.f.Tracer.Start(c.sending, tracing.SpanBackend)
	defer span.End()
	send := &runworks.Send{Inbound: c.in, To: lease.Instance, TimeLeft: c.left(), LastEventID: lastEvent, Customer: c.customerName()}
	send.BeforeSend = func() error { return c.wanted(lease) }
	metrics.Count(c.f.Metrics.Dispatches, metrics.Rank(c.rank))
	c.sent = time.Now()
	c.verdict.Debit.Commit(c.sent)
	reply, err := c.send(spanCtx, send)
	if err != nil {
		return nil, c.unanswered(ctx, lease, err)
	}
	if reply.AddressReused {
		_ = reply.Body.Close()
		lease.Release(dispatch.AddressReused)
		return nil, c.notRun(errorx.Decorate(runworks.ErrRejected, "another server has the address of %s", lease.Instance.ID))
	}
	c.hear(lease, reply)
	if reply.NotRun {
		_ = reply.Body.Close()
		lease.Release(dispatch.Rejected)
		return nil, c.notRun(errorx.Decorate(runworks.ErrRejected, "%s answered %d", lease.Instance.ID, reply.Status))
	}
	c.ran++
	lease.RecordHeaders()
	return reply, nil
}

// unanswered gives the lease of a send that had no answer back, and says whether the call may
// have run.
func (c *call) unanswered(ctx context.Context, lease *dispatch.Lease, err error) *runworks.Failure {
	switch {
	case neverSent(err):
		c.sends--
		lease.Release(dispatch.Abandoned)
	case errors.Is(err, runworks.ErrServerUnavailable):
		c.sends--
		c.tried = c.tried[:len(c.tried)-1]
		lease.Release(dispatch.Abandoned)
	case errors.Is(err, runworks.ErrNotDispatched):
		c.sends--
		lease.Release(c.endOf(ctx, c.sent, dispatch.Unreachable))
	default:
		c.ran++
		lease.Release(c.endOf(ctx, c.sent, dispatch.Interrupted))
		c.noteEnd(ctx, lease.Instance, time.Time{})
		return c.broken(ctx, err)
	}
	return c.notRun(err)
}

// hear takes what the server says of itself.
func (c *call) hear(lease *dispatch.Lease, reply *runworks.ServerReply) {
	if reply.ReportErr != nil {
		c.f.Logger.Warn("what a backend server says of itself can't be read, what was known of it stays", "server", lease.Instance.IncarnationID(),
			"service", c.service, "request", c.in.ID, "error", reply.ReportErr.Error())
	}
	lease.ApplyReport(&reply.Report, c.sent)
}

// send sends the call. A server that stays silent loses a call that another may
// still have.
func (c *call) send(ctx context.Context, send *runworks.Send) (*runworks.ServerReply, error) {
	if !c.repeatable() || c.ran+1 >= c.route.MaxAttempts || c.route.Target == 0 {
		return c.f.Sender.Send(ctx, send)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	limit := time.AfterFunc(silentTargets*c.route.Target, func() { cancel(errSilent) })
	reply, err := c.f.Sender.Send(ctx, send)
	limit.Stop()
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errorx.Decorate(runworks.ErrBackend, "%s: %v", send.To.ID, errSilent)
		if reply != nil {
			_ = reply.Body.Close()
		}
	}
	return reply, err
}

// wanted gives an error if the call must not be sent after all. If the caller has left: the
// end of the call's context tells it as a rule, but a host short of its processor may learn
// it seconds late: four calls went to a server 0.9 s after their callers had left. If the
// request is held by now: it may have waited here while it ended servers elsewhere. If its
// server takes nothing more by now, another may have it.
func (c *call) wanted(lease *dispatch.Lease) error {
	switch {
	case c.in.CallerDisconnected != nil && c.in.CallerDisconnected():
		return runworks.ErrCallerDisconnected
	case c.held(time.Now()) > 0:
		return runworks.ErrQuarantined
	case lease.Unavailable():
		return errorx.Decorate(runworks.ErrServerUnavailable, "%s", lease.Instance.ID)
	}
	return c.late()
}

// neverSent says whether an attempt ended with one of the errors of wanted.
func neverSent(err error) bool {
	return errors.Is(err, runworks.ErrCallerDisconnected) || errors.Is(err, runworks.ErrQuarantined) || errors.Is(err, runworks.ErrTimeLimit)
}

// endOf keeps a server's record clean of what the caller or the clock ended, but
// for calls of which nothing came since a time long enough to tell.
func (c *call) endOf(ctx context.Context, lastHeard time.Time, r dispatch.Result) dispatch.Result {
	if ctx.Err() != nil && time.Since(lastHeard) < silence {
		return dispatch.Abandoned
	}
	return r
}

// notRun is the failure of an attempt that did not run; the call as a whole was
// not run only if no earlier attempt was.
func (c *call) notRun(err error) *runworks.Failure {
	if c.ran > 0 {
		return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
	}
	if errors.Is(err, runworks.ErrQuarantined) {
		return runworks.NotRun(err, c.held(time.Now()))
	}
	return runworks.NotRun(err, c.restOr(retryTurnedAway))
}

// broken is the failure of an attempt that may have run.
func (c *call) broken(ctx context.Context, err error) *runworks.Failure {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	} else if cause := context.Cause(c.sending); cause != nil {
		err = errorx.Decorate(runworks.ErrBackend, "%s: %v", c.tried[len(c.tried)-1], cause)
	}
	return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
}

// mayTryAgain says whether a failed attempt may be followed by another: always
// after proof that no attempt ran, else only if the call may run again. A send that
// never left is no repeat and costs no budget.
func (c *call) mayTryAgain(ctx context.Context, failed error) bool {
	if ctx.Err() != nil || c.sends >= maxSends || len(c.tried) >= maxTries {
		return false
	}
	if neverSent(failed) {
		return false
	}
	if errors.Is(failed, runworks.ErrNotDispatched) || errors.Is(failed, runworks.ErrServerUnavailable) {
		return true
	}
	if c.ran > 0 && (!c.repeatable() || c.ran >= c.route.MaxAttempts) {
		return false
	}
	return c.f.Budgets.TakeRetry(c.service)
}

// repeatable says whether the call may run more than once.
func (c *call) repeatable() bool {
	return c.route.Kind == runworks.CallRepeatable || c.route.Kind == runworks.CallStream && c.route.Resumable
}
