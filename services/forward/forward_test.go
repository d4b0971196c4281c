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
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/quarantine"
	"github.com/runworks/runworks/services/quota"
	"github.com/runworks/runworks/services/route"
)

// reply is the fake sender's result for one send.
type reply struct {
	err           error
	status        int
	notRun        bool
	addressReused bool
	// named reports that the response names its server.
	named bool
	// body is sent whole, or up to an error if broken is set.
	body   string
	broken error
	// pause is the time from the body's last byte to its end.
	pause time.Duration
	// confirmedAfter is how long the server takes to confirm the end of the response; 0 does not ask it.
	confirmedAfter time.Duration
	// gap is the time before each event of the body.
	gap time.Duration
	// closeDelimited reports that only the end of the connection ends the response.
	closeDelimited bool
	// shown reports that the body shows its end.
	shown bool
	// asked is called while the server is asked for the end of the response; may be nil.
	asked func()
	// hang waits for the end of the call's context.
	hang bool
	// exited reports that the server's process has exited afterwards.
	exited bool
	// report is the server report, and reportErr the error of an invalid one.
	report    runworks.ServerReport
	reportErr error
	// contentType is the type of the body; empty for none.
	contentType string
}

func (r *reply) header() http.Header {
	header := http.Header{}
	if r.contentType != "" {
		header.Set("Content-Type", r.contentType)
	}
	return header
}

// sender is a fake that returns its replies in turn.
type sender struct {
	replies []reply
	// mu guards sends and confirmTimes while calls run.
	mu    sync.Mutex
	sends []runworks.Send
	// confirmTimes are those of Send.ConfirmEnd at the ends of responses that only their connection ends.
	confirmTimes []time.Duration
	// replaced reports that other servers respond at the addresses.
	replaced bool
	// connected is called with the server once there is a connection, before a byte is sent; may be
	// nil.
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
	s.mu.Lock()
	n := len(s.sends)
	s.sends = append(s.sends, *send)
	s.mu.Unlock()
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
	atEnd := func() error {
		switch {
		case !r.closeDelimited, r.shown, r.broken != nil && send.ConfirmEnd == nil:
			return end
		case send.ConfirmEnd == nil:
			return errorx.Decorate(runworks.ErrUnconfirmed, "not asked")
		}
		wait := send.ConfirmEnd()
		if r.asked != nil {
			r.asked()
		}
		s.mu.Lock()
		s.confirmTimes = append(s.confirmTimes, wait)
		s.mu.Unlock()
		if r.confirmedAfter > max(wait, 400*time.Millisecond) {
			return errorx.Decorate(runworks.ErrUnconfirmed, "silent")
		}
		return end
	}
	body := io.NopCloser(io.MultiReader(&eventReader{rest: r.body, gap: r.gap}, &errReader{ctx: ctx, err: atEnd, pause: r.pause}))
	status := r.status
	if status == 0 {
		status = http.StatusOK
	}
	responder := ""
	if r.named {
		responder = send.To.ID
	}
	return &runworks.ServerReply{Responder: responder, Reply: runworks.Reply{Status: status, Header: r.header(), Body: body}, CloseDelimited: r.closeDelimited, ShowsEnd: func() bool { return r.shown }, NotRun: r.notRun, AddressReused: r.addressReused, Report: r.report, ReportErr: r.reportErr}, nil
}

// Responds implements runworks.Sender.
func (s *sender) Responds(context.Context, runworks.Instance, string) bool { return !s.replaced }

// WatchExit implements runworks.Sender for the server of the last send.
func (s *sender) WatchExit(_ context.Context, _ runworks.Instance, ended func()) {
	if s.replies[min(len(s.sends), len(s.replies))-1].exited {
		ended()
	}
}

// eventReader returns a body, with a gap before each event if there is one.
type eventReader struct {
	rest string
	gap  time.Duration
}

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	if r.rest == "" {
		return 0, io.EOF
	}
	next := len(r.rest)
	if r.gap > 0 {
		time.Sleep(r.gap)
		next = strings.Index(r.rest, "\n\n") + len("\n\n")
	}
	n := copy(p, r.rest[:next])
	r.rest = r.rest[n:]
	return n, nil
}

// errReader returns an error at the end of a body.
type errReader struct {
	ctx   context.Context
	err   func() error
	pause time.Duration
}

