package tests

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// streamPart is what a server sends for one attempt of a stream: a head, bytes, and an end that looks
// complete unless broken is set.
type streamPart struct {
	status      int
	contentType string
	body        string
	broken      bool
}

// eventsOf returns events with the given IDs.
func eventsOf(ids ...int) string {
	var out strings.Builder
	for _, n := range ids {
		fmt.Fprintf(&out, "id: %d\ndata: event %d\n\n", n, n)
	}
	return out.String()
}

// partServer answers the attempts of each stream with the parts of a script, in order, whichever of its
// servers they reach.
type partServer struct {
	mu       sync.Mutex
	parts    []streamPart
	attempts int
	// lastEvents are the IDs after which the attempts continue.
	lastEvents []string
}

// script sets the parts for the next stream.
func (s *partServer) script(parts ...streamPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts, s.attempts, s.lastEvents = parts, 0, nil
}

// ServeHTTP implements http.Handler.
func (s *partServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	part := s.parts[min(s.attempts, len(s.parts)-1)]
	s.attempts++
	s.lastEvents = append(s.lastEvents, r.Header.Get("Last-Event-Id"))
	s.mu.Unlock()
	w.Header().Set(standin.HeaderRoutedID, r.Header.Get(standin.HeaderRoutedID))
	w.Header().Set(standin.HeaderRoutedSignature, "parts")
	if part.contentType != "" {
		w.Header().Set("Content-Type", part.contentType)
	}
	w.WriteHeader(part.status)
	_, _ = w.Write([]byte(part.body))
	if part.broken {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// newPartSite starts a site with one front whose engines send the parts of a script.
func newPartSite(t *testing.T) (*platformSite, *partServer) {
	t.Helper()
	p, s := newBarePlatformSite(t), &partServer{}
	p.putDocument()
	for i := range 3 {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		name := fmt.Sprintf("llm-%d", i+1)
		p.put("keyed.servers", name, serverRecord("llm", strings.TrimPrefix(server.URL, "http://"), "ready", 0))
		p.backends[name] = p.store
	}
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	return p, s
}

// TestPlatformStreamIsJoinedInOrder guards against events that a caller gets twice, out of order or not at
// all because the next server of a stream, or the first one, does not send them in order.
func TestPlatformStreamIsJoinedInOrder(t *testing.T) {
	const stream, plain = "text/event-stream", "application/json"
	begun := streamPart{http.StatusOK, stream, eventsOf(1, 2, 3) + "id: 4\nda", true}
	between := streamPart{http.StatusOK, stream, eventsOf(1, 2, 3), true}
	cases := []struct {
		name    string
		path    string
		resumes string
		parts   []streamPart
		// want are the events that the caller may get, whose end looks complete if whole is set.
		want  string
		whole bool
	}{
		{"in order", "/chat/long/", "", []streamPart{begun, {http.StatusOK, stream, eventsOf(4, 5), false}}, eventsOf(1, 2, 3, 4, 5), true},
		{"nothing is left", "/chat/long/", "", []streamPart{between, {http.StatusOK, stream, "", false}}, eventsOf(1, 2, 3), true},
		{"the event is missing inside which it broke", "/chat/long/", "", []streamPart{begun, {http.StatusOK, stream, "", false}}, eventsOf(1, 2, 3), false},
		{"begins again", "/chat/long/", "", []streamPart{begun, {http.StatusOK, stream, eventsOf(1, 2, 3, 4, 5), false}}, eventsOf(1, 2, 3), false},
		{"repeats an event", "/chat/long/", "", []streamPart{begun, {http.StatusOK, stream, eventsOf(3, 4, 5), false}}, eventsOf(1, 2, 3), false},
		{"goes back", "/chat/long/", "", []streamPart{begun, {http.StatusOK, stream, eventsOf(4, 2, 5), false}}, eventsOf(1, 2, 3, 4), false},
		{"leaves an event out", "/chat/long/", "", []streamPart{begun, {http.StatusOK, stream, eventsOf(5, 6), false}}, eventsOf(1, 2, 3), false},
		{"has no IDs", "/chat/long/", "", []streamPart{begun, {http.StatusOK, stream, "data: event 4\n\n", false}}, eventsOf(1, 2, 3), false},
		{"is no stream", "/chat/long/", "", []streamPart{begun, {http.StatusOK, plain, "{}", false}}, eventsOf(1, 2, 3), false},
		{"has no content", "/chat/long/", "", []streamPart{begun, {http.StatusNoContent, "", "", false}}, eventsOf(1, 2, 3), false},
		{"goes back in one run", "/chat/", "", []streamPart{{http.StatusOK, stream, eventsOf(1, 2, 1, 3), false}}, eventsOf(1, 2), false},
		{"repeats in one run", "/chat/", "", []streamPart{{http.StatusOK, stream, eventsOf(1, 2, 2, 3), false}}, eventsOf(1, 2), false},
		{"resumed by its caller", "/chat/long/", "3", []streamPart{{http.StatusOK, stream, eventsOf(4, 5), false}}, eventsOf(4, 5), true},
		{"begins again for its caller", "/chat/long/", "3", []streamPart{{http.StatusOK, stream, eventsOf(1, 2, 3, 4, 5), false}}, "", false},
		{"is no stream for its caller", "/chat/long/", "3", []streamPart{{http.StatusOK, plain, "{}", false}}, "", false},
		{"repeats an event for its caller", "/chat/long/", "3", []streamPart{{http.StatusOK, stream, eventsOf(3, 4, 5), false}}, "", false},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, s := newPartSite(t) // a front ejects servers that have broken the streams of other cases
			s.script(c.parts...)
			call := platformCall{id: fmt.Sprint("stream-", i), method: http.MethodPost, target: fmt.Sprintf("%s%d", c.path, i), key: "yard-key"}
			if c.resumes != "" {
				call.header = http.Header{"Last-Event-Id": {c.resumes}, "Resumes": {"first"}}
			}
			res, data, err := p.do("front-1", call)
			if c.want == "" && !c.whole { // nothing of the server's response was passed on
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusBadGateway)
				is.Equal(res.Header.Get(standin.HeaderRoutedSignature), "")
				return
			}
			is.Equal(string(bytes.TrimSpace(data)), strings.TrimSpace(c.want))
			is.Equal(err == nil && res.StatusCode == http.StatusOK, c.whole)
		})
	}
}

// TestPlatformStreamOfChangedRoute guards against a stream that its caller takes up at another software version
// because the streams of its route can no longer be resumed.
func TestPlatformStreamOfChangedRoute(t *testing.T) {
	is := is.New(t)
	p, versions := newMixedVersions(t, "front-1", "front-2")
	const streams = 8
	p.beginStreams("front-1", streams)
	p.put("keyed.op", "config", []byte(strings.Replace(fmt.Sprintf(platformDocument, 2), `"resumable": true, `, "", 1)))
	p.waitFor("the document is active", func() bool {
		return p.countLogLines("front-2", `"routing active"`, `"routing_version":2`) > 0
	})
	for i := range streams {
		c := longStream(i, 2)
		_, data, err := p.do("front-2", c)
		is.NoErr(err)
		is.Equal(string(data), string(bytes.TrimPrefix(platformEvents(c.target, 6), platformEvents(c.target, 3))))
		is.Equal(len(p.versionsOf(versions, fmt.Sprintf("stream-%d-", i))), 1)
	}
}
