package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/quarantine"
)

// TestEndIsTold writes a line with the call's fingerprint where its server ended under it,
// before or after an event, and none where only the connection broke.
func TestEndIsTold(t *testing.T) {
	for _, one := range []struct {
		name   string
		route  string
		first  reply
		fields []string
	}{
		{"before the head", "once", reply{err: lost.err, ended: true}, []string{`"events":0`, `"fresh":true`}},
		{"in a whole answer", "once", reply{body: "par", broken: errReset, ended: true}, []string{`"events":0`, `"fresh":true`}},
		{"after an event", "stream", reply{body: "id: 1\n\n", broken: errReset, ended: true}, []string{`"events":1`, `"fresh":true`}},
		{"only the connection", "stream", reply{body: "id: 1\n\n", broken: errReset}, nil},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				f := newForwarder(t, &sender{replies: []reply{one.first}}, &out)
				_, _, err := serve(context.Background(), f, one.route)
				is.True(err != nil)
				line, _, _ := strings.Cut(out.String(), "\n")
				is.Equal(strings.Contains(line, "backend server ended under a call"), one.fields != nil)
				for _, want := range append(one.fields, `"request":"1"`) {
					is.True(strings.Contains(line, want))
				}
			})
		})
	}
}

// ending ends its server before an event.
var ending = reply{err: lost.err, ended: true}

// holding is a forwarder that holds a request after three ends.
func holding(t *testing.T, s *sender) *Forwarder {
	t.Helper()
	f := newForwarder(t, s, io.Discard)
	f.Quarantine = &quarantine.Quarantine{ExitThreshold: 3, Duration: time.Hour}
	return f
}

// startAnew puts new servers in the place of those that there are.
func startAnew(f *Forwarder, n int) {
	f.Dispatcher.SetServers(threeServers(fmt.Sprintf("n%d-", n)))
}

// TestRequestIsHeld sends a request that ends servers to three of them, and refuses it from
// then on as not run, with the time for which it is held; others go on.
func TestRequestIsHeld(t *testing.T) {
	for _, one := range []struct {
		route string
		// calls are sent before it is held; those that may run again go on by themselves.
		calls int
	}{{"once", 3}, {"stream", 3}, {"safe", 2}, {"resumable", 2}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{ending}}
			f := holding(t, s)
			for n := range one.calls {
				startAnew(f, n)
				_, _, err := serve(context.Background(), f, one.route)
				failure := failureOf(is, err)
				is.Equal(failure.Outcome, runworks.OutcomeUnknown) // it ran
			}
			is.Equal(len(s.sends), 3)
			time.Sleep(time.Minute)
			f.Dispatcher.SetServers(nil) // it is refused before it asks for a server
			_, _, err := serve(context.Background(), f, one.route)
			failure := failureOf(is, err)
			is.True(errors.Is(err, runworks.ErrQuarantined))
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.Equal(failure.RetryAfter, 59*time.Minute)
			is.Equal(len(s.sends), 3)
			s.replies = []reply{good}
			startAnew(f, one.calls)
			in := &runworks.Inbound{ID: "2", Method: http.MethodPost, Host: "h", Path: "/safe/y", Target: "/safe/y", Received: time.Now()}
			_, err = f.Serve(context.Background(), in)
			is.NoErr(err)
		})
	}
}

// TestHeldWhileItWaits does not send a request that was let in and is held as its turn comes:
// it has no answer yet, and speaks against no server.
func TestHeldWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{good}}
		f := holding(t, s)
		in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Received: time.Now()}
		in.CallerDisconnected = func() bool {
			for _, server := range []string{"a", "b", "c"} {
				f.Quarantine.AttributeExit(time.Now(), in.Fingerprint(""), server)
			}
			return false
		}
		_, err := f.Serve(context.Background(), in)
		failure := failureOf(is, err)
		is.True(errors.Is(err, runworks.ErrQuarantined))
		is.Equal(failure.Outcome, runworks.OutcomeNotRun)
		is.Equal(failure.RetryAfter, time.Hour)
		is.Equal(len(s.sends), 0)
		for _, one := range f.Dispatcher.ServerStatuses() {
			is.Equal(one.OwnCalls, 0)
			is.True(one.EjectedUntil.IsZero())
		}
	})
}

// TestAnswerClears forgets the ends of servers that a request only shared with another, once
// it has a whole answer; an answer that says that the server failed is none.
func TestAnswerClears(t *testing.T) {
	for _, one := range []struct {
		route string
		last  reply
		clear bool
	}{{"safe", good, true}, {"resumable", rest, true}, {"once", failed, false}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{ending}}
			f := holding(t, s)
			_, _, err := serve(context.Background(), f, one.route)
			is.True(err != nil)
			is.True(len(f.Quarantine.Reports(time.Now())) > 0)
			s.replies = []reply{one.last}
			_, _, err = serve(context.Background(), f, one.route)
			is.NoErr(err)
			is.Equal(len(f.Quarantine.Reports(time.Now())) == 0, one.clear)
		})
	}
}

// TestOldRunIsNotBlamed puts no blame on an answer that had run for a while as its server
// ended.
func TestOldRunIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := holding(t, &sender{replies: []reply{{body: "id: 1\n\n", broken: errReset, ended: true}}})
		in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/stream/x", Target: "/stream/x", Received: time.Now()}
		res, err := f.Serve(context.Background(), in)
		is.NoErr(err)
		event := make([]byte, len("id: 1\n\n"))
		_, err = io.ReadFull(res.Body, event)
		is.NoErr(err)
		time.Sleep(freshRun)
		_, err = res.Body.Read(event)
		is.True(err != nil)
		is.NoErr(res.Body.Close())
		is.Equal(len(f.Quarantine.Reports(time.Now())), 0)
	})
}

// TestRecordTellsTheEnd holds a request that servers broke off without being seen to end,
// once they are gone; one whose answer had run for a while is not among those.
func TestRecordTellsTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{lost}}
		f := holding(t, s)
		for n := range 3 {
			startAnew(f, n)
			_, _, err := serve(context.Background(), f, "once")
			is.True(err != nil)
			is.Equal(len(f.Quarantine.Reports(time.Now())) > 0, n > 0)
			change := f.Dispatcher.SetServers(nil)
			is.Equal(len(change.Exited), 3)
			for _, one := range change.Exited {
				f.Quarantine.ServerRemoved(time.Now(), one.IncarnationID())
			}
		}
		startAnew(f, 3)
		_, _, err := serve(context.Background(), f, "once")
		is.True(errors.Is(err, runworks.ErrQuarantined))
		is.Equal(len(s.sends), 3)
	})
}
