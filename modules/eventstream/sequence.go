package eventstream

import (
	"bytes"
	"errors"
	"iter"
	"strconv"
	"strings"
)

// Errors of Sequence.Next.
var (
	// ErrOutOfOrder means that the ID of an event does not rise: the caller has the event, or one after it.
	ErrOutOfOrder = errors.New("the IDs of the stream's events do not rise")
	// ErrLeftOut means that the events were counted until the stream was continued, and some are missing there.
	ErrLeftOut = errors.New("events are missing where the stream was continued")
	// ErrNoID means that a stream was continued with an event without an ID: it may be one that the caller has.
	ErrNoID = errors.New("the stream was continued with an event without an ID")
)

// maxIDBytes bounds the IDs that are kept, sent on and logged; a longer one counts as none.
const maxIDBytes = 1 << 10

// minCounted is the number of pairs of events in a row that show that IDs count events, if all differ by one.
const minCounted = 2

// Sequence follows the IDs of a stream's events, from one server or several. IDs that are decimal numbers
// rise; of others it is only known that they are neither the last one nor the first. The zero value is at the
// beginning of a stream.
type Sequence struct {
	first, last string
	// named is set unless an event without an ID came after the last one.
	named bool
	// opaque is set once an ID is no number.
	opaque bool
	// continued is set between Continue and the next event.
	continued bool
	// steps is the number of pairs of events in a row, and gaps that of those whose IDs do not differ by one.
	steps, gaps int
}

// Continue records that what follows is to continue the stream after the event with the ID last.
func (s *Sequence) Continue(last string) {
	s.last, s.named, s.continued = last, true, true
	s.opaque = s.opaque || !isNumber(last)
}

// Last returns the ID of the last event that had one; empty if none had.
func (s *Sequence) Last() string { return s.last }

// Continuable reports whether a server can know from Last where to continue: the last event had an ID.
func (s *Sequence) Continuable() bool { return s.named }

// Next records an event. The error is ErrOutOfOrder, ErrLeftOut or ErrNoID if it does not follow the events
// before it, and is not recorded then. What has neither an ID nor data is no event.
func (s *Sequence) Next(event []byte) error {
	id, ok := ID(event)
	switch {
	case !ok && !hasData(event):
		return nil
	case !ok && s.continued:
		return ErrNoID
	case !ok:
		s.named = false
		return nil
	}
	s.opaque = s.opaque || !isNumber(id)
	if err := s.check(id); err != nil {
		return err
	}
	if s.first == "" {
		s.first = id
	}
	s.last, s.named, s.continued = id, true, false
	return nil
}

// check returns an error if an event with an ID does not follow the last one, and counts the step between them.
func (s *Sequence) check(id string) error {
	if s.last == "" {
		return nil
	}
	if s.opaque && (id == s.last || id == s.first) || !s.opaque && !rises(s.last, id) {
		return ErrOutOfOrder
	}
	follows := succeeds(s.last, id)
	switch {
	case s.continued && !follows && s.steps >= minCounted && s.gaps == 0:
		return ErrLeftOut
	case !s.continued && follows:
		s.steps++
	case !s.continued:
		s.steps++
		s.gaps++
	}
	return nil
}

// ID returns the ID of an event, and whether it has one.
func ID(event []byte) (id string, ok bool) {
	for line := range lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			if id = string(bytes.TrimSpace(value)); len(id) > maxIDBytes {
				id = ""
			}
		}
	}
	return id, id != ""
}

// IsEvent reports whether a part of a stream that ends with a blank line is an event: it has an ID or data.
func IsEvent(part []byte) bool {
	_, ok := ID(part)
	return ok || hasData(part)
}

// hasData reports whether an event has a line of data.
func hasData(event []byte) bool {
	for line := range lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// lines returns the lines of an event that are not empty, without a byte order mark before the first.
func lines(event []byte) iter.Seq[[]byte] {
	event = bytes.TrimPrefix(event, []byte("\ufeff"))
	return bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\n' || r == '\r' })
}

// rises reports whether the number next is above last.
func rises(last, next string) bool {
	a, b := significant(last), significant(next)
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}

// succeeds reports whether next is the number after last.
func succeeds(last, next string) bool {
	a, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return false
	}
	b, err := strconv.ParseUint(next, 10, 64)
	return err == nil && b == a+1
}

// isNumber reports whether id is a decimal number.
func isNumber(id string) bool {
	return id != "" && strings.Trim(id, "0123456789") == ""
}

// significant returns a number without the zeros that it begins with.
func significant(number string) string { return strings.TrimLeft(number, "0") }
