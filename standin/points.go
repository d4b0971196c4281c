package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Point is a place in the response to a call.
type Point string

// Points, in the order in which a stream that breaks off and is taken up passes them.
const (
	// PointHead is before the head of a response, and PointFirst between the head and the first event.
	PointHead  Point = "head"
	PointFirst Point = "first"
	// PointResume is before the head of a response that goes on amid the stream.
	PointResume Point = "resume"
	// PointInside is inside an event, and PointBetween behind it.
	PointInside  Point = "inside"
	PointBetween Point = "between"
	// PointLast is behind the last event, before the end of the response.
	PointLast Point = "last"
	// PointRest is before the head of a response to a call that has all events.
	PointRest Point = "rest"
	// PointBody is amid the body of a response without events, whose head has PointHead before it.
	PointBody Point = "body"
)

// pointPoll is how often a stopped stream looks whether it may go on.
const pointPoll = 2 * time.Millisecond

// pointReset is the time before a reset in which what was sent arrives.
const pointReset = 20 * time.Millisecond

// Stop has the streams of a target stop at a point for as long as it is set.
type Stop struct {
	Target string `json:"target"`
	Point  Point  `json:"point"`
	// Event is the number of the event of PointInside and PointBetween.
	Event int `json:"event"`
	// Break ends streams there by a close, behind what Odd has the server send, and Reset by a reset of the connection. Before the
	// last event a reset applies only to calls that begin the stream, so that it can be taken up at the same server.
	Break bool      `json:"break"`
	Odd   OddEnding `json:"odd"`
	Reset bool      `json:"reset"`
}

// SetStops replaces all stops; streams that none of them holds go on.
func (b *RoutedServer) SetStops(stops []Stop) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stops = stops
}

func (b *RoutedServer) serveStops(w http.ResponseWriter, r *http.Request) {
	var stops []Stop
	if err := json.NewDecoder(r.Body).Decode(&stops); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetStops(stops)
}

// stopsAt returns the stops for a point of a stream.
func (b *RoutedServer) stopsAt(target string, point Point, event int) []Stop {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Stop
	for _, s := range b.stops {
		if s.Target == target && s.Point == point && s.Event == event {
			out = append(out, s)
		}
	}
	return out
}

// applyStops ends a stream if a stop for the point breaks it off, and reports whether one holds it and one resets its connection.
func (b *RoutedServer) applyStops(w http.ResponseWriter, r *http.Request, point Point, event int) (holds, resets bool) {
	mayReset := point == PointLast || r.Header.Get("Last-Event-Id") == ""
	for _, s := range b.stopsAt(r.RequestURI, point, event) {
		if s.Break {
			b.endOddly(w, r, s)
		}
		holds, resets = holds || !s.Reset, resets || s.Reset && mayReset
	}
	return holds, resets
}

// pass holds a stream at a point while a stop is set for it, and reports it to OnStop. The event is 0 except at PointInside and
// PointBetween. What was written before the point is sent.
func (b *RoutedServer) pass(w http.ResponseWriter, r *http.Request, point Point, event int) {
	for told := false; ; told = true {
		holds, resets := b.applyStops(w, r, point, event)
		if !holds && !resets {
			return
		}
		if !told && point != PointHead && point != PointResume && point != PointRest {
			_ = http.NewResponseController(w).Flush()
		}
		if !holds {
			waitFor(r, pointReset)
			resetConn(w, nil)
			panic(http.ErrAbortHandler)
		}
		if !told && b.OnStop != nil {
			b.OnStop(point, r.RequestURI, r.Header.Get(HeaderRoutedID))
		}
		waitFor(r, pointPoll)
	}
}

// passHead passes the point before the head of a stream of a number of events, of which the caller has those up to last.
func (b *RoutedServer) passHead(w http.ResponseWriter, r *http.Request, last, events int) {
	point := PointResume
	switch last {
	case 0:
		point = PointHead
	case events:
		point = PointRest
	}
	b.pass(w, r, point, 0)
}
