package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
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

// noResume keeps no answers.
type noResume struct{}

// Resume implements runworks.Backend.
func (noResume) Resume(context.Context, runworks.RequestID, int64) (*runworks.Reply, error) {
	return nil, runworks.ErrGone
}

// Cancel implements runworks.Backend.
func (noResume) Cancel(context.Context, runworks.RequestID) {}

// fakeBackend counts calls and answers with a body, or fails.
type fakeBackend struct {
	noResume
	calls int
	err   error
	body  string
}

// Do implements runworks.Backend.
func (b *fakeBackend) Do(context.Context, runworks.RequestID, *runworks.Call) (*runworks.Reply, error) {
	b.calls++
	if b.err != nil {
		return nil, b.err
	}
	return &runworks.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(b.body))}, nil
}

// newTestAgent starts an agent with one request that it has claimed.
func newTestAgent(t *testing.T, backend *fakeBackend) (a *Agent, claimed *run) {
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

func (a *Agent) order(id runworks.RequestID) *RunRequest {
	return &RunRequest{ID: id, Incarnation: a.incarnation, Timeout: time.Minute}
}

// wantState checks that a run was refused with a state.
func wantState(t *testing.T, err error, want control.RunState) {
	t.Helper()
	var refusal *RefusalError
	if !errors.As(err, &refusal) || refusal.State != want {
		t.Errorf("got %v, want a refusal with %q", err, want)
	}
}

// TestRunsOnce sends an order again, in every state, and to another life.
func TestRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &fakeBackend{body: "answer"}
		a, _ := newTestAgent(t, backend)
		defer a.Close()
		other := a.order("1.1")
		other.Incarnation = "another life"
		wantState(t, a.StartRun(t.Context(), other), control.StateUnknown)
		wantState(t, a.StartRun(t.Context(), a.order("2.1")), control.StateUnknown)
		is.NoErr(a.StartRun(t.Context(), a.order("1.1")))
		wantState(t, a.StartRun(t.Context(), a.order("1.1")), control.StateRunning)
		synctest.Wait()
		wantState(t, a.StartRun(t.Context(), a.order("1.1")), control.StateEnded)
		is.Equal(backend.calls, 1)
	})
}

// TestGrantLapses lets a grant come too late, as to an agent that was frozen.
func TestGrantLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &fakeBackend{}
		a, _ := newTestAgent(t, backend)
		defer a.Close()
		time.Sleep(control.GrantTimeout + time.Millisecond)
		wantState(t, a.StartRun(t.Context(), a.order("1.1")), control.StateTombstoned)
		is.Equal(backend.calls, 0)
		is.Equal(a.Heartbeat().Running, 0) // its slot is free
	})
}

// TestRevoked bars a request before the order comes; asking alone does not.
func TestRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &fakeBackend{}
		a, _ := newTestAgent(t, backend)
		defer a.Close()
		is.Equal(a.Revoke(control.Revoke{ID: "1.1", QueryOnly: true}), control.StateClaimed)
		is.Equal(a.Revoke(control.Revoke{ID: "1.1"}), control.StateTombstoned)
		wantState(t, a.StartRun(t.Context(), a.order("1.1")), control.StateTombstoned)
		is.Equal(a.Revoke(control.Revoke{ID: "unheard of"}), control.StateUnknown)
		is.Equal(backend.calls, 0)
	})
}

// TestFreedOnce gives a slot back once, whatever comes together.
func TestFreedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, claimed := newTestAgent(t, &fakeBackend{})
		defer a.Close()
		a.Revoke(control.Revoke{ID: "1.1"})
		a.Cancel("1.1")
		a.release(claimed)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.busy[0], 0)
	})
}

// TestNotDispatched tells a call that never left from one that failed, and keeps
// tickets away for a moment.
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
				is.NoErr(a.StartRun(t.Context(), a.order("1.1")))
				synctest.Wait()
				is.Equal(a.Revoke(control.Revoke{ID: "1.1"}), test.state)
				a.mu.Lock()
				reason := a.closedLocked(time.Now())
				a.mu.Unlock()
				is.Equal(reason == control.RefusedDown, test.down)
			})
		})
	}
}

// TestAnswerIsForgotten reads an answer again at an offset, and finds it gone
// once nobody can come for it.
func TestAnswerIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newTestAgent(t, &fakeBackend{body: "whole answer"})
		defer a.Close()
		is.NoErr(a.StartRun(t.Context(), a.order("1.1")))
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

// TestConfigureFollowsTheBackendServer builds the way to the backend server anew
// when its address or its kind changes, and only then.
func TestConfigureFollowsTheBackendServer(t *testing.T) {
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

// TestOrphanEnds lets a run go whose reader does not come back; one with a key
// goes on for longer.
func TestOrphanEnds(t *testing.T) {
	for _, keep := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a, _ := newTestAgent(t, &fakeBackend{})
			a.backend = &hangingBackend{}
			defer a.Close()
			o := a.order("1.1")
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

// hangingBackend answers only once its call is cancelled.
type hangingBackend struct{ noResume }

// Do implements runworks.Backend.
func (*hangingBackend) Do(ctx context.Context, _ runworks.RequestID, _ *runworks.Call) (*runworks.Reply, error) {
	<-ctx.Done()
	return nil, runworks.ErrBackend
}

// TestDrainWaits stops an agent whose run nobody reads just now: it waits until
// the run has ended and its answer was read.
func TestDrainWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newTestAgent(t, nil)
		hanging := &heldBackend{release: make(chan struct{})}
		a.backend = hanging
		defer a.Close()
		o := a.order("1.1")
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

// heldBackend answers once it is released.
type heldBackend struct {
	noResume
	release chan struct{}
}

// Do implements runworks.Backend.
func (b *heldBackend) Do(ctx context.Context, _ runworks.RequestID, _ *runworks.Call) (*runworks.Reply, error) {
	select {
	case <-ctx.Done():
		return nil, runworks.ErrBackend
	case <-b.release:
		return &runworks.Reply{Status: http.StatusOK, Body: http.NoBody}, nil
	}
}
