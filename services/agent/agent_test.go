package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/services/control"
	"github.com/runworks/runworks/services/reservation"
)

// noResume is a backend that can't resume responses.
type noResume struct{}

// Resume implements runworks.Backend.
func (noResume) Resume(context.Context, runworks.RequestID, int64) (*runworks.Reply, error) {
	return nil, runworks.ErrGone
}

// Cancel implements runworks.Backend.
func (noResume) Cancel(context.Context, runworks.RequestID) {}

// fakeBackend counts calls. It responds with body, or fails with err.
type fakeBackend struct {
	noResume
	calls int
	err   error
	body  string
	// contentType is the content type of the response; empty for none.
	contentType string
	// release, if not nil, holds the answer until it is closed.
	release chan struct{}
}

// Do implements runworks.Backend.
func (b *fakeBackend) Do(context.Context, runworks.RequestID, *runworks.Call) (*runworks.Reply, error) {
	b.calls++
	if b.release != nil {
		<-b.release
	}
	if b.err != nil {
		return nil, b.err
	}
	header := http.Header{}
	if b.contentType != "" {
		header.Set("Content-Type", b.contentType)
	}
	return &runworks.Reply{Status: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader(b.body))}, nil
}

// newTestAgent returns a started agent with one claimed request, 1.1.
func newTestAgent(t *testing.T, backend runworks.Backend) (a *Agent, claimed *run) {
	t.Helper()
	set, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	a = &Agent{
		Name: "host-e1", Server: "e1", Config: &config.Follower{Logger: hclog.NewNullLogger()},
		Connect: func(runworks.ServiceKind, string) runworks.Backend { return backend },
		Logger:  hclog.NewNullLogger(), Metrics: set, Tracer: tracing.Noop(),
	}
	a.Start(t.Context())
	a.Configure(config.NewSnapshot(1, &runworks.Config{Services: []runworks.Service{{
		Name: "llm", BackendServers: []runworks.BackendServer{{Name: "e1", Address: "http://e1", Slots: 2}},
	}}}))
	claimed = newRun(&reservation.Item{Reservation: runworks.Reservation{ID: "1.1", PromptTokens: 5}})
	a.mu.Lock()
	a.runs[claimed.id] = claimed
	a.busy[0]++
	a.mu.Unlock()
	return a, claimed
}

func (a *Agent) runRequest(id runworks.RequestID) *RunRequest {
	return &RunRequest{ID: id, Incarnation: a.incarnation, Timeout: time.Minute}
}

// wantState checks that err is a RefusalError with the state.
func wantState(t *testing.T, err error, want control.RunState) {
	t.Helper()
	var refusal *RefusalError
	if !errors.As(err, &refusal) || refusal.State != want {
		t.Errorf("got %v, want a refusal with %q", err, want)
	}
}

// TestRunsOnce checks that a request which is delivered again, in any state, or to another
// incarnation of the agent, does not run a second time.
func TestRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &fakeBackend{body: "answer", release: make(chan struct{})}
		a, _ := newTestAgent(t, backend)
		defer a.Close()
		other := a.runRequest("1.1")
		other.Incarnation = "another incarnation"
		wantState(t, a.StartRun(t.Context(), other), control.StateUnknown)
		wantState(t, a.StartRun(t.Context(), a.runRequest("2.1")), control.StateUnknown)
		is.NoErr(a.StartRun(t.Context(), a.runRequest("1.1")))
		wantState(t, a.StartRun(t.Context(), a.runRequest("1.1")), control.StateRunning)
		close(backend.release)
		synctest.Wait()
		wantState(t, a.StartRun(t.Context(), a.runRequest("1.1")), control.StateEnded)
		is.Equal(backend.calls, 1)
	})
}

// TestGrantExpires delivers a grant after its limit, as to an agent whose process was
// suspended. The request must not run, as its entry may have sent it elsewhere by then.
func TestGrantExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &fakeBackend{}
		a, _ := newTestAgent(t, backend)
		defer a.Close()
		time.Sleep(control.GrantTimeout + time.Millisecond)
		wantState(t, a.StartRun(t.Context(), a.runRequest("1.1")), control.StateTombstoned)
		is.Equal(backend.calls, 0)
		is.Equal(a.Heartbeat().Running, 0) // its slot is free
	})
}

