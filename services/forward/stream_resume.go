package forward

import (
	"context"
	"errors"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
)

// lastReceivedAt returns when the server last sent something. The time in which the front waited for
// the caller, and read nothing, is not counted as the server's.
func (s *stream) lastReceivedAt() time.Time {
	last := s.lastEventAt
	if last.IsZero() {
		last = s.answeredAt
	}
	return last.Add(s.reader.sinceEvent)
}

// cutForSlowCaller reports whether the server broke the stream while the front waited for the
// caller to read.
func (s *stream) cutForSlowCaller() bool {
	return s.ctx.Err() == nil && s.reader.slow() && !errors.Is(context.Cause(s.call.attemptCtx), errServerRestarted)
}

// recordBreak releases the lease of a broken stream and records the break. If the caller's slow
// reading explains it, it does not count against the server or the request.
func (s *stream) recordBreak(cause error) {
	c := s.call
	slow := s.cutForSlowCaller()
	switch {
	case errors.Is(cause, errOutOfOrder), errors.Is(cause, runworks.ErrUnknownStream):
		s.lease.Release(s.orderResult())
	case slow:
		s.lease.Release(dispatch.Abandoned)
		c.f.Logger.Info("stream cut while its caller did not read", "server", s.lease.Instance.IncarnationID(), "service", c.service,
			"request", c.in.ID, "reader_blocked_ms", s.reader.unread.Milliseconds())
	default:
		s.lease.Release(c.resultOrAbandoned(s.ctx, s.lastReceivedAt(), resultOfBreak(cause)))
		c.recordInterruption(s.ctx, s.lease.Instance, s.firstEventAt, cause)
	}
	if slow && !c.lastEvent.IsZero() {
		c.lastEvent = time.Now() // the caller has only now taken the last event
	}
}

// resumable reports whether another server can continue the stream. After events without an ID it would
// begin again.
func (s *stream) resumable() bool {
	return s.call.route.Resumable && s.events && (s.sequence.Continuable() || s.call.events == 0)
}

// resume continues a broken stream at another server. It returns nil if the stream continues, and
// otherwise the error with which it ends.
func (s *stream) resume(cause error) error {
	c := s.call
	_ = s.body.Close()
	s.recordBreak(cause)
	for {
		if !s.resumable() || !c.mayRetry(s.ctx, cause) {
			return c.interruptedFailure(s.ctx, cause)
		}
		metrics.Count(c.f.Metrics.Resumes)
		lease, failure := c.acquire(s.ctx)
		if failure != nil {
			return failure
		}
		reply, failure := c.attempt(s.ctx, lease, s.sequence.Last())
		if failure != nil {
			cause = failure
			continue
		}
		if cause = s.continueWith(lease, reply); cause == nil {
			return nil
		}
	}
}

// continueWith continues the stream with the response of another attempt. It returns an error if that does not
// continue it.
func (s *stream) continueWith(lease *dispatch.Lease, reply *runworks.ServerReply) error {
	again := lease == s.lease
	s.lease = lease
	if !s.continues(reply) {
		return s.rejectReply(reply)
	}
	s.body, s.answeredAt = reply.Body, time.Now()
	s.continued, s.answered = true, false
	s.continueSequence(s.sequence.Last())
	if again {
		s.lastEventAt = time.Time{} // the pause before the rest is no gap between events
		return nil
	}
	s.firstEventAt, s.lastEventAt, s.outlived, s.measured = time.Time{}, time.Time{}, false, false
	s.meanGap, s.gaps = 0, 0
	s.reader.restart()
	return nil
}
