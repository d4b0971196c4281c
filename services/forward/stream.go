package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/eventstream"
	"github.com/runworks/runworks/services/dispatch"
)

const (
	// streamReadSize is the size of a read from a stream, in bytes.
	streamReadSize = 4 << 10
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// freeBuffers is the size in bytes up to which a stream's buffers are not counted as held memory.
	// The streams of 500 slots then hold at most 32 MB that are not counted; with usual events, of
	// some hundred bytes, they hold 2 MB.
	freeBuffers = 64 << 10
)

var (
	// errEventTooLong means that an event is longer than maxEvent: its bytes may have no end, so that the
	// stream counts as broken before it.
	errEventTooLong = errors.New("stream event exceeds the size limit")
	// errResponseTooLong means that a call has received more than Forwarder.MaxResponseBytes.
	errResponseTooLong = errors.New("response exceeds the size limit")
	// errCutStream means that the server ended its stream inside an event, or that the connection
	// ended before any event.
	errCutStream = errors.New("the backend server ended the stream inside an event, or before the first one")
)

// stream is the body of a streamed response. It passes on whole events only, so that another server
// can resume a broken stream after the last of them.
type stream struct {
	call  *call
	ctx   context.Context
	lease *dispatch.Lease
	body  io.ReadCloser
	// events is set unless the response names another content type than that of event streams.
	events bool

	// readBuf is the read buffer. It, pending and partial are reused: an event then leaves 208
	// bytes of garbage instead of 4,435 (BenchmarkEvent of package platform).
	readBuf []byte
	// pending are whole events that Read has not returned yet; partial is the beginning of the next
	// one.
	pending bytes.Buffer
	partial []byte
	// sequence follows the IDs of the whole events, of all servers.
	sequence eventstream.Sequence
	// firstEventAt and lastEventAt are when this server's first and last event arrived; zero before
	// its first.
	firstEventAt, lastEventAt time.Time
	// outlived is set once the server's exit would no longer be attributed to the call.
	outlived bool
	// status is the status of the response that the caller has.
	status int
	// answeredAt is when this server's response began.
	answeredAt time.Time
	// meanGap is the mean of the gaps between this server's events that the caller did not delay,
	// and gaps their number.
	meanGap time.Duration
	gaps    int
	reader  reader
	// reserved is the memory in bytes that is reserved for long events.
	reserved int64
	// broken is why the server's part ends after the pending events, unless they have been followed already.
	broken error
	// continued is set once a server continues the stream, and answered once the current one has sent an event.
	continued, answered bool
	// rest is the request for the rest of a stream that may be whole, until an event of that comes.
	rest *restRequest
	// wasCut is set once a rest of the stream has come, asked for as it may be whole or as it broke: what cut the stream may
	// do so again.
	wasCut bool
	// measured is set once the stream's length is recorded.
	measured bool
	// owed is set if a server broke off inside an event, until a server sends one.
	owed   bool
	err    error
	closed bool
}

// Read implements io.Reader. It returns io.EOF only after a complete response.
func (s *stream) Read(p []byte) (int, error) {
	s.reader.endWait(time.Now())
	for s.pending.Len() == 0 {
		switch {
		case s.err != nil:
			return 0, s.err
		case s.broken != nil:
			cause := s.broken
			s.broken = nil
			s.err = s.goOn(cause)
		default:
			s.fill()
		}
	}
	s.call.beginResponse()
	n, err := s.pending.Read(p)
	s.reader.startWait(time.Now(), s.heldBytes())
	return n, err
}

// heldBytes returns the memory in bytes that the stream holds: its buffers and the request body.
func (s *stream) heldBytes() int {
	return cap(s.readBuf) + s.pending.Cap() + cap(s.partial) + len(s.call.in.Body)
}