// TestRevoked revokes a claimed request before it is delivered; a query alone does not revoke
// it.
func TestRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &fakeBackend{}
		a, _ := newTestAgent(t, backend)
		defer a.Close()
		is.Equal(a.Revoke(control.Revoke{ID: "1.1", QueryOnly: true}), control.StateClaimed)
		is.Equal(a.Revoke(control.Revoke{ID: "1.1"}), control.StateTombstoned)
		wantState(t, a.StartRun(t.Context(), a.runRequest("1.1")), control.StateTombstoned)
		is.Equal(a.Revoke(control.Revoke{ID: "unknown"}), control.StateUnknown)
		is.Equal(backend.calls, 0)
	})
}

// TestFreedOnce revokes, cancels and drops one claim: its slot must be freed only once.
func TestFreedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, claimed := newTestAgent(t, &fakeBackend{})
		defer a.Close()
		a.Revoke(control.Revoke{ID: "1.1"})
		a.Cancel("1.1")
		a.dropClaim(claimed)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.busy[0], 0)
	})
}

// TestNotDispatched checks that a call which was not dispatched is not counted as run, unlike
// one that failed, and that reservations are refused for a time afterwards.
func TestNotDispatched(t *testing.T) {
	tests := []struct {
		name  string
		err   error
		state control.RunState
		down  bool
	}{
		{"refused", runworks.ErrNotDispatched, control.StateTombstoned, true},
		{"broken", runworks.ErrBackend, control.StateEnded, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, _ := newTestAgent(t, &fakeBackend{err: test.err})
				defer a.Close()
				is.NoErr(a.StartRun(t.Context(), a.runRequest("1.1")))
				synctest.Wait()
				is.Equal(a.Revoke(control.Revoke{ID: "1.1"}), test.state)
				a.mu.Lock()
				reason := a.refusalReasonLocked(time.Now())
				a.mu.Unlock()
				is.Equal(reason == control.RefusedDown, test.down)
			})
		})
	}
}

// TestAnswerRetention reads a response again at an offset. Once no reader can return, first
// the response and then the record of the run is dropped.
func TestAnswerRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newTestAgent(t, &fakeBackend{body: "whole answer"})
		defer a.Close()
		is.NoErr(a.StartRun(t.Context(), a.runRequest("1.1")))
		synctest.Wait()
		reader, err := a.Open("1.1", a.incarnation)
		is.NoErr(err)
		p, _, err := reader.Next(t.Context(), 6)
		is.NoErr(err)
		is.Equal(string(p), "answer")
		_, end, err := reader.Next(t.Context(), 12)
		is.NoErr(err)
		is.True(end)
		reader.Close()
		time.Sleep(time.Minute)
		_, err = a.Open("1.1", a.incarnation)
		wantState(t, err, control.StateEnded)
		time.Sleep(control.RunRetention)
		_, err = a.Open("1.1", a.incarnation)
		wantState(t, err, control.StateUnknown)
	})
}

// resumingBackend is a fakeBackend that serves rest to a resume.
type resumingBackend struct {
	fakeBackend
	rest string
	from int64
}

// Resume implements runworks.Backend.
func (b *resumingBackend) Resume(_ context.Context, _ runworks.RequestID, from int64) (*runworks.Reply, error) {
	b.from = from
	return &runworks.Reply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(b.rest))}, nil
}

