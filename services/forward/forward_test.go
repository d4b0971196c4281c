package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/quarantine"
	"github.com/runworks/runworks/services/quota"
	"github.com/runworks/runworks/services/route"
)

// reply is what the fake sender does with one send.
type reply struct {
	err    error
	status int
	notRun bool
	gone   bool
	// body is given whole, or up to broken if that is set.
	body   string
	broken error
	// hang waits for the end of the call.
	hang bool
	// ended says that the server's process is gone afterwards.
	ended bool
	// word is what the server says of itself, and wordErr what of it can't be read.
	word    runworks.ServerReport
	wordErr error
}

// sender is a fake that answers the sends in turn.
type sender struct {
	replies []reply
	sends   []runworks.Send
	// connected is told of a server once there is a connection to it, before a byte is sent;
	// nil tells nobody.
	connected func(server runworks.Instance)
}

// Send implements runworks.Sender.
func (s *sender) Send(ctx context.Context, send *runworks.Send) (*runworks.ServerReply, error) {
	if s.connected != nil {
		s.connected(send.To)
	}
	if err := send.BeforeSend(); err != nil {
		return nil, err
	}
	n := len(s.sends)
	s.sends = append(s.sends, *send)
	r := s.replies[min(n, len(s.replies)-1)]
	if r.hang {
		<-ctx.Done()
		return nil, errorx.Decorate(runworks.ErrBackend, "hung")
	}
	if r.err != nil {
		return nil, r.err
	}
	end := r.broken
	if end == nil {
		end = io.EOF
	}
	body := io.NopCloser(io.MultiReader(strings.NewReader(r.body), &failing{end}))
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	return &runworks.ServerReply{Reply: runworks.Reply{Status: status, Header: http.Header{}, Body: body}, NotRun: r.notRun, AddressReused: r.gone, Report: r.word, ReportErr: r.wordErr}, nil
}

// WatchExit implements runworks.Sender for the server that was sent to last.
func (s *sender) WatchExit(_ context.Context, _ runworks.Instance, ended func()) {
	if s.replies[min(len(s.sends), len(s.replies))-1].ended {
		ended()
	}
}

// failing ends a body with an error.
type failing struct{ err error }

// Read implements io.Reader.
func (f *failing) Read([]byte) (int, error) { return 0, f.err }

var errReset = errors.New("reset")

func testRouting() *runworks.Routing {
	shares := []runworks.ServiceShare{{Service: "app", Weight: 1}}
	base := runworks.Route{Host: "h", Timeout: 5 * time.Second, Target: time.Second, MaxGap: 100 * time.Millisecond, MaxAttempts: 2, Shares: shares}
	r := &runworks.Routing{Version: 1, Services: []runworks.RoutedService{{Name: "app"}}}
	for _, one := range []struct {
		name      string
		kind      runworks.CallKind
		resumable bool
	}{
		{"safe", runworks.CallRepeatable, false}, {"once", runworks.CallOnce, false},
		{"stream", runworks.CallStream, false}, {"resumable", runworks.CallStream, true},
	} {
		route := base
		route.Name, route.PathPrefix, route.Kind, route.Resumable = one.name, "/"+one.name+"/", one.kind, one.resumable
		r.Routes = append(r.Routes, route)
	}
	return r
}

// threeServers gives servers whose ids begin alike.
func threeServers(prefix string) []runworks.Instance {
	var list []runworks.Instance
	for i := range 3 {
		list = append(list, runworks.Instance{ID: fmt.Sprint(prefix, i), Service: "app", Slots: 4})
	}
	return list
}

// failureOf gives the failure in an error, which must hold one.
func failureOf(is *is.I, err error) *runworks.Failure {
	is.Helper()
	var failure *runworks.Failure
	is.True(errors.As(err, &failure))
	return failure
}

