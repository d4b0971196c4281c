package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestStreamIsResumed breaks a resumable stream inside its third event: the caller must get each
// event once, and the second server the id of the last whole one.
func TestStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{brokenStream, restOfStream}}
		_, body, err := serve(context.Background(), newForwarder(t, s, io.Discard), "resumable")
		is.NoErr(err)
		is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
		is.Equal(s.sends[1].LastEventID, "2")
		is.True(s.sends[0].To.ID != s.sends[1].To.ID)
	})
}

// TestStreamBreaks breaks a stream that can't be resumed: the caller must get whole events only,
// and an error other than io.EOF.
func TestStreamBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{brokenStream}}
		_, body, err := serve(context.Background(), newForwarder(t, s, io.Discard), "stream")
		is.True(err != nil)
		is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		is.Equal(len(s.sends), 1)
	})
}

// TestStreamEndingInsideEventIsNotComplete guards against a cut stream that looks complete because its
// connection was closed and not reset.
func TestStreamEndingInsideEventIsNotComplete(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, rest string
		complete   bool
	}{
		{"between events", "", true},
		{"after a comment", ": ping\n", true},
		{"after blank lines", "\n\r\n", true},
		{"inside a field", "id: 3\nda", false},
		{"after a field", "id: 3\ndata: c\n", false},
		{"inside a comment", ": pi", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := reply{body: events + c.rest}
				var out bytes.Buffer
				_, body, err := serve(context.Background(), newForwarder(t, &sender{replies: []reply{first}}, &out), "stream")
				is.Equal(err == nil, c.complete)
				is.True(strings.HasPrefix(body, events))
				is.Equal(strings.Contains(out.String(), `"outcome":"done"`), c.complete)

				s := &sender{replies: []reply{first, restOfStream}}
				_, body, err = serve(context.Background(), newForwarder(t, s, io.Discard), "resumable")
				is.NoErr(err)
				if !c.complete {
					is.Equal(body, events+restOfStream.body)
					is.Equal(s.sends[1].LastEventID, "2")
				}
			})
		})
	}
}

// TestEmptyStreamIsNotComplete guards against a stream that was cut before its first event and looks
// complete.
func TestEmptyStreamIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		empty := reply{closeDelimited: true}
		_, body, err := serve(context.Background(), newCompletingForwarder(t, &sender{replies: []reply{empty}}, io.Discard), "stream")
		is.True(err != nil)
		is.Equal(body, "")
		// A stream that broke between two events may have no further one.
		const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		s := &sender{replies: []reply{{body: events, broken: errReset}, empty}}
		_, body, err = serve(context.Background(), newCompletingForwarder(t, s, io.Discard), "resumable")
		is.NoErr(err)
		is.Equal(body, events)
		in := &runworks.Inbound{ID: "2", Method: http.MethodPost, Host: "h", Path: "/resumable/x", Target: "/resumable/x", Received: time.Now(), LastEventID: "2", Resumes: "1"}
		res, err := newCompletingForwarder(t, &sender{replies: []reply{empty}}, io.Discard).Serve(t.Context(), in)
		is.NoErr(err)
		_, err = io.ReadAll(res.Body)
		is.NoErr(res.Body.Close())
		is.NoErr(err)
	})
}

// TestStreamWithoutIDsIsNotResumed guards against events that come twice because a server that can't know
// the last one begins the stream again.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{body: "data: a\n\nda", broken: errReset}, {body: "data: a\n\ndata: b\n\n"}}}
		_, body, err := serve(context.Background(), newForwarder(t, s, io.Discard), "resumable")
		is.True(err != nil)
		is.Equal(body, "data: a\n\n")
		is.Equal(len(s.sends), 1)
	})
}

