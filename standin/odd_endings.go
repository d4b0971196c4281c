package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
)

// OddEnding is what a server sends of a stream before it closes the connection.
type OddEnding string

// Kinds of odd endings; the empty one sends nothing.
const (
	// OddPart sends the first half of what comes next: of a head, or of an event.
	OddPart OddEnding = "part"
	// OddBytes sends bytes that form no response and, amid one, no chunk.
	OddBytes OddEnding = "bytes"
	// OddSurplus sends a response to another call, with an event of the stream: in place of what is due, or behind the end.
	OddSurplus OddEnding = "surplus"
)

// endOddly ends a stream at a stop as it says, and does not return.
func (b *RoutedServer) endOddly(w http.ResponseWriter, r *http.Request, s Stop) {
	head := s.Point == PointHead || s.Point == PointResume || s.Point == PointRest
	var out []byte
	switch s.Odd {
	case OddPart:
		out = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Ty", HeaderRoutedID, r.Header.Get(HeaderRoutedID))
		if !head {
			b.sendPart(w, r, s)
			panic(http.ErrAbortHandler)
		}
	case OddBytes:
		out = []byte("\x00\x01\xff no response")
	case OddSurplus:
		out = b.surplus(r, s)
		if s.Point == PointLast && chunked(w) {
			out = slices.Concat(chunkedEnd, out)
		}
	default:
		panic(http.ErrAbortHandler)
	}
	controller := http.NewResponseController(w)
	if !head {
		_ = controller.Flush()
	}
	if conn, _, err := controller.Hijack(); err == nil {
		_, _ = conn.Write(out)
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// sendPart sends the first half of the event behind the point, if one begins there.
func (b *RoutedServer) sendPart(w http.ResponseWriter, r *http.Request, s Stop) {
	if s.Point == PointFirst || s.Point == PointBetween {
		event := b.event(r, s.Event+1, "")
		_, _ = w.Write(event[:len(event)/2])
	}
	_ = http.NewResponseController(w).Flush()
}

// chunked reports whether a response that has begun is sent in chunks.
func chunked(w http.ResponseWriter) bool {
	_, old := w.(*oldResponse)
	return !old && w.Header().Get("Transfer-Encoding") == ""
}

// surplus returns a response to another call, with the event that is due.
func (b *RoutedServer) surplus(r *http.Request, s Stop) []byte {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	next := last + 1
	switch s.Point {
	case PointInside:
		next = s.Event
	case PointBetween:
		next = s.Event + 1
	}
	event := RoutedEvent(r.RequestURI, next)
	event = fmt.Appendf(event[:len(event)-1], "data: %s %s/nobody\n\n", b.Version, b.Instance)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: nobody\r\n%s: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRoutedID, HeaderRoutedSignature, b.Instance, len(event), event)
}
