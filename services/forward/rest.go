package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
)

const (
	// restTimeout limits the wait for the rest of a stream that may be whole.
	restTimeout = time.Second
	// restMargin is how long before its caller disconnects, or the call's time is over, that wait must end.
	restMargin = 400 * time.Millisecond
	// minRestTime is the least time in which a server may be asked.
	minRestTime = 100 * time.Millisecond
)

// errNoRest is the cause if no server sends the rest of a stream in time.
var errNoRest = errors.New("no server sent the rest of the stream in time")

// restTime returns how long servers may be asked for what follows the events that came, so that the caller receives the
// end before it disconnects, and before a stop.
func (s *stream) restTime() time.Duration {
	c := s.call
	limit := restTimeout
	if stopAt := c.f.stopAt.Load(); stopAt != nil {
		limit = min(limit, time.Until(*stopAt))
	}
	return min(limit, time.Until(c.callerTimeout())-restMargin, c.timeLeft()-restMargin)
}

// mayAskForRest reports whether a server may be asked for what follows the events that came.
func (s *stream) mayAskForRest() bool {
	c := s.call
	switch {
	case !s.resumable() || c.sentTooOften() || s.restTime() < minRestTime:
		return false
	case s.continued && !s.answered && c.reruns > 0:
		return false // it has been asked
	}
	return c.f.Budgets.HasRest(c.service)
}

// restRequest is a request for the rest of a stream that may be whole, until an event comes.
type restRequest struct {
	// ctx ends when the time for it is over.
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// part is the one whose end is to be settled.
	part streamPart
}

// streamPart is what one server sent of a stream.
type streamPart struct {
	end        responseEnd
	attemptCtx context.Context
	lease      *dispatch.Lease
}

// part returns the current part of the stream.
func (s *stream) part() streamPart { return streamPart{s.call.end, s.call.attemptCtx, s.lease} }

// restore makes a part that has ended the last one again, after a request for what follows it that brought nothing.
func (s *stream) restore(p streamPart) {
	s.call.end, s.call.attemptCtx, s.lease = p.end, p.attemptCtx, p.lease
}

// holds reports whether a lease is that of the part whose end is to be settled.
func (s *stream) holds(lease *dispatch.Lease) bool {
	return s.rest != nil && lease == s.rest.part.lease
}

// askForRest has a server continue the stream, and reports whether one does. The server that ended it is asked first, in
// the slot that the call still holds: it has the prompt, and calls that wait for a slot wait no longer.
func (s *stream) askForRest() bool {
	r := &restRequest{part: s.part()}
	r.ctx, r.cancel = context.WithCancelCause(s.ctx)
	r.timer = time.AfterFunc(s.restTime(), func() { r.cancel(errNoRest) })
	s.rest = r
	if s.askSameServer() || s.askOtherServer() {
		return true
	}
	s.dropRest()
	return false
}

// askSameServer asks the server that ended the stream for the rest.
func (s *stream) askSameServer() bool {
	_ = s.body.Close()
	return s.isSameServer() && s.lease.Renew() && s.call.f.Budgets.TakeRest(s.call.service) && s.askForRestAt(s.lease)
}

// isSameServer reports whether the server that ended the stream responds at its address, as far as it must be asked for that:
// one that names itself in its responses does so with the rest, too.
func (s *stream) isSameServer() bool {
	c := s.call
	return c.end.named || c.end.assumed || c.f.Sender.Responds(s.rest.ctx, s.lease.Instance, c.statusPath())
}

// askOtherServer asks another server for the rest: it is independent of what cut the connection to the last one.
func (s *stream) askOtherServer() bool {
	_ = s.body.Close()
	s.releaseServed()
	c := s.call
	if s.rest.ctx.Err() != nil || c.sentTooOften() || !c.mayRunAgain() || !c.f.Dispatcher.HasServer(c.dispatchRequest()) || !c.f.Budgets.TakeRest(c.service) {
		return false
	}
	lease, failure := c.acquire(s.rest.ctx)
	return failure == nil && s.askForRestAt(lease)
}

// askForRestAt asks the server of a lease for the rest.
func (s *stream) askForRestAt(lease *dispatch.Lease) bool {
	metrics.Count(s.call.f.Metrics.Resumes)
	reply, failure := s.call.attempt(s.rest.ctx, lease, s.sequence.Last())
	return failure == nil && s.continueWith(lease, reply) == nil
}

// restCame ends the request for the rest: the stream goes on, so that the end before was a cut.
func (s *stream) restCame() {
	if s.rest != nil {
		s.rest.timer.Stop()
		s.rest, s.wasCut = nil, true
	}
}

// dropRest gives the request for the rest up.
func (s *stream) dropRest() {
	r := s.rest
	r.timer.Stop()
	r.cancel(nil)
	s.rest = nil
	s.restore(r.part)
}

// replaceRest has another server send the rest, after a response that broke before its first event. Where none does,
// the end is judged as without a request for the rest.
func (s *stream) replaceRest() error {
	if s.askOtherServer() {
		return nil
	}
	s.dropRest()
	err := s.checkEnd()
	if errors.Is(err, io.EOF) {
		return err
	}
	return s.goOn(err)
}

// askAgain has another server continue the stream, after an empty rest of the same one that proves nothing: what cut the
// stream there may have cut its rest. A server that sends all its responses in this form would have each stream wait for a
// slot among calls, so only a free one is taken.
func (s *stream) askAgain() bool {
	c := s.call
	empty := s.part()
	if c.f.Dispatcher.HasFreeServer(c.dispatchRequest()) && s.askOtherServer() {
		return true
	}
	s.restore(empty)
	return false
}
