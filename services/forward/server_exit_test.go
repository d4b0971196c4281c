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

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/quarantine"
)

// TestServerExitIsLogged checks that a server's exit during a call is logged with the call's
// fingerprint, before and after an event, and that a broken connection alone is not.
func TestServerExitIsLogged(t *testing.T) {
	for _, one := range []struct {
		name   string
		route  string
		first  reply
		fields []string
	}{
		{"before the head", "once", reply{err: lost.err, exited: true}, []string{`"events":0`, `"fresh":true`}},
		{"in a whole answer", "once", reply{body: "par", broken: errReset, exited: true}, []string{`"events":0`, `"fresh":true`}},
		{"after an event", "stream", reply{body: "id: 1\n\n", broken: errReset, exited: true}, []string{`"events":1`, `"fresh":true`}},
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
				is.Equal(strings.Contains(line, "backend server exited during a call"), one.fields != nil)
				for _, want := range append(one.fields, `"request":"1"`) {
					is.True(strings.Contains(line, want))
				}
			})
		})
	}
}

// TestServerExitNamesSharedParts guards against logs that can't tell a prompt part that crashes servers
// from servers that exit by themselves: the line names the parts that other calls share.
func TestServerExitNamesSharedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		f := newForwarder(t, &sender{replies: []reply{exiting}}, &out)
		in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Received: time.Now(), PromptParts: []string{"a", "b", "own"}}
		_, err := f.Serve(context.Background(), in)
		is.True(err != nil)
		line, _, _ := strings.Cut(out.String(), "\n")
		is.True(strings.Contains(line, `"prompt_parts":["a","b"]`))
	})
}

// exiting makes its server exit before an event.
var exiting = reply{err: lost.err, exited: true}

// newQuarantiningForwarder returns a forwarder that quarantines a request after three exits.
func newQuarantiningForwarder(t *testing.T, s *sender) *Forwarder {
	t.Helper()
	f := newForwarder(t, s, io.Discard)
	f.Quarantine = &quarantine.Quarantine{ExitThreshold: 3, Duration: time.Hour}
	return f
}

// replaceServers replaces all servers by new ones.
func replaceServers(f *Forwarder, n int) {
	f.Dispatcher.SetServers(threeServers(fmt.Sprintf("n%d-", n)))
}

// TestRequestIsQuarantined checks that a request that makes servers exit reaches three of them and
// is then refused as not run, with the time left in quarantine as Retry-After, while other requests
// are served.
func TestRequestIsQuarantined(t *testing.T) {
	for _, one := range []struct {
		route string
		// calls is the number of calls until the quarantine; a repeatable one reaches several
		// servers.
		calls int
	}{{"once", 3}, {"stream", 3}, {"safe", 2}, {"resumable", 2}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{exiting}}
			f := newQuarantiningForwarder(t, s)
			for n := range one.calls {
				replaceServers(f, n)
				_, _, err := serve(context.Background(), f, one.route)
				failure := failureOf(is, err)
				is.Equal(failure.Outcome, runworks.OutcomeUnknown) // the call may have run
			}
			is.Equal(len(s.sends), 3)
			time.Sleep(time.Minute)
			f.Dispatcher.SetServers(nil) // the call is refused before it needs a server
			_, _, err := serve(context.Background(), f, one.route)
			failure := failureOf(is, err)
			is.True(errors.Is(err, runworks.ErrQuarantined))
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.Equal(failure.RetryAfter, 59*time.Minute)
			is.Equal(len(s.sends), 3)
			s.replies = []reply{good}
			replaceServers(f, one.calls)
			in := &runworks.Inbound{ID: "2", Method: http.MethodPost, Host: "h", Path: "/safe/y", Target: "/safe/y", Received: time.Now()}
			_, err = f.Serve(context.Background(), in)
			is.NoErr(err)
		})
	}
}

// TestQuarantinedWhileWaiting checks that an admitted request that is quarantined while it waits is
// not sent. It has no response yet, and nothing counts against the servers.
func TestQuarantinedWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{good}}
		f := newQuarantiningForwarder(t, s)
		in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Received: time.Now()}
		in.CallerDisconnected = func() bool {
			for _, server := range []string{"a", "b", "c"} {
				f.Quarantine.AttributeExit(time.Now(), time.Now(), in.Traits(""), server)
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

// TestAnswerClearsExits checks that a complete response clears a request of exits that it only
// shared with another. A response that reports a failure of the server does not.
func TestAnswerClearsExits(t *testing.T) {
	for _, one := range []struct {
		route string
		last  reply
		clear bool
	}{{"safe", good, true}, {"resumable", restOfStream, true}, {"once", failed, false}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{exiting}}
			f := newQuarantiningForwarder(t, s)
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

// TestLongRunIsNotAttributed checks that an exit is not attributed to a request that had run for a
// while.
func TestLongRunIsNotAttributed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newQuarantiningForwarder(t, &sender{replies: []reply{{body: "id: 1\n\n", broken: errReset, exited: true}}})
		in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/stream/x", Target: "/stream/x", Received: time.Now()}
		res, err := f.Serve(context.Background(), in)
		is.NoErr(err)
		event := make([]byte, len("id: 1\n\n"))
		_, err = io.ReadFull(res.Body, event)
		is.NoErr(err)
		time.Sleep(attributionWindow)
		_, err = res.Body.Read(event)
		is.True(err != nil)
		is.NoErr(res.Body.Close())
		is.Equal(len(f.Quarantine.Reports(time.Now())), 0)
	})
}