// Read implements io.Reader.
func (f *errReader) Read([]byte) (int, error) {
	pause.For(f.ctx, f.pause)
	if f.pause > 0 && f.ctx.Err() != nil {
		return 0, context.Cause(f.ctx)
	}
	return 0, f.err()
}

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

// threeServers returns servers whose IDs have a common prefix.
func threeServers(prefix string) []runworks.Instance {
	var list []runworks.Instance
	for i := range 3 {
		list = append(list, runworks.Instance{ID: fmt.Sprint(prefix, i), Service: "app", Slots: 4})
	}
	return list
}

// failureOf returns the failure in err, which must hold one.
func failureOf(is *is.I, err error) *runworks.Failure {
	is.Helper()
	var failure *runworks.Failure
	is.True(errors.As(err, &failure))
	return failure
}

// setMaxAttempts sets the attempts of all routes.
func setMaxAttempts(f *Forwarder, n int) {
	r := testRouting()
	for i := range r.Routes {
		r.Routes[i].MaxAttempts = n
	}
	f.Table.Store(route.NewTable(r))
}

// newForwarder returns a forwarder with three servers and a logger that writes to out.
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
		Dispatcher: d, Quota: &quota.Quota{}, Budgets: &Budgets{Slack: 100}, Quarantine: &quarantine.Quarantine{}, Sender: s, Metrics: set, Tracer: tracing.Noop(),
		Logger: hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true}),
	}
	f.Table.Store(route.NewTable(testRouting()))
	f.Origins.SetServers(time.Now(), threeServers("s"))
	return f
}

// newCompletingForwarder returns a forwarder that counts closes as the ends of responses, as long as their server runs.
func newCompletingForwarder(t *testing.T, s *sender, out io.Writer) *Forwarder {
	t.Helper()
	f := newForwarder(t, s, out)
	f.CompleteAtClose = []string{"app"}
	return f
}

// serve sends one call and reads the whole response.
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

// TestCallByOlderRoutingIsLogged guards against calls that a front handles by a routing which others have
// replaced, without a trace in its log.
func TestCallByOlderRoutingIsLogged(t *testing.T) {
	for _, newer := range []int64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			f := newForwarder(t, &sender{replies: []reply{good}}, &out)
			version, reported := f.Table.Load().Routing.Version+newer, time.Now()
			f.NewerRouting = func() (int64, time.Time) { return version, reported }
			time.Sleep(5 * time.Second)
			_, _, err := serve(context.Background(), f, "once")
			is.NoErr(err)
			is.Equal(strings.Contains(out.String(), fmt.Sprintf(`"newer_routing_ms":5000,"newer_routing_version":%d`, version)), newer > 0)
		})
	}
}

