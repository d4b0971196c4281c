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

// retryPause bounds how often a dead entry is tried.
const retryPause = 50 * time.Millisecond

// processLoad makes calls through the entries until it is ended.
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

// stopAndCheck stops the load and checks the history against what the engines counted.
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

// waitAnswers waits until the load has n whole answers more than now.
func (l *processLoad) waitAnswers(n int) {
	l.s.t.Helper()
	count := func() int {
		l.h.mu.Lock()
		defer l.h.mu.Unlock()
		whole := 0
		for i := range l.h.events {
			if l.h.events[i].result.Whole {
				whole++
			}
		}
		return whole
	}
	before := count()
	l.s.waitFor("calls go on being answered", func() bool { return count() >= before+n })
}

// TestProcessesKilled kills an agent under load, and later an entry, and starts
// the agent again: calls go on being answered, and every answer is true.
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

// TestProcessesPlannedStop stops an agent and then an entry with SIGTERM under
// load: not one call that was taken is cut.
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
	is.Equal(len(counts), 1) // all done

	one := &completionCall{Entry: s.entries["entry-1"].address("callers"), Key: "site-key", Model: "site-model", Prompt: prompt(1), MaxTokens: 500, Stream: true}
	answered := make(chan error)
	go func() { answered <- one.check(context.Background(), http.DefaultClient) }()
	s.waitFor("the call is in flight", func() bool { return s.inFlight("entry-1") == 1 })
	s.entries["entry-1"].signal(syscall.SIGTERM)
	is.NoErr(<-answered)
	s.entries["entry-1"].waitExit()
	is.Equal(s.entries["entry-1"].cmd.ProcessState.ExitCode(), 0)
}

// inFlight gives the inFlight that an entry has in flight.
func (s *site) inFlight(entry string) int {
	var status struct {
		Requests int `json:"requests"`
	}
	if !getJSON("http://"+s.entries[entry].address("operators")+"/status", &status) {
		return -1
	}
	return status.Requests
}

// TestProcessesFrozenAgent freezes an agent under load for longer than a grant
// is valid, and wakes it: it acts on no grant that has lapsed.
func TestProcessesFrozenAgent(t *testing.T) {
	s := newSite(t, twoEngines, []string{"entry-1", "entry-2"})
	load := newProcessLoad(s, "entry-1", "entry-2")
	load.waitAnswers(20)
	s.agents["one"].signal(syscall.SIGSTOP)
	frozen := time.Now()
	load.waitAnswers(20)
	s.waitFor("every grant has lapsed", func() bool { return time.Since(frozen) > 2*control.GrantTimeout })
	s.agents["one"].signal(syscall.SIGCONT)
	load.waitAnswers(100)
	load.stopAndCheck(t)
}

// TestProcessesKeyedAfterEntryDeath kills the entry that runs a keyed call; the
// caller comes back with its key through the other entry and gets the one answer.
func TestProcessesKeyedAfterEntryDeath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, twoEngines, []string{"entry-1", "entry-2"})
	c := &completionCall{
		Entry: s.entries["entry-1"].address("callers"), Key: "site-key", Model: "site-model", Prompt: prompt(5), MaxTokens: 1000,
		Header: map[string]string{runworks.HeaderKind: "once", runworks.HeaderIdempotencyKey: uuid.Must(uuid.NewV7()).String()},
	}
	first := make(chan *result)
	go func() { first <- c.do(context.Background(), http.DefaultClient) }()
	s.waitFor("an engine runs it", func() bool { return len(s.dispatches()) == 1 })
	s.entries["entry-1"].signal(syscall.SIGKILL)
	is.True((<-first).Err != nil)

	again := *c
	again.Entry = s.entries["entry-2"].address("callers")
	is.NoErr(again.check(context.Background(), http.DefaultClient))
	dispatches := s.dispatches()
	is.Equal(len(dispatches), 1) // one request in all
	for _, n := range dispatches {
		is.Equal(n, 1)
	}

	// Afterwards the key still gives the kept answer, and no other request.
	is.NoErr(again.check(context.Background(), http.DefaultClient))
	other := again
	other.Prompt = "another question"
	r := other.do(context.Background(), http.DefaultClient)
	is.Equal(r.Status, http.StatusUnprocessableEntity)
	is.Equal(fmt.Sprint(r.Outcome, r.Code), "not-runkey_reused")
	is.Equal(len(s.dispatches()), 1)
}
