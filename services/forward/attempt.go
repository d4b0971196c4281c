package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/dispatch"
)

// attempt sends the call to one backend server. After a failure the lease is released; the failure
// reports whether the call may have run.
func (c *call) attempt(ctx context.Context, lease *dispatch.Lease, lastEvent string) (*runworks.ServerReply, *runworks.Failure) {
	c.tried = append(c.tried, lease.Instance.IncarnationID())
	c.sends++
	var cancel context.CancelCauseFunc
	c.attemptCtx, cancel = context.WithCancelCause(ctx)
	lease.OnServerExit(func() { cancel(errServerRestarted) })
	spanCtx, span := c.f.Tracer.Start(c.attemptCtx, tracing.SpanBackend)
	defer span.End()
	send := &runworks.Send{Inbound: c.in, To: lease.Instance, TimeLeft: c.timeLeft(), LastEventID: lastEvent, Customer: c.customerName(), StatusPath: c.statusPath()}
	if slices.Contains(c.f.CompleteAtClose, c.service) {
		send.ConfirmEnd = func() time.Duration {
			c.end.leaving = lease.Leaving()
			return c.confirmTime()
		}
	}
	send.BeforeSend = func() error { return c.checkBeforeSend(lease) }
	metrics.Count(c.f.Metrics.Dispatches, metrics.Rank(c.rank))
	c.sent = time.Now()
	c.decision.Debit.Commit(c.sent)
	reply, err := c.send(spanCtx, send)
	if err != nil {
		return nil, c.handleSendError(ctx, lease, err)
	}
	if reply.AddressReused {
		return nil, c.rejectResponder(ctx, lease, reply)
	}
	c.applyReport(lease, reply)
	if reply.NotRun {
		_ = reply.Body.Close()
		c.release(lease, dispatch.Rejected)
		return nil, c.notRunFailure(errorx.Decorate(runworks.ErrRejected, "%s answered %d", lease.Instance.ID, reply.Status))
	}
	c.recordRun()
	c.versions = append(c.versions, lease.Instance.Version)
	c.end, c.unfinishedEvent = responseEnd{closeDelimited: reply.CloseDelimited, server: reply.ServerAtEnd, shown: reply.ShowsEnd, named: reply.Responder != "", assumed: send.ConfirmEnd != nil, lease: lease, ctx: c.attemptCtx}, 0
	if reply.CloseDelimited {
		reply.Body = &closeDelimitedBody{ReadCloser: reply.Body, call: c}
	}
	if !c.holds(lease) {
		lease.RecordHeaders()
	}
	return reply, nil
}

// rejectResponder drops the response of a server that has the address of the one the call was sent to, and returns the
// failure: that server may be of another service or version.
func (c *call) rejectResponder(ctx context.Context, lease *dispatch.Lease, reply *runworks.ServerReply) *runworks.Failure {
	_ = reply.Body.Close()
	metrics.Count(c.f.Metrics.AddressesReused)
	c.f.Logger.Warn("another server has the address of the one that the call was sent to", "server", lease.Instance.IncarnationID(), "address", lease.Instance.Address,
		"responder", reply.Responder, "service", c.service, "request", c.in.ID, "status", reply.Status, "not_run", reply.NotRun)
	if reply.NotRun {
		c.release(lease, dispatch.AddressReused)
		return c.notRunFailure(errorx.Decorate(runworks.ErrRejected, "another server has the address of %s", lease.Instance.ID))
	}
	c.recordRun()
	c.release(lease, dispatch.AddressReused)
	return c.interruptedFailure(ctx, errorx.Decorate(runworks.ErrBackend, "%s responded at the address of %s", reply.Responder, lease.Instance.ID))
}

// confirmTime returns how long the server is asked whether it still runs after the end of its response. A call that can't
// go on elsewhere would lose a whole one; any other is better continued or repeated there soon.
func (c *call) confirmTime() time.Duration {
	if c.canGoOn() {
		return 0
	}
	return maxConfirmTime
}

