package dispatch

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// withGeneration returns an incarnation of the server s0.
func withGeneration(generation int64) runworks.Instance {
	return runworks.Instance{ID: "s0", Generation: generation, Service: "llm", Hall: "a", Slots: 4}
}

// TestRestartResetsState restarts a server under its ID: nothing known of its last incarnation
// counts any longer, nor what other entries still report of it.
func TestRestartResetsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.SetServers([]runworks.Instance{withGeneration(100)})
		lease := mustAcquire(t, d, "call")
		lease.RecordHeaders()
		lease.RecordEventGap(time.Second)
		lost := mustAcquire(t, d, "lost")
		lost.Release(Unreachable)
		d.SetPeerLoad("other", runworks.EntryLoad{
			Running:             runworks.RunningCalls{"s0/100": 3},
			UnreadPromptTokens:  map[string]int{"s0/100": 9000},
			ConsecutiveFailures: map[string]int{"s0/100": 9},
			Ejected:             []string{"s0/100"},
		})
		old := d.servers["s0/100"]
		is.True(!d.services["llm"].healthy(time.Now(), old))
		is.Equal(d.LocalLoad().Running, runworks.RunningCalls{"s0/100": 1})
		is.Equal(old.load(), 4)

		change := d.SetServers([]runworks.Instance{withGeneration(200)})
		is.Equal(len(change.Restarted), 1)
		is.Equal(change.Restarted[0].Generation, int64(100))
		is.Equal(len(change.Added), 1)
		is.Equal(len(change.Withdrawn), 0)
		now := d.servers["s0/200"]
		is.True(d.services["llm"].healthy(time.Now(), now))
		is.Equal(now.load(), 0)
		is.Equal(now.peerUnread+now.peerErrors+now.peerEjections, 0)
		is.Equal(float64(now.meanGap), 0.0)
		is.Equal(len(d.LocalLoad().Running), 0) // the call of the last incarnation is not reported

		d.SetPeerLoad("behind", runningLoad(runworks.RunningCalls{"s0/100": 4}))
		is.Equal(now.load(), 0)
		d.SetPeerLoad("other", runningLoad(runworks.RunningCalls{"s0/200": 2}))
		is.Equal(now.load(), 2)
		d.SetPeerLoad("older version", runningLoad(runworks.RunningCalls{"s0": 1}))
		is.Equal(now.load(), 3)
		d.RemovePeer("older version")
		is.Equal(now.load(), 2)

		again := newRequest("again", 0)
		again.Exclude = []string{"s0/100"} // it had the call before it restarted
		second := <-acquireAsync(d, again)
		is.Equal(second.Instance.Generation, int64(200))
		lease.Release(Interrupted) // does not count for the new incarnation
		is.Equal(now.unanswered, 0)
		is.Equal(now.ownCalls, 1)
		second.Release(Served)
	})
}

// TestCallsOfRestartedServer checks that each call that a server had when it restarted is
// notified, after a delay for a response that may still arrive, and that no completed call is.
func TestCallsOfRestartedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.SetServers([]runworks.Instance{withGeneration(100)})
		before, after, ended := mustAcquire(t, d, "before"), mustAcquire(t, d, "after"), mustAcquire(t, d, "over")
		var mu sync.Mutex
		notified := map[string]time.Duration{}
		began := time.Now()
		notify := func(name string) func() {
			return func() {
				mu.Lock()
				defer mu.Unlock()
				notified[name] = time.Since(began)
			}
		}
		snapshot := func() map[string]time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(notified)
		}
		before.OnServerExit(notify("before"))
		ended.OnServerExit(notify("over"))
		ended.Release(Served)
		d.SetServers([]runworks.Instance{withGeneration(100)})
		time.Sleep(time.Second)
		is.Equal(len(snapshot()), 0)
		began = time.Now()
		d.SetServers([]runworks.Instance{withGeneration(200)})
		after.OnServerExit(notify("after")) // it registers after the restart
		time.Sleep(time.Second)
		is.Equal(snapshot(), map[string]time.Duration{"before": lateAnswerGrace, "after": lateAnswerGrace})
		// A server that is only removed from the list finishes its calls.
		lease := mustAcquire(t, d, "goes on")
		lease.OnServerExit(notify("goes on"))
		d.SetServers(nil)
		time.Sleep(time.Second)
		is.Equal(len(snapshot()), 2)
	})
}

// TestExitedServers checks that the incarnations that ended without having announced that they
// drain are listed: those of servers that restarted, and those that were removed.
func TestExitedServers(t *testing.T) {
	is := is.New(t)
	d := &Dispatcher{}
	d.SetServers([]runworks.Instance{
		{ID: "a", Generation: 1, Service: "s"},
		{ID: "b", Service: "s"},
		{ID: "c", Service: "s"},
		{ID: "d", Service: "s"},
	})
	is.Equal(len(d.SetServers([]runworks.Instance{
		{ID: "a", Generation: 1, Service: "s"},
		{ID: "b", Service: "s"},
		{ID: "c", Service: "s", Draining: true},
		{ID: "d", Service: "s"},
	}).Exited), 0)
	var exited []string
	for _, one := range d.SetServers([]runworks.Instance{{ID: "a", Generation: 2, Service: "s"}, {ID: "d", Service: "s"}}).Exited {
		exited = append(exited, one.IncarnationID())
	}
	slices.Sort(exited)
	is.Equal(exited, []string{"a/1", "b"})
}