// newForwarder builds one with three servers and a logger that writes to out.
func newForwarder(t *testing.T, s *sender, out io.Writer) *Forwarder {
	t.Helper()
	set, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	d := &dispatch.Dispatcher{}
	d.SetServers(threeServers("s"))
	go d.Run(t.Context())
	f := &Forwarder{
		Dispatcher: d, Quota: &quota.Quota{}, Budgets: &Budgets{Slack: 100}, Quarantine: &quarantine.Quarantine{}, Sender: s, Metrics: set, Tracer: tracing.None(),
		Logger: hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true}),
	}
	f.Table.Store(route.NewTable(testRouting()))
	return f
}

// serve sends one call and gives the whole answer.
func serve(ctx context.Context, f *Forwarder, name string) (*runworks.Reply, string, error) {
	in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/" + name + "/x", Target: "/" + name + "/x", Received: time.Now()}
	res, err := f.Serve(ctx, in)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res, string(data), err
}

var (
	turnedAway = reply{status: 503, notRun: true}
	moved      = reply{status: 421, gone: true}
	unreached  = reply{err: errorx.Decorate(runworks.ErrNotDispatched, "refused")}
	lost       = reply{err: errorx.Decorate(runworks.ErrBackend, "reset")}
	failed     = reply{status: 500, body: "sorry"}
	good       = reply{body: "good"}
	cut        = reply{body: "go", broken: errReset}
	events     = reply{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", broken: errReset}
	rest       = reply{body: "id: 3\ndata: c\n\n"}
)

// TestAttempts sends calls of each kind to servers that fail in each way: what may
// run once is sent again only on proof that it did not run.
func TestAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   string
		replies []reply
		sends   int
		status  int
		body    string
		outcome runworks.Outcome
	}{
		{"turned away, then served", "once", []reply{turnedAway, good}, 2, 200, "good", ""},
		{"another server there, then served", "once", []reply{moved, good}, 2, 200, "good", ""},
		{"out of reach, then served", "once", []reply{unreached, good}, 2, 200, "good", ""},
		{"turned away everywhere", "once", []reply{turnedAway}, 3, 0, "", runworks.OutcomeNotRun},
		{"lost: may have run", "once", []reply{lost, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"cut in its answer", "once", []reply{cut, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"its own failure is passed on", "once", []reply{failed, good}, 1, 500, "sorry", ""},
		{"turned away, then lost", "once", []reply{turnedAway, lost, good}, 2, 0, "", runworks.OutcomeUnknown},
		{"repeatable and lost", "safe", []reply{lost, good}, 2, 200, "good", ""},
		{"repeatable and cut", "safe", []reply{cut, good}, 2, 200, "good", ""},
		{"repeatable and failed", "safe", []reply{failed, good}, 2, 200, "good", ""},
		{"repeatable, failed twice: its own answer", "safe", []reply{failed, lost, good}, 2, 500, "sorry", ""},
		{"no more attempts than the route allows", "safe", []reply{lost, lost, good}, 2, 0, "", runworks.OutcomeUnknown},
		{"a stream runs once", "stream", []reply{lost, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"a resumable stream may begin again", "resumable", []reply{lost, rest}, 2, 200, rest.body, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: c.replies}
				res, body, err := serve(context.Background(), newForwarder(t, s, io.Discard), c.route)
				is.Equal(len(s.sends), c.sends)
				if c.outcome == "" {
					is.NoErr(err)
					is.Equal(res.Status, c.status)
					is.Equal(body, c.body)
					return
				}
				failure := failureOf(is, err)
				is.Equal(failure.Outcome, c.outcome)
				is.Equal(failure.RetryAfter > 0, c.outcome == runworks.OutcomeNotRun)
			})
		})
	}
}

// TestWaitedToTheEnd tells a caller when to come back whose call waited for a server until its
// time was over.
func TestWaitedToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{hang: true}}}
		f := newForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 4 { // all slots there are
			go func() { _, _, _ = serve(ctx, f, "once") }()
			synctest.Wait()
		}
		began := time.Now()
		in := &runworks.Inbound{ID: "last", Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Received: began, Timeout: 2 * time.Second}
		_, err := f.Serve(context.Background(), in)
		failure := failureOf(is, err)
		is.True(errors.Is(err, runworks.ErrTimeLimit))
		is.Equal(time.Since(began), 2*time.Second)
		is.Equal(failure.Outcome, runworks.OutcomeNotRun)
		is.True(failure.RetryAfter > 0)
	})
}