// TestRemovedServerCountsAsExited checks that a request is quarantined once the servers that broke
// it off have been removed, although their exits were not observed.
func TestRemovedServerCountsAsExited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{lost}}
		f := newQuarantiningForwarder(t, s)
		for n := range 3 {
			replaceServers(f, n)
			_, _, err := serve(context.Background(), f, "once")
			is.True(err != nil)
			is.Equal(len(f.Quarantine.Reports(time.Now())) > 0, n > 0)
			change := f.Dispatcher.SetServers(nil)
			is.Equal(len(change.Exited), 3)
			for _, one := range change.Exited {
				f.Quarantine.ServerRemoved(time.Now(), one.IncarnationID())
			}
		}
		replaceServers(f, 3)
		_, _, err := serve(context.Background(), f, "once")
		is.True(errors.Is(err, runworks.ErrQuarantined))
		is.Equal(len(s.sends), 3)
	})
}

// TestUnconfirmedEnd guards against a response that looks complete though its server did not confirm it, and
// against a server that is asked too briefly by a call that can't run again.
func TestUnconfirmedEnd(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	unconfirmed := reply{body: whole, broken: errorx.Decorate(runworks.ErrUnconfirmed, "silent"), closeDelimited: true}
	nothingMore := reply{closeDelimited: true}
	silentAgain := reply{broken: unconfirmed.broken, closeDelimited: true}
	for _, c := range []struct {
		route    string
		replies  []reply
		timeouts []time.Duration
		whole    bool
	}{
		{"once", []reply{unconfirmed}, []time.Duration{maxConfirmTime}, false},
		{"stream", []reply{unconfirmed}, []time.Duration{maxConfirmTime}, false},
		{"safe", []reply{unconfirmed, good}, []time.Duration{0}, true},
		{"safe", []reply{unconfirmed, unconfirmed, good}, []time.Duration{0, maxConfirmTime}, false},
		{"resumable", []reply{unconfirmed, nothingMore}, []time.Duration{0, maxConfirmTime}, true},
		{"resumable", []reply{unconfirmed, silentAgain}, []time.Duration{0, maxConfirmTime}, false},
	} {
		t.Run(fmt.Sprint(c.route, " ", len(c.replies)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: c.replies}
				_, _, err := serve(t.Context(), newCompletingForwarder(t, s, io.Discard), c.route)
				is.Equal(err == nil, c.whole)
				is.Equal(s.confirmTimes, c.timeouts)
			})
		})
	}
}

// TestSlowlyConfirmedEnd guards against a whole response that is lost because its server is asked too briefly,
// as for a call that can go on at another server, though this one can't.
func TestSlowlyConfirmedEnd(t *testing.T) {
	for _, c := range []struct {
		name, route, body string
		arrange           func(f *Forwarder)
	}{
		{"other server", "resumable", "id: 1\ndata: a\n\n", func(*Forwarder) {}},
		{"no retry budget, stream", "resumable", "id: 1\ndata: a\n\n", func(f *Forwarder) { f.Budgets = &Budgets{} }},
		{"no retry budget, safe call", "safe", "answer", func(f *Forwarder) { f.Budgets = &Budgets{} }},
		{"no other server", "safe", "answer", func(f *Forwarder) { f.Dispatcher.SetServers(threeServers("s")[:1]) }},
		{"events without IDs", "resumable", "data: a\n\n", func(*Forwarder) {}},
		{"a long answer", "safe", strings.Repeat("a", 300<<10), func(*Forwarder) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: []reply{{body: c.body, closeDelimited: true, confirmedAfter: 800 * time.Millisecond}, {}}}
				f := newCompletingForwarder(t, s, io.Discard)
				c.arrange(f)
				_, data, err := serve(t.Context(), f, c.route)
				is.NoErr(err)
				is.Equal(len(data), len(c.body))
			})
		})
	}
}