// canGoOn reports whether another server may repeat the call, or continue its response.
func (c *call) canGoOn() bool {
	switch {
	case c.sentTooOften() || !c.mayRunAgain() || !c.f.Budgets.HasRetry(c.service):
		return false
	case c.stream != nil && !c.stream.resumable():
		return false
	case c.stream == nil && c.detach == nil:
		return false // the caller has a part of the response
	}
	return c.f.Dispatcher.HasServer(c.dispatchRequest())
}

// statusPath returns the path of status requests to the call's servers; empty if not specified.
func (c *call) statusPath() string {
	if s := c.table.Service(c.service); s != nil {
		return s.StatusPath
	}
	return ""
}

// handleSendError releases the lease of a send without a response and returns the failure, which
// reports whether the call may have run.
func (c *call) handleSendError(ctx context.Context, lease *dispatch.Lease, err error) *runworks.Failure {
	switch {
	case canceledBeforeSend(err):
		c.sends--
		c.release(lease, dispatch.Abandoned)
	case errors.Is(err, runworks.ErrServerUnavailable):
		c.sends--
		c.tried = c.tried[:len(c.tried)-1]
		c.release(lease, dispatch.Abandoned)
	case errors.Is(err, runworks.ErrNotDispatched):
		c.sends--
		c.release(lease, c.resultOrAbandoned(ctx, c.sent, dispatch.Unreachable))
	default:
		c.recordRun()
		c.release(lease, c.resultOrAbandoned(ctx, c.sent, dispatch.Interrupted))
		c.recordInterruption(ctx, lease.Instance, time.Time{}, err)
		return c.interruptedFailure(ctx, err)
	}
	return c.notRunFailure(err)
}

// release releases the lease of an attempt that failed, unless the call still holds it for the end of its stream.
func (c *call) release(lease *dispatch.Lease, r dispatch.Result) {
	if c.holds(lease) {
		lease.FailAgain(r)
		return
	}
	lease.Release(r)
}

// holds reports whether a lease is that of a part of the call's stream whose end is to be settled.
func (c *call) holds(lease *dispatch.Lease) bool { return c.stream != nil && c.stream.holds(lease) }

// applyReport records the server report of a response.
func (c *call) applyReport(lease *dispatch.Lease, reply *runworks.ServerReply) {
	if reply.ReportErr != nil {
		c.f.Logger.Warn("invalid server report; keeping the previous values", "server", lease.Instance.IncarnationID(),
			"service", c.service, "request", c.in.ID, "error", reply.ReportErr.Error())
	}
	lease.ApplyReport(&reply.Report, c.sent)
}

