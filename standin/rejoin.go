package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// RejoinKind is how a server that is asked to continue a stream answers instead.
type RejoinKind string

// Kinds of answers that do not continue a stream.
const (
	// RejoinAgain begins with the first event, and RejoinRepeat with the last one that the caller has.
	RejoinAgain  RejoinKind = "again"
	RejoinRepeat RejoinKind = "repeat"
	// RejoinBack sends one event, then those before it again.
	RejoinBack RejoinKind = "back"
	// RejoinNoIDs sends events without IDs, RejoinPlain another type of content, and RejoinEmpty status 204.
	RejoinNoIDs RejoinKind = "no_ids"
	RejoinPlain RejoinKind = "plain"
	RejoinEmpty RejoinKind = "empty"
)

// RejoinKinds are all kinds.
func RejoinKinds() []RejoinKind {
	return []RejoinKind{RejoinAgain, RejoinRepeat, RejoinBack, RejoinNoIDs, RejoinPlain, RejoinEmpty}
}

// events returns the numbers of the events that are sent after the one with number last, of a stream that
// has the given number of events.
func (k RejoinKind) events(last, events int) []int {
	var out []int
	first := last + 1
	switch k {
	case RejoinAgain:
		first = 1
	case RejoinRepeat:
		first = last
	case RejoinBack:
		if last < events { // nothing is made up behind the last event
			out = append(out, last+1)
		}
		out = append(out, last)
	}
	for n := first; n <= events; n++ {
		out = append(out, n)
	}
	return out
}

// rejoin returns how to answer a call that continues a stream after an event, and counts it; empty to
// continue there.
func (b *RoutedServer) rejoin(last int) RejoinKind {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last > 0 && b.consume(&b.faults.Rejoins) {
		return b.faults.Rejoin
	}
	return ""
}

// event returns event n of a stream. It names the software version and the run if the target has
// "origin" in its query.
func (b *RoutedServer) event(r *http.Request, n int, kind RejoinKind) []byte {
	event := RoutedEvent(r.RequestURI, n)
	if r.URL.Query().Has("origin") {
		event = fmt.Appendf(event[:len(event)-1], "data: %s %s/%s\n\n", b.Version, b.Instance, r.Header.Get(HeaderRoutedID))
	}
	if kind == RejoinNoIDs {
		_, event, _ = bytes.Cut(event, []byte("\n"))
	}
	return event
}

// originBody returns the response body of a call without events that is to name its server, and sets its type.
func (b *RoutedServer) originBody(w http.ResponseWriter, r *http.Request, body []byte) []byte {
	w.Header().Set("Content-Type", "application/json")
	return RoutedJSON(b.Version, b.Instance, r.Header.Get(HeaderRoutedID), r.Method, r.RequestURI, body)
}

// streamEvents sends the events after Last-Event-Id.
func (b *RoutedServer) streamEvents(w http.ResponseWriter, r *http.Request, events int) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	kind := b.rejoin(last)
	b.passHead(w, r, last, events)
	b.mu.Lock()
	unsolicited := b.consume(&b.faults.UnsolicitedStreams)
	b.mu.Unlock()
	if unsolicited {
		out, err := b.behindUnsolicited(w, r.RequestURI)
		if err != nil {
			return
		}
		defer func() { _ = out.conn.Close() }()
		w = out
	}
	w.Header().Set(HeaderRoutedSignature, b.Instance)
	if kind.sendNoStream(w) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if b.closeDelimited() {
		// With this encoding net/http sends neither a length nor chunks.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	b.mu.Lock()
	form := b.faults.Events
	b.mu.Unlock()
	if form.Weights > 0 {
		w.Header().Set(HeaderWeights, strconv.Itoa(form.WeightsOf(last+1)))
	}
	w.WriteHeader(http.StatusOK)
	if last == 0 {
		b.pass(w, r, PointFirst, 0)
	}
	if form.Tokens > 0 {
		b.streamTokens(w, r, &form, last, events)
		return
	}
	for _, n := range kind.events(last, events) {
		b.waitForEvent(r)
		b.sendEvent(w, r, n, kind)
	}
	if last < events {
		b.pass(w, r, PointLast, 0)
	}
}

// sendNoStream sends the response that is no stream, if the kind is one of these.
func (k RejoinKind) sendNoStream(w http.ResponseWriter) bool {
	switch k {
	case RejoinEmpty:
		w.WriteHeader(http.StatusNoContent)
	case RejoinPlain:
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{}")
	default:
		return false
	}
	return true
}

// sendEvent sends event n of a stream.
func (b *RoutedServer) sendEvent(w http.ResponseWriter, r *http.Request, n int, kind RejoinKind) {
	controller := http.NewResponseController(w)
	event := b.event(r, n, kind)
	half := len(event) / 2
	if b.consumeBreak(n) {
		_, _ = w.Write(event[:half])
		_ = controller.Flush()
		panic(http.ErrAbortHandler)
	}
	if len(b.stopsAt(r.RequestURI, PointInside, n)) > 0 {
		_, _ = w.Write(event[:half])
		b.pass(w, r, PointInside, n)
		event = event[half:]
	}
	_, _ = w.Write(event)
	_ = controller.Flush()
	b.pass(w, r, PointBetween, n)
}
