package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/route"
)

// event returns the n-th event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: %c\n\n", n, 'a'+n-1) }

// delimited returns a response that only its connection ends.
func delimited(body string) reply { return reply{body: body, closeDelimited: true} }

// counted returns how many ends of responses without length or chunks were counted, by result.
func counted(t *testing.T, f *Forwarder) map[string]int {
	t.Helper()
	w := httptest.NewRecorder()
	f.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	out := map[string]int{}
	for _, result := range []string{endProven, endAssumed, endBroken} {
		_, rest, ok := strings.Cut(w.Body.String(), fmt.Sprintf("runworks_close_delimited_ends_total{result=%q} ", result))
		if ok {
			n := 0
			_, _ = fmt.Sscan(rest, &n)
			out[result] = n
		}
	}
	return out
}

// idle reports whether no server runs a call.
func idle(f *Forwarder) bool {
	for _, one := range f.Dispatcher.ServerStatuses() {
		if one.OwnCalls > 0 || !one.EjectedUntil.IsZero() {
			return false
		}
	}
	return true
}

// TestRestOfStreamIsAskedFor guards against a stream that only its connection ends and that looks complete although a
// server could continue it, against whole ones that are lost, and against more requests for the rest than one needs.
func TestRestOfStreamIsAskedFor(t *testing.T) {
	whole := event(1) + event(2)
	for _, c := range []struct {
		name    string
		servers int
		replies []reply
		arrange func(f *Forwarder)
		body    string
		sends   int
		result  string
	}{
		{"empty", 3, []reply{delimited(whole), {}}, nil, whole, 2, endProven},
		{"empty, one server", 1, []reply{delimited(whole), {}}, nil, whole, 2, endProven},
		{"empty, without length", 1, []reply{delimited(whole), delimited("")}, nil, whole, 2, endAssumed},
		{"empty, without length, two servers", 2, []reply{delimited(whole), delimited("")}, nil, whole, 3, endAssumed},
		{"only a comment", 1, []reply{delimited(whole), delimited(": ping\n\n")}, nil, whole + ": ping\n\n", 2, endAssumed},
		{"events", 3, []reply{delimited(whole), {body: event(3)}}, nil, whole + event(3), 2, ""},
		{"events of the same server", 1, []reply{delimited(whole), delimited(event(3)), {}}, nil, whole + event(3), 3, endProven},
		{"events of another server", 3, []reply{delimited(whole), rejected, delimited(event(3)), {}}, nil, whole + event(3), 4, endProven},
		{"of a stream that broke before", 3, []reply{{body: whole, broken: errReset}, delimited(event(3)), {}}, nil, whole + event(3), 3, endProven},
		{"of another server after a rejection", 3, []reply{delimited(whole), rejected, {}}, nil, whole, 3, endProven},
		{"broken, with a length", 3, []reply{{body: whole, broken: errReset}, {}}, nil, whole, 2, ""},
		{"rejected everywhere", 3, []reply{delimited(whole), rejected}, nil, whole, 3, endAssumed},
		{"refused", 3, []reply{delimited(whole), unreachable}, nil, whole, 3, endAssumed},
		{"lost", 3, []reply{delimited(whole), lost}, nil, whole, 3, endAssumed},
		{"lost, one server", 1, []reply{delimited(whole), lost}, nil, whole, 2, endAssumed},
		{"no stream", 3, []reply{delimited(whole), {body: "{}", contentType: "application/json"}}, nil, whole, 3, endAssumed},
		{"no content", 1, []reply{delimited(whole), {status: http.StatusNoContent}}, nil, whole, 2, endAssumed},
		{"not found", 1, []reply{delimited(whole), {status: http.StatusNotFound}}, nil, whole, 2, endAssumed},
		{"no budget", 3, []reply{delimited(whole), {}}, func(f *Forwarder) { f.Budgets = &Budgets{} }, whole, 1, endAssumed},
		{"no server", 1, []reply{{body: whole, closeDelimited: true, pause: time.Second}, {}}, func(f *Forwarder) {
			time.AfterFunc(time.Second/2, func() { f.Dispatcher.SetServers(nil) })
		}, whole, 1, endAssumed},
		{"no IDs", 3, []reply{delimited("data: a\n\n"), {}}, nil, "data: a\n\n", 1, endAssumed},
		{"comments after the last event", 3, []reply{delimited(whole + ": end\n"), {}}, nil, whole + ": end\n", 2, endProven},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: c.replies}
				var out bytes.Buffer
				f := newCompletingForwarder(t, s, &out)
				f.Dispatcher.SetServers(threeServers("s")[:c.servers])
				if c.arrange != nil {
					c.arrange(f)
				}
				_, body, err := serve(t.Context(), f, "resumable")
				is.NoErr(err)
				is.Equal(body, c.body)
				is.Equal(len(s.sends), c.sends)
				for _, send := range s.sends[1:min(2, c.sends)] {
					is.Equal(send.LastEventID, "2")
				}
				want := map[string]int{}
				if c.result != "" {
					want[c.result] = 1
				}
				is.Equal(counted(t, f), want)
				is.Equal(strings.Contains(out.String(), `"end_proof":"rest"`), c.result == endProven)
				if c.name != "refused" { // which ejects the server
					is.True(idle(f))
				}
			})
		})
	}
}