// fill reads from the server until an event is complete or the stream ends.
func (s *stream) fill() {
	if s.readBuf == nil {
		s.readBuf = make([]byte, streamReadSize)
	}
	start := time.Now()
	n, err := s.body.Read(s.readBuf)
	s.reader.recordServerWait(time.Since(start))
	orderErr := s.splitEvents(s.readBuf[:n])
	switch {
	case orderErr != nil:
		s.partial, s.broken = nil, orderErr
	case errors.Is(err, io.EOF):
		s.handleEnd()
	case err != nil:
		s.breakOff(err)
	case len(s.partial) > maxEvent:
		s.breakOff(errEventTooLong)
	case !s.call.countResponse(n):
		s.lease.Release(dispatch.Interrupted)
		s.err = errResponseTooLong
	case !s.reserveBuffers():
		s.lease.Release(dispatch.Abandoned)
		s.err = errorx.Decorate(runworks.ErrMemory, "a long event")
	}
}

// handleEnd ends the stream, unless what has arrived is not complete.
func (s *stream) handleEnd() {
	if s.isCut() {
		s.breakOff(errCutStream)
		return
	}
	err := s.confirmOrigin(true)
	if err == nil {
		err = s.checkOrder(s.partial)
	}
	if err != nil {
		s.partial, s.broken = nil, err
		return
	}
	switch err = s.settleEnd(); {
	case err == nil:
		s.keepComments() // the rest follows
	case errors.Is(err, io.EOF):
		s.keepComments()
		s.err = io.EOF
	default:
		s.breakOff(err)
	}
}

// keepComments passes on comments after the last event: they are part of a complete response.
func (s *stream) keepComments() {
	s.pending.Write(s.partial)
	s.partial = nil
}

// breakOff continues the stream at another server, or ends it.
func (s *stream) breakOff(cause error) {
	s.call.unfinishedEvent = len(s.partial)
	if s.events && len(s.partial) <= maxEvent && insideEvent(s.partial) && !s.isOtherResponse(s.partial) {
		s.owed = true
		s.restCame()
	}
	s.partial = nil
	s.err = s.goOn(cause)
}

// goOn has another server continue the stream after the current one's part has broken.
func (s *stream) goOn(cause error) error {
	switch {
	case errors.Is(cause, errUnproven), errors.Is(cause, runworks.ErrUnknownStream):
		return s.endUnproven(cause)
	case s.rest != nil:
		return s.replaceRest()
	}
	return s.resume(cause)
}

// isCut reports whether a response that has ended is incomplete. Its framing does not show that: a
// server that exits ends a response without length or chunks like a complete one.
func (s *stream) isCut() bool {
	if !s.events {
		return false
	}
	return insideEvent(s.partial) || s.owed || s.call.end.closeDelimited && s.call.events == 0 && !s.call.resumedByCaller()
}

// insideEvent reports whether a stream that ends after data, which begins between events, ends inside one.
func insideEvent(data []byte) bool {
	var t eventstream.Tracker
	t.Track(data)
	return t.InsideEvent()
}

// reserveBuffers reserves memory for buffers beyond freeBuffers and reports whether there is enough.
func (s *stream) reserveBuffers() bool {
	more := int64(s.pending.Cap()+cap(s.partial)-freeBuffers) - s.reserved
	if more <= 0 {
		return true
	}
	if !s.call.f.Memory.Reserve(more) {
		return false
	}
	s.reserved += more
	return true
}

// Close implements io.Closer. It releases the slot and logs the end of the call.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.rest != nil {
		s.rest.timer.Stop()
	}
	s.reader.endWait(time.Now())
	s.call.f.readers.remove(&s.reader)
	s.call.f.Memory.Release(s.reserved)
	s.call.readerBlocked = s.reader.total
	_ = s.body.Close()
	if errors.Is(s.err, io.EOF) {
		s.releaseServed()
		s.call.recordAnswer(http.StatusOK)
		s.call.finish(runworks.OutcomeDone, 0, nil)
	} else {
		err := s.err
		if err == nil {
			err = context.Cause(s.ctx)
		}
		s.lease.Release(s.call.resultOrAbandoned(s.ctx, s.lastReceivedAt(), dispatch.Interrupted))
		s.call.finish(runworks.OutcomeUnknown, 0, err)
	}
	return nil
}