// TestTimeLimit gives a call that hangs its answer at its route's time limit, and
// tells the server no more time than is left.
func TestTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{hang: true}}}
		began := time.Now()
		_, _, err := serve(context.Background(), newForwarder(t, s, io.Discard), "once")
		is.True(errors.Is(err, runworks.ErrTimeLimit))
		is.Equal(time.Since(began), 5*time.Second)
		is.Equal(s.sends[0].TimeLeft, 5*time.Second)
	})
}

// TestSilentServer takes a call that may run again from a server that gives no
// answer, and leaves one that runs once where it is.
func TestSilentServer(t *testing.T) {
	for _, c := range []struct {
		route string
		sends int
	}{{"safe", 2}, {"resumable", 2}, {"once", 1}, {"stream", 1}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{{hang: true}, good}}
			began := time.Now()
			_, _, err := serve(context.Background(), newForwarder(t, s, io.Discard), c.route)
			is.Equal(len(s.sends), c.sends)
			if c.sends == 2 {
				is.NoErr(err)
				is.Equal(time.Since(began), silentTargets*time.Second)
			} else {
				is.True(err != nil)
			}
		})
	}
}

// TestHangingServerIsLeftOut counts calls against a server that ended by their
// callers' leaving after a long silence: one that hangs gets no more.
func TestHangingServerIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{hang: true}}}
		f := newForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers([]runworks.Instance{{ID: "s0", Service: "app", Slots: 4}, {ID: "s1", Service: "app", Slots: 1}})
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			_, _, err := serve(ctx, f, "stream")
			is.True(err != nil)
			cancel()
		}
		is.Equal(s.sends[0].To.ID, s.sends[1].To.ID)
		s.replies = []reply{good}
		_, _, err := serve(context.Background(), f, "stream")
		is.NoErr(err)
		is.True(s.sends[2].To.ID != s.sends[1].To.ID)
	})
}

// TestStopping refuses streams near the end of a planned stop, as not run, and
// takes short calls.
func TestStopping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &sender{replies: []reply{good}}, io.Discard)
		f.Stopping.Store(true)
		_, _, err := serve(context.Background(), f, "stream")
		is.True(errors.Is(err, runworks.ErrStopping))
		_, _, err = serve(context.Background(), f, "once")
		is.NoErr(err)
		is.Equal(f.Active(), int64(0))
	})
}

// TestGiveUp ends calls near the end of a planned stop: one that waits did not run and is
// told when to come back, one that runs is told that it may have, and a stream that has
// begun goes on.
func TestGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{body: "id: 1\ndata: a\n\n"}, {hang: true}}}
		f := newForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers([]runworks.Instance{{ID: "only", Service: "app", Slots: 2}})
		in := &runworks.Inbound{ID: "stream", Host: "h", Path: "/stream/x", Target: "/stream/x", Received: time.Now()}
		begun, err := f.Serve(context.Background(), in)
		is.NoErr(err)
		failures := map[string]*runworks.Failure{}
		var work sync.WaitGroup
		var mu sync.Mutex
		for _, name := range []string{"runs", "waits"} {
			work.Go(func() {
				call := &runworks.Inbound{ID: runworks.RequestID(name), Host: "h", Path: "/once/x", Target: "/once/x", Received: time.Now()}
				_, err := f.Serve(context.Background(), call)
				var failure *runworks.Failure
				is.True(errors.As(err, &failure)) // failureOf is for one goroutine
				mu.Lock()
				defer mu.Unlock()
				failures[name] = failure
			})
			synctest.Wait()
		}
		f.AbortPending()
		work.Wait()
		is.True(errors.Is(failures["waits"], runworks.ErrStopping))
		is.Equal(failures["waits"].Outcome, runworks.OutcomeNotRun)
		is.True(failures["waits"].RetryAfter > 0)
		is.Equal(failures["runs"].Outcome, runworks.OutcomeUnknown)
		body, _ := begun.Body.(*stream)
		is.NoErr(body.ctx.Err()) // it ends the way to the server with it
		data, err := io.ReadAll(begun.Body)
		is.NoErr(err)
		is.Equal(string(data), "id: 1\ndata: a\n\n")
		is.NoErr(begun.Body.Close())
	})
}