// TestStreamEndingInsideEventIsNotComplete guards against a cut stream that is remembered, and read by
// later callers, as a complete one.
func TestStreamEndingInsideEventIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name, contentType, body, rest string
		complete                      bool
	}{
		{"whole", "text/event-stream", "data: a\n\n", "", true},
		{"cut", "text/event-stream; charset=utf-8", "data: a\n\nda", "", false},
		{"cut and resumed", "text/event-stream", "data: a\n\nda", "ta: b\n\n", true},
		{"no event stream", "application/json", "{}", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				backend := &resumingBackend{fakeBackend: fakeBackend{body: c.body, contentType: c.contentType}, rest: c.rest}
				a, _ := newTestAgent(t, backend)
				defer a.Close()
				is.NoErr(a.StartRun(t.Context(), a.runRequest("1.1")))
				synctest.Wait()
				for range 2 { // the first caller, and one that joins the ended run
					reader, err := a.Open("1.1", a.incarnation)
					is.NoErr(err)
					data, _, err := reader.Next(t.Context(), 0)
					is.NoErr(err)
					is.Equal(string(data), c.body+c.rest)
					_, end, err := reader.Next(t.Context(), int64(len(data)))
					is.True(end)
					is.Equal(err == nil, c.complete)
					reader.Close()
				}
				if c.rest != "" {
					is.Equal(backend.from, int64(len(c.body)))
				}
			})
		})
	}
}

// unconfirmedBackend is a resumingBackend whose response ends without a sign that this is its end. It has a rest
// if known is set.
type unconfirmedBackend struct {
	resumingBackend
	known bool
}

// Do implements runworks.Backend.
func (b *unconfirmedBackend) Do(context.Context, runworks.RequestID, *runworks.Call) (*runworks.Reply, error) {
	body := io.MultiReader(strings.NewReader(b.body), iotest.ErrReader(runworks.ErrUnconfirmed))
	return &runworks.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
}

// Resume implements runworks.Backend.
func (b *unconfirmedBackend) Resume(ctx context.Context, id runworks.RequestID, from int64) (*runworks.Reply, error) {
	if !b.known {
		return nil, runworks.ErrGone
	}
	return b.resumingBackend.Resume(ctx, id, from)
}

// TestUnconfirmedResponseIsNotRemembered guards against a response whose end nothing confirms that its caller, or
// one that joins the ended run, gets as a complete one.
func TestUnconfirmedResponseIsNotRemembered(t *testing.T) {
	for _, c := range []struct {
		name     string
		known    bool
		rest     string
		complete bool
	}{
		{"nothing is left", true, "", true},
		{"a rest is left", true, "rest", true},
		{"the request is unknown", false, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, _ := newTestAgent(t, &unconfirmedBackend{resumingBackend{fakeBackend: fakeBackend{body: "half"}, rest: c.rest}, c.known})
				defer a.Close()
				is.NoErr(a.StartRun(t.Context(), a.runRequest("1.1")))
				synctest.Wait()
				for range 2 {
					reader, err := a.Open("1.1", a.incarnation)
					is.NoErr(err)
					data, _, err := reader.Next(t.Context(), 0)
					is.NoErr(err)
					is.Equal(string(data), "half"+c.rest)
					_, end, err := reader.Next(t.Context(), int64(len(data)))
					is.True(end)
					is.Equal(err == nil, c.complete)
					reader.Close()
				}
			})
		})
	}
}

// TestConfigureReconnects checks that the backend is replaced if the address or the kind of
// the backend server changes, and only then.
func TestConfigureReconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newTestAgent(t, &fakeBackend{})
		defer a.Close()
		var built []string
		a.Connect = func(kind runworks.ServiceKind, address string) runworks.Backend {
			built = append(built, string(kind)+" "+address)
			return &fakeBackend{}
		}
		steps := []struct {
			kind    runworks.ServiceKind
			address string
		}{
			{runworks.KindEngine, "http://a"}, {runworks.KindEngine, "http://a"},
			{runworks.KindPlain, "http://a"}, {runworks.KindPlain, "http://b"},
		}
		for i, step := range steps {
			a.Configure(config.NewSnapshot(int64(i+2), &runworks.Config{Services: []runworks.Service{{
				Name: "s", Kind: step.kind, BackendServers: []runworks.BackendServer{{Name: "e1", Address: step.address, Slots: 2}},
			}}}))
		}
		is.Equal(built, []string{"engine http://a", "plain http://a", "plain http://b"})
	})
}

