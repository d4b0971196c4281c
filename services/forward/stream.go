package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
)

const (
	// streamChunk is how much of a stream is read at once.
	streamChunk = 4 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// errEventTooLong says that a stream holds an event beyond maxEvent.
var errEventTooLong = errors.New("an event of the stream is too long")

// stream is the body of a streamed answer. It passes on whole events only, so
// that another server can take a broken stream up behind the last of them.
type stream struct {
	call  *call
	ctx   context.Context
	lease *dispatch.Lease
	body  io.ReadCloser

	// chunk is what is read into. It and the two below are used again: an event leaves 208
	// bytes of garbage in place of 4,435 (BenchmarkEvent of package platform).
	chunk []byte
	// ready are whole events that were not given to Read yet; part is the begin
	// of the next one.
	ready bytes.Buffer
	part  []byte
	// lastEvent is the id of the last whole event.
	lastEvent string
	// firstAt and lastAt are when this server gave its first and its last event; zero before
	// its first.
	firstAt, lastAt time.Time
	// begun is when this server began to answer.
	begun  time.Time
	end    error
	closed bool
}

// Read implements io.Reader; io.EOF is only given behind a whole answer.
func (s *stream) Read(p []byte) (int, error) {
	for s.ready.Len() == 0 {
		if s.end != nil {
			return 0, s.end
		}
		s.fill()
	}
	return s.ready.Read(p)
}

// fill reads from the server until an event is whole or the stream ends.
func (s *stream) fill() {
	if s.chunk == nil {
		s.chunk = make([]byte, streamChunk)
	}
	n, err := s.body.Read(s.chunk)
	s.take(s.chunk[:n])
	switch {
	case errors.Is(err, io.EOF):
		// What stands behind the last event is part of a whole answer.
		s.ready.Write(s.part)
		s.part = nil
		s.end = io.EOF
	case err != nil:
		s.part = nil
		s.end = s.resume(err)
	case len(s.part) > maxEvent:
		s.end = errEventTooLong
	}
}

// take moves whole events to what is ready.
func (s *stream) take(data []byte) {
	s.part = append(s.part, data...)
	i := bytes.LastIndex(s.part, eventEnd)
	if i < 0 {
		return
	}
	whole := s.part[:i+len(eventEnd)]
	for _, event := range bytes.SplitAfter(whole, eventEnd) {
		if len(event) > 0 {
			s.note(event)
		}
	}
	s.ready.Write(whole)
	s.part = append(s.part[:0], s.part[i+len(eventEnd):]...)
}

// note keeps an event's id and the time since the one before.
func (s *stream) note(event []byte) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastEvent = string(bytes.TrimSpace(value))
		}
	}
	now := time.Now()
	if s.lastAt.IsZero() {
		s.firstAt = now
		s.lease.RecordFirstEvent(s.call.in.PromptTokens)
	} else {
		pause := now.Sub(s.lastAt)
		s.lease.RecordEventGap(pause)
		s.call.longestPause = max(s.call.longestPause, pause)
	}
	s.call.events++
	s.call.lastEvent = now
	s.lastAt = now
}

// lastHeard is when the server gave something last.
func (s *stream) lastHeard() time.Time {
	if s.lastAt.IsZero() {
		return s.begun
	}
	return s.lastAt
}

// resume goes on with a broken stream at another server; it gives nil if the
// stream goes on, else why it ends here.
func (s *stream) resume(broke error) error {
	c := s.call
	_ = s.body.Close()
	s.lease.Release(c.endOf(s.ctx, s.lastHeard(), dispatch.Interrupted))
	c.noteEnd(s.ctx, s.lease.Instance, s.firstAt)
	for {
		if !c.route.Resumable || !c.mayTryAgain(s.ctx, broke) {
			return c.broken(s.ctx, broke)
		}
		metrics.Count(c.f.Metrics.Resumes)
		lease, failure := c.acquire(s.ctx)
		if failure != nil {
			return failure
		}
		reply, failure := c.attempt(s.ctx, lease, s.lastEvent)
		if failure != nil {
			broke = failure
			continue
		}
		s.lease = lease
		if reply.Status < 300 {
			s.body, s.begun = reply.Body, time.Now()
			s.firstAt, s.lastAt = time.Time{}, time.Time{}
			return nil
		}
		_ = reply.Body.Close()
		lease.Release(dispatch.Served)
		broke = runworks.ErrBackend
	}
}

// Close implements io.Closer; it gives the slot back and logs the end.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	_ = s.body.Close()
	if errors.Is(s.end, io.EOF) {
		s.lease.RecordLength(s.call.in.ExpectedTokens, s.call.events)
		s.lease.Release(dispatch.Served)
		s.call.noteAnswered()
		s.call.finish(runworks.OutcomeDone, 0, nil)
	} else {
		err := s.end
		if err == nil {
			err = context.Cause(s.ctx)
		}
		s.lease.Release(s.call.endOf(s.ctx, s.lastHeard(), dispatch.Interrupted))
		s.call.finish(runworks.OutcomeUnknown, 0, err)
	}
	return nil
}