// TestCallerLeaves ends a call whose caller left, at once.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{hang: true}}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		_, _, err := serve(ctx, newForwarder(t, s, io.Discard), "once")
		is.True(err != nil)
		is.Equal(time.Since(began), time.Second)
	})
}

// TestNothingKnown refuses calls as not run while no routing is known, and while
// no server of the service is.
func TestNothingKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &sender{replies: []reply{good}}, io.Discard)
		f.Dispatcher.SetServers(nil)
		_, _, err := serve(context.Background(), f, "once")
		is.True(errors.Is(err, runworks.ErrNoServer))
		f.Table.Store(nil)
		_, _, err = serve(context.Background(), f, "once")
		is.True(errors.Is(err, runworks.ErrNotReady))
		failure := failureOf(is, err)
		is.Equal(failure.Outcome, runworks.OutcomeNotRun)
		is.True(failure.RetryAfter > 0)
	})
}

// TestLimitCountsWhatRan gives what a call drew on its customer's limit back when
// the call did not run, and keeps it when it did.
func TestLimitCountsWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{turnedAway}}
		f := newForwarder(t, s, io.Discard)
		routing := testRouting()
		routing.Customers = []runworks.RoutedCustomer{{Name: "yard", KeySHA256: []string{runworks.HashKey("k")}, TokensPerSecond: 10, TokenBurst: 20, TokensPerCall: 100}}
		f.Table.Store(route.NewTable(routing))
		in := runworks.Inbound{ID: "1", Host: "h", Path: "/once/x", Target: "/once/x", APIKey: "k", Received: time.Now()}
		_, err := f.Serve(context.Background(), &in)
		is.True(errors.Is(err, runworks.ErrRejected))
		is.Equal(f.Quota.Consumed(time.Now())["yard"], 0.0)
		s.replies = []reply{good}
		again := in
		again.Received = time.Now()
		res, err := f.Serve(context.Background(), &again)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(f.Quota.Consumed(time.Now())["yard"], 100.0)
		_, err = f.Serve(context.Background(), &again)
		is.True(errors.Is(err, runworks.ErrLimit))
	})
}

// TestReturnToALimitIsSpread tells those whom a limit refused to come back after it opens, and
// not all in the same moment.
func TestReturnToALimitIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &sender{replies: []reply{good}}, io.Discard)
		routing := testRouting()
		routing.Customers = []runworks.RoutedCustomer{{Name: "yard", KeySHA256: []string{runworks.HashKey("k")}, TokensPerSecond: 10, TokenBurst: 20, TokensPerCall: 100}}
		f.Table.Store(route.NewTable(routing))
		in := runworks.Inbound{ID: "1", Host: "h", Path: "/once/x", Target: "/once/x", APIKey: "k", Received: time.Now()}
		_, err := f.Serve(context.Background(), &in)
		is.NoErr(err)
		opens := f.Quota.Reserve(time.Now(), &routing.Customers[0], 100).Wait
		is.True(opens > 0)
		const calls = 100
		parts := [5]int{}
		for range calls {
			again := in
			_, err := f.Serve(context.Background(), &again)
			is.True(errors.Is(err, runworks.ErrLimit))
			late := failureOf(is, err).RetryAfter - opens
			is.True(late >= 0 && late < retryOpenSpread)
			parts[late*time.Duration(len(parts))/retryOpenSpread]++
		}
		for _, n := range parts {
			is.True(n < calls/2)
		}
	})
}