var (
	rejected     = reply{status: 503, notRun: true}
	moved        = reply{status: 421, notRun: true, addressReused: true}
	taken        = reply{addressReused: true, body: "id: 3\ndata: c\n\n"}
	unreachable  = reply{err: errorx.Decorate(runworks.ErrNotDispatched, "refused")}
	lost         = reply{err: errorx.Decorate(runworks.ErrBackend, "reset")}
	failed       = reply{status: 500, body: "sorry"}
	good         = reply{body: "data: good\n\n"}
	truncated    = reply{body: "go", broken: errReset}
	brokenStream = reply{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", broken: errReset}
	restOfStream = reply{body: "id: 3\ndata: c\n\n"}
)

// TestAttempts sends calls of each kind to servers that fail in each way: a call that must not run
// twice is retried only if it is certain that it did not run.
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
		{"rejected, then served", "once", []reply{rejected, good}, 2, 200, good.body, ""},
		{"address reused, then served", "once", []reply{moved, good}, 2, 200, good.body, ""},
		{"another server responds: may have run", "once", []reply{taken, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"another server rejects, then served", "once", []reply{{status: 503, notRun: true, addressReused: true}, good}, 2, 200, good.body, ""},
		{"repeatable, and another server responds", "safe", []reply{taken, good}, 2, 200, good.body, ""},
		{"another server sends a failure", "safe", []reply{{status: 500, addressReused: true}, lost}, 2, 0, "", runworks.OutcomeUnknown},
		{"another server sends a stream", "stream", []reply{taken, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"another server sends a resumable stream", "resumable", []reply{taken, restOfStream}, 2, 200, restOfStream.body, ""},
		{"another server continues a stream", "resumable", []reply{{body: event(1) + event(2), broken: errReset}, taken, restOfStream}, 2, 200, "", runworks.OutcomeUnknown},
		{"unreachable, then served", "once", []reply{unreachable, good}, 2, 200, good.body, ""},
		{"rejected everywhere", "once", []reply{rejected}, 3, 0, "", runworks.OutcomeNotRun},
		{"lost: may have run", "once", []reply{lost, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"truncated response", "once", []reply{truncated, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"server's failure is passed on", "once", []reply{failed, good}, 1, 500, "sorry", ""},
		{"rejected, then lost", "once", []reply{rejected, lost, good}, 2, 0, "", runworks.OutcomeUnknown},
		{"repeatable and lost", "safe", []reply{lost, good}, 2, 200, good.body, ""},
		{"repeatable and truncated", "safe", []reply{truncated, good}, 2, 200, good.body, ""},
		{"repeatable and failed", "safe", []reply{failed, good}, 2, 200, good.body, ""},
		{"repeatable, failed twice: server's own response", "safe", []reply{failed, lost, good}, 2, 500, "sorry", ""},
		{"no more attempts than the route allows", "safe", []reply{lost, lost, good}, 2, 0, "", runworks.OutcomeUnknown},
		{"a stream runs once", "stream", []reply{lost, good}, 1, 0, "", runworks.OutcomeUnknown},
		{"a resumable stream may run again", "resumable", []reply{lost, restOfStream}, 2, 200, restOfStream.body, ""},
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

// TestTimeLimitInQueue checks that a call whose time ends while it waits for a server fails as not
// run, with a Retry-After estimate.
func TestTimeLimitInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{hang: true}}}
		f := newForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 4 { // takes all slots
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

// TestTimeLimit checks that a hanging call ends at its route's timeout, and that the server gets no
// more than the time left.
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

// TestAnswerTimeout checks that a call that may run again is taken from a server that does not
// respond, and that one that must run once stays there.
func TestAnswerTimeout(t *testing.T) {
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
				is.Equal(time.Since(began), answerTimeoutTargets*time.Second)
			} else {
				is.True(err != nil)
			}
		})
	}
}

// TestHangingServerIsEjected checks that calls whose callers leave after a long silence count
// against the server, so that a hanging server gets no more calls.
func TestHangingServerIsEjected(t *testing.T) {
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

// TestStopping checks that streams are refused as not run near the end of a planned stop, while
// short calls are served.
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

// TestAbortPending aborts calls near the end of a planned stop: a waiting one fails as not run,
// with a Retry-After estimate; for a running one the outcome is unknown; a stream that has begun
// continues.
func TestAbortPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", gap: time.Second}, {hang: true}}}
		f := newForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers([]runworks.Instance{{ID: "only", Service: "app", Slots: 2}})
		in := &runworks.Inbound{ID: "stream", Host: "h", Path: "/stream/x", Target: "/stream/x", Received: time.Now()}
		begun, err := f.Serve(context.Background(), in)
		is.NoErr(err)
		first := make([]byte, len("id: 1\ndata: a\n\n"))
		_, err = io.ReadFull(begun.Body, first)
		is.NoErr(err)
		failures := map[string]*runworks.Failure{}
		var work sync.WaitGroup
		var mu sync.Mutex
		for _, name := range []string{"runs", "waits"} {
			work.Go(func() {
				call := &runworks.Inbound{ID: runworks.RequestID(name), Host: "h", Path: "/once/x", Target: "/once/x", Received: time.Now()}
				_, err := f.Serve(context.Background(), call)
				var failure *runworks.Failure
				is.True(errors.As(err, &failure)) // failureOf must run in the test goroutine
				mu.Lock()
				defer mu.Unlock()
				failures[name] = failure
			})
			synctest.Wait()
		}
		f.AbortPending()
		work.Wait()
		synctest.Wait()
		is.True(errors.Is(failures["waits"], runworks.ErrStopping))
		is.Equal(failures["waits"].Outcome, runworks.OutcomeNotRun)
		is.True(failures["waits"].RetryAfter > 0)
		is.Equal(failures["runs"].Outcome, runworks.OutcomeUnknown)
		body, _ := begun.Body.(*stream)
		is.NoErr(body.ctx.Err()) // its end would close the connection to the server
		data, err := io.ReadAll(begun.Body)
		is.NoErr(err)
		is.Equal(string(first)+string(data), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		is.NoErr(begun.Body.Close())
	})
}