// TestOnlyResumableStreamsAreAskedFor guards against calls that run again though their route does not allow it.
func TestOnlyResumableStreamsAreAskedFor(t *testing.T) {
	for _, name := range []string{"stream", "once", "safe"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{delimited(event(1)), {}}}
			f := newCompletingForwarder(t, s, io.Discard)
			_, body, err := serve(t.Context(), f, name)
			is.NoErr(err)
			is.Equal(body, event(1))
			is.Equal(len(s.sends), 1)
			is.Equal(counted(t, f)[endAssumed], 1)
		})
	}
}

// TestEndIsNotHeldUpByTheRest guards against a whole stream whose end arrives only after its caller has disconnected, or
// its time is over, as nobody sends its rest, and against servers that are ejected for it.
func TestEndIsNotHeldUpByTheRest(t *testing.T) {
	for _, c := range []struct {
		name string
		// pause is the time from the last event to the end, and timeout that of the call.
		pause, timeout time.Duration
		// wait is the time from there to the end that the caller receives.
		wait  time.Duration
		sends int
	}{
		{"silent", 0, 0, restTimeout, 2},
		{"late end", 1200 * time.Millisecond, 0, 400 * time.Millisecond, 2},
		{"very late end", 1800 * time.Millisecond, 0, 0, 1},
		{"deadline near", 0, 900 * time.Millisecond, 500 * time.Millisecond, 2},
		{"deadline nearer", 0, 450 * time.Millisecond, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := delimited(event(1))
				first.pause = c.pause
				for range 4 {
					s := &sender{replies: []reply{first, {hang: true}}}
					f := newCompletingForwarder(t, s, io.Discard)
					routing := testRouting()
					for i := range routing.Routes {
						routing.Routes[i].Target = 0 // the caller waits no longer for it
					}
					f.Table.Store(route.NewTable(routing))
					in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/resumable/x", Target: "/resumable/x", Received: time.Now(), Timeout: c.timeout}
					res, err := f.Serve(t.Context(), in)
					is.NoErr(err)
					data, err := io.ReadAll(res.Body)
					is.NoErr(err)
					is.NoErr(res.Body.Close())
					is.Equal(string(data), event(1))
					is.Equal(time.Since(in.Received)-c.pause, c.wait)
					is.Equal(len(s.sends), c.sends)
					is.Equal(counted(t, f)[endAssumed], 1)
					is.True(idle(f))
				}
			})
		})
	}
}

// TestSilenceForTheRestEjectsNoServer guards against servers that are ejected as they are slow to continue streams that
// are over.
func TestSilenceForTheRestEjectsNoServer(t *testing.T) {
	for name, rest := range map[string]reply{"silent": {hang: true}, "no content": {status: http.StatusNoContent}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{}
				f := newCompletingForwarder(t, s, io.Discard)
				f.Dispatcher.SetServers(threeServers("s")[:1])
				f.Dispatcher.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("ejected") }
				for range 8 {
					s.replies, s.sends = []reply{{body: event(1), closeDelimited: true, gap: time.Millisecond}, rest}, nil
					_, _, err := serve(t.Context(), f, "resumable")
					is.NoErr(err)
					is.Equal(len(s.sends), 2)
				}
			})
		})
	}
}

