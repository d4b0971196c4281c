package tests

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/control"
)

var twoEngines = []serverSpec{
	{name: "one", slots: 4, args: []string{"--prefill", "40000", "--decode", "500"}},
	{name: "two", slots: 4, args: []string{"--prefill", "40000", "--decode", "500"}},
	{name: "app-1", plain: true, slots: 16},
}

// retryPause is the pause after a call that got no response, so that an entry which has exited is
// not called in a busy loop.
const retryPause = 50 * time.Millisecond

// processLoad makes calls through the entries from 8 lanes until stopAndCheck is called.
type processLoad struct {
	s     *site
	h     history
	stop  chan struct{}
	calls sync.WaitGroup
}

func newProcessLoad(s *site, entries ...string) *processLoad {
	l := &processLoad{s: s, stop: make(chan struct{})}
	for lane := range 8 {
		l.calls.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := lane; ; i += 8 {
				select {
				case <-l.stop:
					return
				default:
				}
				entry := s.entries[entries[i%len(entries)]].address("callers")
				c := &completionCall{Entry: entry, Key: "site-key", Model: "site-model", Prompt: prompt(i), MaxTokens: 20 + i%200, Stream: i%2 == 0}
				c.Header = map[string]string{runworks.HeaderTimeout: "20s"}
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				r := c.do(ctx, client)
				cancel()
				l.h.add(c, r)
				if r.Err != nil && r.Status == 0 {
					time.Sleep(retryPause)
				}
			}
		})
	}
	return l
}

// stopAndCheck stops the load, checks the history against the engines' counts, and returns the
// number of calls by result.
func (l *processLoad) stopAndCheck(t *testing.T) map[string]int {
	t.Helper()
	close(l.stop)
	l.calls.Wait()
	l.h.dispatches = l.s.dispatches()
	for _, v := range l.h.violations() {
		t.Error(v)
	}
	counts := l.h.counts()
	t.Log(counts)
	return counts
}

// waitAnswers waits until n more calls have got a complete answer.
func (l *processLoad) waitAnswers(n int) {
	l.s.t.Helper()
	count := func() int {
		l.h.mu.Lock()
		defer l.h.mu.Unlock()
		whole := 0
		for i := range l.h.events {
			if l.h.events[i].result.Complete {
				whole++
			}
		}
		return whole
	}
	before := count()
	l.s.waitFor("calls are still answered", func() bool { return count() >= before+n })
}

// TestProcessesKilled kills an agent under load, restarts it, and then kills an entry: calls are
// still answered, and each answer is that of its own call.
func TestProcessesKilled(t *testing.T) {
	is := is.New(t)
	s := newSite(t, twoEngines, []string{"entry-1", "entry-2"})
	load := newProcessLoad(s, "entry-1", "entry-2")
	load.waitAnswers(20)
	s.agents["one"].signal(syscall.SIGKILL)
	s.agents["one"].waitExit()
	load.waitAnswers(40)
	s.startAgent("one")
	s.waitConnected("entry-1", len(twoEngines))
	load.waitAnswers(40)
	s.entries["entry-2"].signal(syscall.SIGKILL)
	s.entries["entry-2"].waitExit()
	load.waitAnswers(40)
	counts := load.stopAndCheck(t)
	is.True(counts["done"] > 140)
}

// TestProcessesPlannedStop stops an agent and then an entry with SIGTERM under load: no accepted
// call is cut off, and both exit with 0.
func TestProcessesPlannedStop(t *testing.T) {
	is := is.New(t)
	s := newSite(t, twoEngines, []string{"entry-1", "entry-2"})
	load := newProcessLoad(s, "entry-1")
	load.waitAnswers(20)
	s.agents["one"].signal(syscall.SIGTERM)
	s.agents["one"].waitExit()
	is.Equal(s.agents["one"].cmd.ProcessState.ExitCode(), 0)
	load.waitAnswers(20)
	counts := load.stopAndCheck(t)
	is.Equal(len(counts), 1) // all calls were answered

	one := &completionCall{Entry: s.entries["entry-1"].address("callers"), Key: "site-key", Model: "site-model", Prompt: prompt(1), MaxTokens: 500, Stream: true}
	answered := make(chan error)
	go func() { answered <- one.check(context.Background(), http.DefaultClient) }()
	s.waitFor("the call is in flight", func() bool { return s.inFlight("entry-1") == 1 })
	s.entries["entry-1"].signal(syscall.SIGTERM)
	is.NoErr(<-answered)
	s.entries["entry-1"].waitExit()
	is.Equal(s.entries["entry-1"].cmd.ProcessState.ExitCode(), 0)
}

// inFlight returns the number of requests that an entry has in flight, -1 if its status cannot be
// read.
func (s *site) inFlight(entry string) int {
	var status struct {
		Requests int `json:"requests"`
	}
	if !getJSON("http://"+s.entries[entry].address("operators")+"/status", &status) {
		return -1
	}
	return status.Requests
}

// TestProcessesFrozenAgent suspends an agent under load with SIGSTOP for longer than a grant is
// valid. After SIGCONT it must not act on an expired grant: the request may have been dispatched to
// another server in the meantime and would run twice.
func TestProcessesFrozenAgent(t *testing.T) {
	s := newSite(t, twoEngines, []string{"entry-1", "entry-2"})
	load := newProcessLoad(s, "entry-1", "entry-2")
	load.waitAnswers(20)
	s.agents["one"].signal(syscall.SIGSTOP)
	frozen := time.Now()
	load.waitAnswers(20)
	s.waitFor("every grant has expired", func() bool { return time.Since(frozen) > 2*control.GrantTimeout })
	s.agents["one"].signal(syscall.SIGCONT)
	load.waitAnswers(100)
	load.stopAndCheck(t)
}

// TestProcessesKeyedAfterEntryDeath kills the entry that runs a call with an idempotency key. The
// caller repeats the call with its key through the other entry and gets the answer of the request
// that is already running; no second one is dispatched.
func TestProcessesKeyedAfterEntryDeath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, twoEngines, []string{"entry-1", "entry-2"})
	c := &completionCall{
		Entry: s.entries["entry-1"].address("callers"), Key: "site-key", Model: "site-model", Prompt: prompt(5), MaxTokens: 1000,
		Header: map[string]string{runworks.HeaderKind: "once", runworks.HeaderIdempotencyKey: uuid.Must(uuid.NewV7()).String()},
	}
	first := make(chan *result)
	go func() { first <- c.do(context.Background(), http.DefaultClient) }()
	s.waitFor("an engine runs the request", func() bool { return len(s.dispatches()) == 1 })
	s.entries["entry-1"].signal(syscall.SIGKILL)
	is.True((<-first).Err != nil)

	again := *c
	again.Entry = s.entries["entry-2"].address("callers")
	is.NoErr(again.check(context.Background(), http.DefaultClient))
	dispatches := s.dispatches()
	is.Equal(len(dispatches), 1) // one request in total
	for _, n := range dispatches {
		is.Equal(n, 1)
	}

	// The key then returns the kept answer again; with another request it is refused.
	is.NoErr(again.check(context.Background(), http.DefaultClient))
	other := again
	other.Prompt = "another question"
	r := other.do(context.Background(), http.DefaultClient)
	is.Equal(r.Status, http.StatusUnprocessableEntity)
	is.Equal(fmt.Sprint(r.Outcome, r.Code), "not-runkey_reused")
	is.Equal(len(s.dispatches()), 1)
}