// TestOrphanTimeout checks that a run without a reader is cancelled after its timeout, which is
// longer for a run with an idempotency key.
func TestOrphanTimeout(t *testing.T) {
	for _, keep := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a, _ := newTestAgent(t, &fakeBackend{})
			a.backend = &hangingBackend{}
			defer a.Close()
			o := a.runRequest("1.1")
			o.KeepRunning, o.Timeout = keep, time.Hour
			is.NoErr(a.StartRun(t.Context(), o))
			time.Sleep(DefaultOrphanTimeout + time.Millisecond)
			want := control.StateEnded
			if keep {
				want = control.StateRunning
			}
			is.Equal(a.Revoke(control.Revoke{ID: "1.1"}), want)
			time.Sleep(DefaultKeyedOrphanTimeout)
			is.Equal(a.Revoke(control.Revoke{ID: "1.1"}), control.StateEnded)
		})
	}
}

// hangingBackend responds only after its call is cancelled.
type hangingBackend struct{ noResume }

// Do implements runworks.Backend.
func (*hangingBackend) Do(ctx context.Context, _ runworks.RequestID, _ *runworks.Call) (*runworks.Reply, error) {
	<-ctx.Done()
	return nil, runworks.ErrBackend
}

// TestDrainWaits drains an agent with a run that has no reader at the time: Drain must wait
// until the run has ended and its response was read.
func TestDrainWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newTestAgent(t, nil)
		hanging := &gatedBackend{release: make(chan struct{})}
		a.backend = hanging
		defer a.Close()
		o := a.runRequest("1.1")
		o.KeepRunning, o.Timeout = true, time.Hour
		is.NoErr(a.StartRun(t.Context(), o))
		drained := make(chan struct{})
		go func() {
			_ = a.Drain(t.Context())
			close(drained)
		}()
		time.Sleep(DefaultKeyedOrphanTimeout / 2)
		select {
		case <-drained:
			t.Fatal("drained while a request runs")
		default:
		}
		close(hanging.release)
		synctest.Wait()
		reader, err := a.Open("1.1", a.incarnation)
		is.NoErr(err)
		_, end, err := reader.Next(t.Context(), 0)
		is.NoErr(err)
		is.True(end)
		reader.Close()
		<-drained
	})
}

// gatedBackend responds once release is closed.
type gatedBackend struct {
	noResume
	release chan struct{}
}

// Do implements runworks.Backend.
func (b *gatedBackend) Do(ctx context.Context, _ runworks.RequestID, _ *runworks.Call) (*runworks.Reply, error) {
	select {
	case <-ctx.Done():
		return nil, runworks.ErrBackend
	case <-b.release:
		return &runworks.Reply{Status: http.StatusOK, Body: http.NoBody}, nil
	}
}

// TestEndedResponsesAreBounded guards against an agent that keeps all responses which ended since the last sweep,
// and those whose callers left, until its memory is full.
func TestEndedResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 1 << 20
		a, _ := newTestAgent(t, &fakeBackend{body: strings.Repeat("0", size)})
		defer a.Close()
		a.MaxRetainedBytes = 4 * size
		held := 0
		for n := range 10 {
			id := runworks.RequestID(fmt.Sprintf("2.%d", n))
			a.mu.Lock()
			a.runs[id] = newRun(&reservation.Item{Reservation: runworks.Reservation{ID: id}})
			a.mu.Unlock()
			req := a.runRequest(id)
			req.KeepRunning = n%2 == 0
			is.NoErr(a.StartRun(t.Context(), req))
			synctest.Wait()
		}
		a.mu.Lock()
		for _, r := range a.runs {
			if r.response != nil {
				held += r.response.Size()
			}
		}
		a.mu.Unlock()
		is.Equal(held, a.MaxRetainedBytes)
		_, err := a.Open("2.5", a.incarnation)
		wantState(t, err, control.StateEnded)
		reader, err := a.Open("2.6", a.incarnation) // the newest ones are kept
		is.NoErr(err)
		reader.Close()

		is.Equal(a.Cancel("2.9"), control.StateEnded) // its caller left
		_, err = a.Open("2.9", a.incarnation)
		wantState(t, err, control.StateEnded)
		retained := func() (bytes, runs int) {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.retainedBytes, len(a.retained)
		}
		bytes, _ := retained()
		is.Equal(bytes, 3*size)
		time.Sleep(2 * a.KeyRetention)
		bytes, runs := retained()
		is.Equal(bytes, 0)
		is.Equal(runs, 0)
	})
}
