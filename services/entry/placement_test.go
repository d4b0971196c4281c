package entry

import (
	"fmt"
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
)

// newTestEntry returns an entry with links to two agents that are not served.
func newTestEntry(t *testing.T) (e *Entry, first, second *link) {
	t.Helper()
	set, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &config.Follower{Logger: hclog.NewNullLogger()}
	f.ApplyDocument(1, &runworks.Config{
		Services: []runworks.Service{{Name: "llm", Kind: runworks.KindEngine, Models: []string{"m"}, BackendServers: []runworks.BackendServer{
			{Name: "e1", Hall: "a", Address: "http://e1", Slots: 1}, {Name: "e2", Hall: "a", Address: "http://e2", Slots: 1},
		}}},
		Tiers: []runworks.Tier{{Name: "urgent", Timeout: time.Minute}},
		Rules: []runworks.Rule{{Services: []string{"llm"}, Tier: "urgent"}},
	})
	e = &Entry{Name: "entry", Config: f, Logger: hclog.NewNullLogger(), Metrics: set, Tracer: tracing.Noop()}
	e.Start()
	return e, testLink(e, "e1"), testLink(e, "e2")
}

func testLink(e *Entry, server string) *link {
	l := &link{entry: e, member: &member{}, server: server, flush: make(chan struct{}, 1), heartbeat: control.Heartbeat{Slots: 1}}
	l.member.link = l
	e.links[l] = struct{}{}
	return l
}

// TestStaleRefusals guards against shedding a request on stale refusals: it is shed
// only if every agent refused within RefusalWindow. An agent whose refusal is older,
// or which dropped the reservation after queuing it, gets another reservation.
func TestStaleRefusals(t *testing.T) {
	tests := []struct {
		name string
		// wait is the time between the first refusal and the second.
		wait   time.Duration
		reason control.RefusalReason
		shed   bool
	}{
		{"both fresh", control.RefusalWindow / 2, control.RefusedFull, true},
		{"the first stale", 2 * control.RefusalWindow, control.RefusedFull, false},
		{"the second dropped", control.RefusalWindow / 2, control.RefusedDropped, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e, first, second := newTestEntry(t)
				p := e.open(&runworks.Request{ID: "1", Service: "llm", Deadline: time.Now().Add(time.Minute)}, 1)
				p.reserveAll()
				e.mu.Lock()
				p.refusedLocked(first, control.RefusedFull)
				e.mu.Unlock()
				time.Sleep(test.wait)
				e.mu.Lock()
				p.refusedLocked(second, test.reason)
				e.mu.Unlock()
				done, failure := p.step(t.Context())
				is.Equal(done, test.shed)
				is.Equal(failure != nil, test.shed)
				is.Equal(len(p.reservations) > 0, !test.shed) // reserved again
			})
		})
	}
}

// TestGrantedOnce guards against granting a request twice, or to a draining agent.
func TestGrantedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, first, second := newTestEntry(t)
		p := e.open(&runworks.Request{ID: "1", Service: "llm", Deadline: time.Now().Add(time.Minute)}, 1)
		p.reserveAll()
		claim := func(l *link) bool {
			reply, err := l.handleClaim(t, p.attemptID)
			is.NoErr(err)
			return reply.Granted
		}
		second.heartbeat.Draining = true
		is.True(!claim(second))
		second.heartbeat.Draining = false
		is.True(claim(first))
		is.True(!claim(second))
		is.True(!claim(first))
		is.Equal(first.reservations+second.reservations, 0)
		is.Equal(len(second.outbox.Withdraw), 1)
	})
}

// handleClaim handles a claim as if the agent had sent it.
func (l *link) handleClaim(t *testing.T, id runworks.RequestID) (control.ClaimReply, error) {
	t.Helper()
	l.entry.mu.Lock()
	defer l.entry.mu.Unlock()
	reply, err := l.claimLocked([]byte(`{"id":"` + string(id) + `"}`))
	out, _ := reply.(control.ClaimReply)
	return out, err
}

// TestRetryBudget checks that retries stay within a tenth of the requests, up to
// maxRetries.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	e := &Entry{Logger: hclog.NewNullLogger()}
	e.Start()
	is.True(!e.retries.TryWithdraw()) // nothing earned yet
	for range 1000 {
		e.retries.Deposit()
	}
	n := 0
	for e.retries.TryWithdraw() {
		n++
	}
	is.Equal(n, int(maxRetries))
}

// BenchmarkPlace measures the placement and grant of a request. All agents are busy,
// so each gets a reservation.
func BenchmarkPlace(b *testing.B) {
	for _, agents := range []int{16, 350, 3500} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			e := &Entry{Config: &config.Follower{Logger: hclog.NewNullLogger()}, Logger: hclog.NewNullLogger()}
			e.Start()
			service := runworks.Service{Name: "llm", Kind: runworks.KindEngine, Models: []string{"m"}}
			for i := range agents {
				name := fmt.Sprintf("e%d", i)
				service.BackendServers = append(service.BackendServers, runworks.BackendServer{Name: name, Hall: "a", Address: "http://e1", Slots: 1})
				testLink(e, name).heartbeat.Running = 1
			}
			e.Config.ApplyDocument(1, &runworks.Config{
				Services: []runworks.Service{service}, Tiers: []runworks.Tier{{Name: "urgent", Timeout: time.Minute}},
				Rules: []runworks.Rule{{Services: []string{"llm"}, Tier: "urgent"}},
			})
			b.ReportAllocs()
			for b.Loop() {
				p := e.open(&runworks.Request{ID: "1", Service: "llm", Deadline: time.Now().Add(time.Minute)}, 1)
				e.mu.Lock()
				for l := range e.links {
					p.grantLocked(l)
					break
				}
				for l := range e.links {
					l.outbox = control.Reservations{}
				}
				e.mu.Unlock()
			}
		})
	}
}
