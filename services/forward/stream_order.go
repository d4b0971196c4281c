package forward

import (
	"errors"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/eventstream"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
)

// errOutOfOrder means that a server sent an event that does not follow those before it, or no event stream
// where it was to continue one.
var errOutOfOrder = errors.New("the backend server does not continue the stream")

// errOtherResponse means that a server sent a response to another request behind a stream, or in its place.
var errOtherResponse = errors.New("the backend server sent another response inside the stream")

// continueSequence records that the current server is to continue the stream after the event with the ID
// last; an empty one begins the stream.
func (s *stream) continueSequence(last string) {
	if last != "" {
		s.sequence.Continue(last)
	}
	s.call.continuedAfter = append(s.call.continuedAfter, last)
}

// checkOrder returns an error if an event does not follow those before it. It is not passed on then: the caller
// can't tell a joined stream from a whole one.
func (s *stream) checkOrder(event []byte) error {
	if !s.events {
		return nil
	}
	c := s.call
	last := s.sequence.Last()
	err := s.follow(event)
	if err == nil {
		if (s.owed || !s.answered) && eventstream.IsEvent(event) {
			s.owed, s.answered = false, true
			s.wasCut = s.wasCut || s.continued
			s.restCame()
		}
		return nil
	}
	metrics.Count(c.f.Metrics.OrderErrors)
	id, _ := eventstream.ID(event)
	c.f.Logger.Warn("stream event out of order", "server", s.lease.Instance.IncarnationID(), "service", c.service,
		"request", c.in.ID, "event", id, "last_event", last, "continued", len(c.continuedAfter) > 0, "error", err.Error())
	return errorx.Decorate(errOutOfOrder, "%s: %v", s.lease.Instance.ID, err)
}

// follow records an event, and returns an error if it does not follow those before it, or is none of the stream.
func (s *stream) follow(event []byte) error {
	if s.isOtherResponse(event) {
		return errOtherResponse
	}
	return s.sequence.Next(event)
}

// isOtherResponse reports whether a part of the stream belongs to another response. Where a length or chunks end the stream,
// it does not.
func (s *stream) isOtherResponse(part []byte) bool {
	return s.call.end.closeDelimited && eventstream.IsResponse(part)
}

// orderResult is the result of a server's part that does not continue the stream. Where nothing but the ID that
// the caller states can be wrong, or the stream may be over, it does not count against the server.
func (s *stream) orderResult() dispatch.Result {
	if s.rest != nil || s.call.resumedByCaller() && s.call.events == 0 {
		return dispatch.Abandoned
	}
	return dispatch.Interrupted
}

// continues reports whether a response can continue the one that the caller has: only a part of an event
// stream fits to another one, and a server that named itself does so again.
func (s *stream) continues(reply *runworks.ServerReply) bool {
	if s.holds(s.lease) && s.rest.part.end.named && reply.Responder == "" {
		return false
	}
	return reply.Status == s.status && holdsEvents(reply.Header) == s.events
}

// rejectReply closes a response that does not continue the stream, releases its lease and returns why.
func (s *stream) rejectReply(reply *runworks.ServerReply) error {
	_ = reply.Body.Close()
	if reply.Status >= http.StatusMultipleChoices {
		result := dispatch.Served
		if s.rest != nil {
			result = dispatch.Abandoned
		}
		s.call.release(s.lease, result)
		return runworks.ErrBackend
	}
	c := s.call
	metrics.Count(c.f.Metrics.OrderErrors)
	c.f.Logger.Warn("response does not continue the stream", "server", s.lease.Instance.IncarnationID(), "service", c.service,
		"request", c.in.ID, "status", reply.Status, "event_stream", holdsEvents(reply.Header), "last_event", s.sequence.Last())
	c.release(s.lease, s.orderResult())
	return errorx.Decorate(errOutOfOrder, "%s answered %d", s.lease.Instance.ID, reply.Status)
}