// send sends the call. It is canceled if the server does not respond in time and the call may still
// run at another.
func (c *call) send(ctx context.Context, send *runworks.Send) (*runworks.ServerReply, error) {
	if !c.repeatable() || c.ran+1 >= c.route.MaxAttempts || c.route.Target == 0 {
		return c.f.Sender.Send(ctx, send)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(answerTimeoutTargets*c.route.Target, func() { cancel(errAnswerTimeout) })
	reply, err := c.f.Sender.Send(ctx, send)
	timer.Stop()
	if errors.Is(context.Cause(ctx), errAnswerTimeout) {
		err = errorx.Decorate(runworks.ErrBackend, "%s: %v", send.To.ID, errAnswerTimeout)
		if reply != nil {
			_ = reply.Body.Close()
		}
	}
	return reply, err
}

// checkBeforeSend returns an error if the call must no longer be sent: the caller has disconnected,
// the request has been quarantined while it waited, the server takes no more calls, or too little time is
// left, also before a stop. A disconnect normally cancels the call's context, but on a host short of CPU
// that can be seconds late: calls were sent 0.9 s after their callers had left. The request may have made
// servers exit elsewhere while it waited here; that is checked last, as it may count the call as a trial.
// If the server takes no more calls, another one may.
func (c *call) checkBeforeSend(lease *dispatch.Lease) error {
	switch {
	case c.in.CallerDisconnected != nil && c.in.CallerDisconnected():
		return runworks.ErrCallerDisconnected
	case lease.Unavailable():
		return errorx.Decorate(runworks.ErrServerUnavailable, "%s", lease.Instance.ID)
	}
	if err := c.checkTimeLeft(); err != nil {
		return err
	}
	if err := c.checkStop(); err != nil {
		return err
	}
	if !c.beginSend(time.Now()) {
		return runworks.ErrQuarantined
	}
	return nil
}

// canceledBeforeSend reports whether err is one of checkBeforeSend for which no other server is
// tried.
func canceledBeforeSend(err error) bool {
	return errors.Is(err, runworks.ErrCallerDisconnected) || errors.Is(err, runworks.ErrQuarantined) || errors.Is(err, runworks.ErrTimeLimit) ||
		errors.Is(err, runworks.ErrStopping)
}

// resultOrAbandoned returns Abandoned instead of r if the caller or the deadline ended the call, so
// that it does not count against the server, unless the server had sent nothing for
// unresponsiveAfter. To be slow with the rest of a stream that is over counts against none.
func (c *call) resultOrAbandoned(ctx context.Context, lastReceived time.Time, r dispatch.Result) dispatch.Result {
	if errors.Is(context.Cause(ctx), errNoRest) || ctx.Err() != nil && time.Since(lastReceived) < unresponsiveAfter {
		return dispatch.Abandoned
	}
	return r
}

// notRunFailure returns the failure of an attempt that did not run. The call as a whole did not run
// only if no earlier attempt may have.
func (c *call) notRunFailure(err error) *runworks.Failure {
	if c.ran > 0 {
		return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
	}
	if errors.Is(err, runworks.ErrQuarantined) {
		return runworks.NotRun(err, c.quarantinedFor(time.Now()))
	}
	return runworks.NotRun(err, c.backoffOr(retryRejected))
}

// interruptedFailure returns the failure of an attempt that may have run.
func (c *call) interruptedFailure(ctx context.Context, err error) *runworks.Failure {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	} else if cause := context.Cause(c.attemptCtx); cause != nil {
		err = errorx.Decorate(runworks.ErrBackend, "%s: %v", c.tried[len(c.tried)-1], cause)
	}
	return &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
}

// mayRetry reports whether another attempt may follow a failed one: if no attempt ran, or if the
// call may run again. An attempt that was never sent is no retry and does not use the budget.
func (c *call) mayRetry(ctx context.Context, cause error) bool {
	if ctx.Err() != nil || c.sentTooOften() {
		return false
	}
	if canceledBeforeSend(cause) {
		return false
	}
	if errors.Is(cause, runworks.ErrNotDispatched) || errors.Is(cause, runworks.ErrServerUnavailable) {
		return true
	}
	if c.ran > 0 && !c.mayRunAgain() {
		return false
	}
	if errors.Is(cause, errUnproven) {
		return c.f.Budgets.TakeRest(c.service) // the response may be whole, and failed calls need the other retries
	}
	return c.f.Budgets.TakeRetry(c.service)
}

// sentTooOften reports whether the call has been sent to, or tried at, as many servers as are allowed.
func (c *call) sentTooOften() bool { return c.sends >= maxSends || len(c.tried) >= maxServers }

// mayRunAgain reports whether the route allows a run at another server of a call that has run.
func (c *call) mayRunAgain() bool { return c.repeatable() && c.ran-c.reruns < c.route.MaxAttempts }

// recordRun records that the last server that was tried may have run the call.
func (c *call) recordRun() {
	c.ran++
	if c.isRerun() {
		c.reruns++
	}
}

// isRerun reports whether the last server that was tried had been tried before.
func (c *call) isRerun() bool {
	last := len(c.tried) - 1
	return slices.Contains(c.tried[:last], c.tried[last])
}

// repeatable reports whether the call may run more than once.
func (c *call) repeatable() bool {
	return c.route.Kind == runworks.CallRepeatable || c.route.Kind == runworks.CallStream && c.route.Resumable
}