// TestCallerCancels checks that a call ends as soon as its caller leaves.
func TestCallerCancels(t *testing.T) {
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

// TestNoRoutingOrServer checks that calls fail as not run while there is no routing, or no server
// of the service.
func TestNoRoutingOrServer(t *testing.T) {
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

// TestLimitCountsOnlyCallsThatRan checks that tokens of the customer's limit are released if the
// call did not run and stay consumed if it did.
func TestLimitCountsOnlyCallsThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{rejected}}
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

// TestRetryAfterLimitIsSpread checks that callers refused by a limit get a Retry-After past the
// time at which it opens, and not all the same one.
func TestRetryAfterLimitIsSpread(t *testing.T) {
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
			is.True(late >= 0 && late < retryKnownTimeSpread)
			parts[late*time.Duration(len(parts))/retryKnownTimeSpread]++
		}
		for _, n := range parts {
			is.True(n < calls/2)
		}
	})
}

// TestOneLogLinePerCall checks that one line is logged, with what decided the call.
func TestOneLogLinePerCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		s := &sender{replies: []reply{rejected, brokenStream, restOfStream}}
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

// TestCallWaitsUntilReady checks that a call that arrives before the entry has read its state waits
// for it and is served, and that it fails after readyTimeout.
func TestCallWaitsUntilReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &sender{replies: []reply{good, good}}, io.Discard)
		opened := make(chan struct{})
		f.Ready = opened
		table := f.Table.Swap(nil)
		began := time.Now()
		_, _, err := serve(context.Background(), f, "once")
		is.True(errors.Is(err, runworks.ErrNotReady))
		is.Equal(time.Since(began), readyTimeout)
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

// TestCallerDisconnected checks that nothing is sent or retried for a caller whose connection is
// closed. The call fails as not run unless an attempt ran, and nothing counts against the servers.
func TestCallerDisconnected(t *testing.T) {
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

// TestEndAfterServerRestartIsNotComplete guards against a response that looks complete because it ends, without
// a length or chunks, right after it is known that its server restarted.
func TestEndAfterServerRestartIsNotComplete(t *testing.T) {
	for _, name := range []string{"stream", "once"} {
		for _, restarts := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: []reply{{body: "id: 1\ndata: a\n\n", closeDelimited: true, pause: 300 * time.Millisecond}}}
				f := newCompletingForwarder(t, s, io.Discard)
				incarnation := func(born int64) []runworks.Instance {
					return []runworks.Instance{{ID: "i", Generation: born, Service: "app", Slots: 4}}
				}
				f.Dispatcher.SetServers(incarnation(100))
				time.AfterFunc(250*time.Millisecond, func() {
					if restarts {
						f.Dispatcher.SetServers(incarnation(200))
					}
				})
				_, _, err := serve(t.Context(), f, name)
				is.Equal(err != nil, restarts)
			})
		}
	}
}

// TestServerRestart checks that calls at a server end as soon as it restarts, as their state is
// lost there: a call that may run again is retried, for the other the outcome is unknown.
func TestServerRestart(t *testing.T) {
	for _, name := range []string{"safe", "once", "resumable"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{{hang: true}, good}}
			f := newForwarder(t, s, io.Discard)
			incarnation := func(born int64) []runworks.Instance {
				return []runworks.Instance{{ID: "i", Generation: born, Service: "app", Slots: 4}}
			}
			f.Dispatcher.SetServers(incarnation(100))
			began := time.Now()
			time.AfterFunc(300*time.Millisecond, func() { f.Dispatcher.SetServers(incarnation(200)) })
			_, text, err := serve(t.Context(), f, name)
			is.True(time.Since(began) < 500*time.Millisecond)
			if name != "once" {
				is.NoErr(err)
				is.Equal(text, good.body)
				is.Equal(s.sends[1].To.Generation, int64(200)) // the new incarnation does not know the call
				return
			}
			failure := failureOf(is, err)
			is.Equal(failure.Outcome, runworks.OutcomeUnknown)
			is.True(strings.Contains(failure.Error(), errServerRestarted.Error()))
			is.Equal(len(s.sends), 1)
		})
	}
}
