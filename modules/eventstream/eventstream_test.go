package eventstream

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEndsOfEvents checks the ends of events with each kind of line end, whole and byte by byte.
func TestEndsOfEvents(t *testing.T) {
	for _, c := range []struct {
		stream string
		events []string
		inside bool
	}{
		{"", nil, false},
		{"id: 1\ndata: a\n\n", []string{"id: 1\ndata: a\n\n"}, false},
		{"data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, false},
		{"data: a\r\n\r\ndata: b\r\n\r\n", []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}, false},
		{"data: a\r\rdata: b\r\r", []string{"data: a\r\r", "data: b\r\r"}, false},
		{"data: a\n\ndata: b\n", []string{"data: a\n\n"}, true},
		{"data: a\r\n\r\ndata: b\r\n", []string{"data: a\r\n\r\n"}, true},
		{"data: a\n\nda", []string{"data: a\n\n"}, true},
		{"data: a\n\n: ping\n", []string{"data: a\n\n"}, false},
		{"data: a\n\n: pi", []string{"data: a\n\n"}, true},
		{"data: a\n\n\n", []string{"data: a\n\n"}, false},
		{"data: a\n\n: ping\ndata: b\n", []string{"data: a\n\n"}, true},
	} {
		is := is.New(t)
		var events []string
		event, rest, ok := Cut([]byte(c.stream))
		for ok {
			events = append(events, string(event))
			event, rest, ok = Cut(rest)
		}
		is.Equal(events, c.events)
		is.Equal(strings.Join(events, "")+string(rest), c.stream)
		var whole, bytewise Tracker
		whole.Track([]byte(c.stream))
		for i := range len(c.stream) {
			bytewise.Track([]byte{c.stream[i]})
		}
		is.Equal(whole.InsideEvent(), c.inside)
		is.Equal(bytewise.InsideEvent(), c.inside)
	}
}
