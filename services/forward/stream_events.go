package forward

import (
	"bytes"
	"net/http"
	"time"

	"github.com/runworks/runworks/modules/eventstream"
)

// splitEvents moves the whole events of data to pending, up to one that does not follow those before it. The
// error is that of eventstream.Sequence then.
func (s *stream) splitEvents(data []byte) error {
	searched := len(s.partial)
	s.partial = append(s.partial, data...)
	event, rest, ok := eventstream.Cut(s.partial, searched)
	for ok {
		if len(bytes.Trim(event, "\r\n")) > 0 {
			begun := s.call.events > 0 || !s.events || eventstream.IsEvent(event)
			if err := s.confirmOrigin(begun); err != nil {
				return err
			}
			if err := s.checkOrder(event); err != nil {
				return err
			}
			s.recordEvent(begun)
		}
		s.pending.Write(event)
		event, rest, ok = eventstream.Cut(rest, 0)
	}
	s.partial = append(s.partial[:0], rest...)
	return nil
}

// confirmOrigin returns an error if the stream may not go on with what its server has sent, unless it has not begun.
func (s *stream) confirmOrigin(begun bool) error {
	if !begun {
		return nil
	}
	c := s.call
	err := c.confirmOrigin(s.lease.Instance)
	if err != nil {
		c.f.Logger.Warn("stream can't go on at the version of its server", "server", s.lease.Instance.IncarnationID(), "service", c.service,
			"request", c.in.ID, "resumes", c.in.Resumes, "error", err.Error())
	}
	return err
}

// recordEvent records an event and the time since the previous one. A stream has begun with its first one: a comment
// before that shows only that the server runs.
func (s *stream) recordEvent(begun bool) {
	now := time.Now()
	if begun && s.call.events == 0 {
		s.call.recordOrigin(now, s.lease.Instance)
	}
	switch {
	case s.firstEventAt.IsZero():
		s.firstEventAt = now
		s.call.recordFirstEvent(now, s.lease)
	case !s.lastEventAt.IsZero():
		s.recordGap(now.Sub(s.lastEventAt))
	}
	if !s.outlived && now.Sub(s.firstEventAt) >= attributionWindow {
		s.outlived = true
		s.call.recordAnswer(http.StatusOK)
	}
	if begun {
		s.call.events++
	}
	s.call.lastEvent = now
	s.lastEventAt = now
	s.reader.sinceEvent = 0
}

// recordGap records the time between two events. Where the caller delayed the reading, the server
// is recorded with the mean of its other gaps in this stream.
func (s *stream) recordGap(gap time.Duration) {
	if s.reader.hidesPace() {
		s.lease.RecordEventGap(s.meanGap)
		return
	}
	s.gaps++
	s.meanGap += (gap - s.meanGap) / time.Duration(s.gaps)
	s.lease.RecordEventGap(gap)
	s.call.longestPause = max(s.call.longestPause, gap)
}

// holdsEvents reports whether the response to a stream call is an event stream.
func holdsEvents(header http.Header) bool {
	return header.Get("Content-Type") == "" || eventstream.IsEventStream(header)
}
