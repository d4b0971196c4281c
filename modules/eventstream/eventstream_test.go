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
		{"data: a\r\n\r", nil, true},
		{"data: a\r\n\r\ndata: b\r\n\r", []string{"data: a\r\n\r\n"}, true},
		{"data: a\r\n\r\n: ping\r", []string{"data: a\r\n\r\n"}, true},
		{"data: a\r\r: ping\r", []string{"data: a\r\r"}, false},
		{"data: a\n\nda", []string{"data: a\n\n"}, true},
		{"data: a\n\n: ping\n", []string{"data: a\n\n"}, false},
		{"data: a\n\n: pi", []string{"data: a\n\n"}, true},
		{"data: a\n\n\n", []string{"data: a\n\n"}, false},
		{"data: a\n\n: ping\ndata: b\n", []string{"data: a\n\n"}, true},
	} {
		is := is.New(t)
		var events []string
		event, rest, ok := Cut([]byte(c.stream), 0)
		for ok {
			events = append(events, string(event))
			event, rest, ok = Cut(rest, 0)
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

// TestLongEventIsSearchedOnce guards against an event that arrives in many pieces and is searched from its
// beginning with each, and against an end that is missed as it arrives in two pieces.
func TestLongEventIsSearchedOnce(t *testing.T) {
	is := is.New(t)
	for _, end := range []string{"\n\n", "\r\r", "\r\n\r\n"} {
		stream := []byte("data: 0" + end)
		for n := range len(stream) {
			_, _, ok := Cut(stream[:n], 0)
			is.True(!ok)
			event, rest, ok := Cut(stream, n)
			is.True(ok)
			is.Equal(string(event), string(stream))
			is.Equal(len(rest), 0)
		}
	}
	_, _, ok := Cut([]byte("data: 0\n\ndata: 0"), len("data: 0\n\ndata"))
	is.True(!ok)
}