// TestResumedStreamStaysAtItsVersion guards against a broken stream that a front continues at another
// software version than the one that began it.
func TestResumedStreamStaysAtItsVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2", "v1", "v2"}, {"v1", "v1", "v2", "v2"}, {"v1", "v2", "v2", "v1"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{brokenStream, restOfStream}}
			f := newForwarder(t, s, io.Discard)
			servers := append(threeServers("s"), runworks.Instance{ID: "s3", Service: "app", Slots: 4})
			for i, version := range versions {
				servers[i].Version = version
			}
			f.Dispatcher.SetServers(servers)
			_, _, err := serve(context.Background(), f, "resumable")
			is.NoErr(err)
			is.Equal(s.sends[1].To.Version, s.sends[0].To.Version)
			is.True(s.sends[1].To.ID != s.sends[0].To.ID)
		})
	}
}

// TestStreamResumedByCallerGoesToItsOrigin guards against a stream that its caller resumes and that runs at
// another version, or another service of its route, than the one that began it.
func TestStreamResumedByCallerGoesToItsOrigin(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name            string
		resumes         runworks.RequestID
		origin          runworks.StreamOrigin
		version         string
		err             error
		lastEvent, path string
	}{
		{"known", "1", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v2"}, "v2", nil, "3", "/resumable/x"},
		{"unknown", "2", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v2"}, "", runworks.ErrUnknownStream, "3", "/resumable/x"},
		{"not named", "", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v2"}, "", runworks.ErrUnknownStream, "3", "/resumable/x"},
		{"begun at a version that is gone", "1", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v0"}, "", runworks.ErrNoServer, "3", "/resumable/x"},
		{"begun at a service that is no longer routed", "1", runworks.StreamOrigin{Stream: "1", Service: "old", Version: "v2"}, "", runworks.ErrNoServer, "3", "/resumable/x"},
		{"new", "", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v2"}, "any", nil, "", "/resumable/x"},
		{"of a route whose streams can no longer be resumed", "1", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v2"}, "v2", nil, "3", "/stream/x"},
		{"unknown, of a route whose streams can no longer be resumed", "2", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v2"}, "", runworks.ErrUnknownStream, "3", "/stream/x"},
		{"of a route whose streams can't be resumed", "", runworks.StreamOrigin{Stream: "1", Service: "app", Version: "v2"}, "any", nil, "3", "/stream/x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: []reply{restOfStream}}
				f := newForwarder(t, s, io.Discard)
				servers := threeServers("s")
				servers[0].Version, servers[1].Version, servers[2].Version = "v1", "v2", "v1"
				f.Dispatcher.SetServers(servers)
				f.Origins.SetServers(now, servers)
				f.Origins.Record(time.Now(), c.origin, time.Minute)
				in := &runworks.Inbound{ID: "9", Method: http.MethodPost, Host: "h", Path: c.path, Target: c.path, Received: time.Now(), LastEventID: c.lastEvent, Resumes: c.resumes}
				res, err := f.Serve(t.Context(), in)
				if c.err != nil {
					is.True(errors.Is(err, c.err))
					is.Equal(failureOf(is, err).Outcome, runworks.OutcomeNotRun)
					is.Equal(len(s.sends), 0)
					return
				}
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				is.True(c.version == "any" || s.sends[0].To.Version == c.version)
			})
		})
	}
}

// TestResumedStreamRequest checks that a resumed stream is queued with times counted from its last
// event: its target is the pause that the caller allows, and the caller timeout restarts.
func TestResumedStreamRequest(t *testing.T) {
	is := is.New(t)
	in := &runworks.Inbound{Received: time.Now().Add(-time.Minute)}
	route := &runworks.Route{Kind: runworks.CallStream, Target: time.Second, MaxGap: 300 * time.Millisecond}
	c := &call{in: in, route: route, deadline: time.Now().Add(time.Minute)}
	fresh := c.dispatchRequest()
	is.True(!fresh.Resumed)
	is.Equal(fresh.Target, in.Received.Add(route.Target))
	c.lastEvent = time.Now()
	broken := c.dispatchRequest()
	is.True(broken.Resumed)
	is.Equal(broken.Target, c.lastEvent.Add(route.MaxGap))
	is.Equal(broken.CallerTimeout, c.lastEvent.Add(callerTimeoutTargets*route.Target))
}