// TestOneLineForEachCall writes one line with what decided the call.
func TestOneLineForEachCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		s := &sender{replies: []reply{turnedAway, events, rest}}
		_, _, err := serve(context.Background(), newForwarder(t, s, &out), "resumable")
		is.NoErr(err)
		line := out.String()
		is.Equal(strings.Count(line, "\n"), 1)
		for _, want := range []string{`"request":"1"`, `"route":"resumable"`, `"outcome":"done"`, `"routing_version":1`, `"servers":["s`, `"ran":2`, `"events":3`} {
			if !strings.Contains(line, want) {
				t.Errorf("no %s in %s", want, line)
			}
		}
	})
}

// TestHeldUntilOpened holds a call that comes before the entry has read its state, serves
// it once it has, and refuses one after a moment if it has not.
func TestHeldUntilOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &sender{replies: []reply{good, good}}, io.Discard)
		opened := make(chan struct{})
		f.Ready = opened
		table := f.Table.Swap(nil)
		began := time.Now()
		_, _, err := serve(context.Background(), f, "once")
		is.True(errors.Is(err, runworks.ErrNotReady))
		is.Equal(time.Since(began), startHold)
		began = time.Now()
		time.AfterFunc(20*time.Millisecond, func() {
			f.Table.Store(table)
			close(opened)
		})
		_, _, err = serve(context.Background(), f, "once")
		is.NoErr(err)
		is.Equal(time.Since(began), 20*time.Millisecond)
		ctx, leave := context.WithCancel(context.Background())
		f.Ready = make(chan struct{})
		began = time.Now()
		time.AfterFunc(10*time.Millisecond, leave)
		_, _, err = serve(ctx, f, "once")
		is.True(err != nil)
		is.Equal(time.Since(began), 10*time.Millisecond)
	})
}

// TestCallerThatLeft sends nothing for a caller whose connection is closed, at first or
// again: it is given up on as not run unless it ran before, and speaks against no server.
func TestCallerThatLeft(t *testing.T) {
	for _, sends := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{lost, good}}
			f := newForwarder(t, s, io.Discard)
			in := &runworks.Inbound{ID: "1", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Received: time.Now()}
			in.CallerDisconnected = func() bool { return len(s.sends) == sends }
			_, err := f.Serve(t.Context(), in)
			is.True(errors.Is(err, runworks.ErrCallerDisconnected))
			failure := failureOf(is, err)
			is.Equal(failure.Outcome == runworks.OutcomeNotRun, sends == 0)
			is.Equal(len(s.sends), sends)
			for _, one := range f.Dispatcher.ServerStatuses() {
				is.Equal(one.OwnCalls, 0)
				is.True(one.EjectedUntil.IsZero())
			}
		})
	}
}

// TestServerThatStartedAgain ends the calls that a server had in its last life at once: one
// that may run again goes on elsewhere, the other is told that its fate is unknown.
func TestServerThatStartedAgain(t *testing.T) {
	for _, name := range []string{"safe", "once", "resumable"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{{hang: true}, good}}
			f := newForwarder(t, s, io.Discard)
			lives := func(born int64) []runworks.Instance {
				return []runworks.Instance{{ID: "i", Generation: born, Service: "app", Slots: 4}}
			}
			f.Dispatcher.SetServers(lives(100))
			began := time.Now()
			time.AfterFunc(300*time.Millisecond, func() { f.Dispatcher.SetServers(lives(200)) })
			_, text, err := serve(t.Context(), f, name)
			is.True(time.Since(began) < 500*time.Millisecond)
			if name != "once" {
				is.NoErr(err)
				is.Equal(text, "good")
				is.Equal(s.sends[1].To.Generation, int64(200)) // the new life had nothing of it
				return
			}
			failure := failureOf(is, err)
			is.Equal(failure.Outcome, runworks.OutcomeUnknown)
			is.True(strings.Contains(failure.Error(), errStartedAgain.Error()))
			is.Equal(len(s.sends), 1)
		})
	}
}