// TestCutIsNamedAfterTheRest guards against a stream that looks complete as no server sent its rest, and against a log line that
// names the request for the rest as the cause.
func TestCutIsNamedAfterTheRest(t *testing.T) {
	for name, rest := range map[string]reply{"silent": {hang: true}, "no stream": {body: "{}", contentType: "application/json"}, "rejected": rejected} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				f := newForwarder(t, &sender{replies: []reply{delimited(event(1)), rest}}, &out)
				f.Budgets = &Budgets{Slack: 1} // for the rest alone
				_, body, err := serve(t.Context(), f, "resumable")
				is.True(err != nil)
				is.Equal(body, event(1))
				is.Equal(counted(t, f), map[string]int{endBroken: 1})
				is.True(strings.Contains(out.String(), "nothing shows that the response is whole"))
				is.True(idle(f))
			})
		})
	}
}

// TestCallerLeavesWhileTheRestIsAskedFor guards against a call that counts as done though its caller has left, and against
// a slot that stays taken.
func TestCallerLeavesWhileTheRestIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		f := newCompletingForwarder(t, &sender{replies: []reply{delimited(event(1)), {hang: true}}}, &out)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		_, _, err := serve(ctx, f, "resumable")
		is.True(errors.Is(err, context.Canceled))
		is.True(strings.Contains(out.String(), `"outcome":"unknown"`))
		is.True(idle(f))
		is.Equal(f.Active(), int64(0))
	})
}

// TestEmptyRestOfCallerIsAskedFor guards against a caller that resumes its stream, gets nothing, and takes it for
// complete, although a server could continue it.
func TestEmptyRestOfCallerIsAskedFor(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []reply
		body    string
		// sends is the number of requests by that of servers.
		sends map[int]int
	}{
		{"events", []reply{delimited(""), {body: event(3)}}, event(3), map[int]int{1: 2, 3: 2}},
		{"nothing", []reply{delimited(""), {}}, "", map[int]int{1: 2, 3: 2}},
		{"nothing, without length", []reply{delimited(""), delimited("")}, "", map[int]int{1: 2, 3: 3}},
		{"framed", []reply{{}, {body: event(3)}}, "", map[int]int{1: 1, 3: 1}},
	} {
		for servers, sends := range c.sends {
			t.Run(fmt.Sprint(c.name, " ", servers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &sender{replies: c.replies}
					f := newCompletingForwarder(t, s, io.Discard)
					f.Dispatcher.SetServers(threeServers("s")[:servers])
					in := &runworks.Inbound{ID: "2", Method: http.MethodPost, Host: "h", Path: "/resumable/x", Target: "/resumable/x", Received: time.Now(), LastEventID: "2", Resumes: "1"}
					res, err := f.Serve(t.Context(), in)
					is.NoErr(err)
					data, err := io.ReadAll(res.Body)
					is.NoErr(err)
					is.NoErr(res.Body.Close())
					is.Equal(string(data), c.body)
					is.Equal(len(s.sends), sends)
					is.True(idle(f))
				})
			})
		}
	}
}

// TestEndOfServerThatLeavesIsNotComplete guards against a response that looks complete though its server leaves in the
// moment in which it ends, and against whole ones of a server that has said before that it leaves.
func TestEndOfServerThatLeavesIsNotComplete(t *testing.T) {
	for _, name := range []string{"stream", "once"} {
		for _, before := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := delimited(event(1))
				first.pause = time.Second
				f := newCompletingForwarder(t, &sender{replies: []reply{first}}, io.Discard)
				leave := func() { f.Dispatcher.SetServers(nil) }
				if before {
					time.AfterFunc(time.Second/2, leave)
				} else {
					f.Sender.(*sender).replies[0].asked = leave
				}
				_, _, err := serve(t.Context(), f, name)
				is.Equal(err == nil, before)
				if !before {
					is.Equal(counted(t, f), map[string]int{endBroken: 1})
				}
			})
		}
	}
}
