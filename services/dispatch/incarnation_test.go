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

// bornAt gives the life of the server s0 that began at a time.
func bornAt(born int64) runworks.Instance {
	return runworks.Instance{ID: "s0", Generation: born, Service: "llm", Hall: "a", Slots: 4}
}

// TestNewLifeBeginsAnew starts a server again under its id: nothing that was known of its
// last life counts any more, nor what other entries still say of it.
func TestNewLifeBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.SetServers([]runworks.Instance{bornAt(100)})
		lease := taken(t, d, "call")
		lease.RecordHeaders()
		lease.RecordEventGap(time.Second)
		lost := taken(t, d, "lost")
		lost.Release(Unreachable)
		d.SetPeerLoad("other", runworks.EntryLoad{
			Running: runworks.RunningCalls{"s0/100": 3}, UnreadPromptTokens: map[string]int{"s0/100": 9000}, ConsecutiveFailures: map[string]int{"s0/100": 9}, Ejected: []string{"s0/100"},
		})
		old := d.servers["s0/100"]
		is.True(!d.services["llm"].healthy(time.Now(), old))
		is.Equal(d.LocalLoad().Running, runworks.RunningCalls{"s0/100": 1})
		is.Equal(old.load(), 4)

		change := d.SetServers([]runworks.Instance{bornAt(200)})
		is.Equal(len(change.Restarted), 1)
		is.Equal(change.Restarted[0].Generation, int64(100))
		is.Equal(len(change.Added), 1)
		is.Equal(len(change.Withdrawn), 0)
		now := d.servers["s0/200"]
		is.True(d.services["llm"].healthy(time.Now(), now))
		is.Equal(now.load(), 0)
		is.Equal(now.peerUnread+now.peerErrors+now.peerEjections, 0)
		is.Equal(float64(now.meanGap), 0.0)
		is.Equal(len(d.LocalLoad().Running), 0) // the call of the last life is not told

		d.SetPeerLoad("behind", runningLoad(runworks.RunningCalls{"s0/100": 4}))
		is.Equal(now.load(), 0)
		d.SetPeerLoad("other", runningLoad(runworks.RunningCalls{"s0/200": 2}))
		is.Equal(now.load(), 2)
		d.SetPeerLoad("older version", runningLoad(runworks.RunningCalls{"s0": 1}))
		is.Equal(now.load(), 3)
		d.RemovePeer("older version")
		is.Equal(now.load(), 2)

		again := newRequest("again", 0)
		again.Exclude = []string{"s0/100"} // it had the call before it started again
		second := <-acquireAsync(d, again)
		is.Equal(second.Instance.Generation, int64(200))
		lease.Release(Interrupted) // tells nothing of the new life
		is.Equal(now.unanswered, 0)
		is.Equal(now.ownCalls, 1)
		second.Release(Served)
	})
}

// TestCallsOfALifeThatEnded tells each call that a server had when it started again, a
// moment later, for an answer that is on its way; and none that has ended.
func TestCallsOfALifeThatEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.SetServers([]runworks.Instance{bornAt(100)})
		before, after, over := taken(t, d, "before"), taken(t, d, "after"), taken(t, d, "over")
		var mu sync.Mutex
		told := map[string]time.Duration{}
		began := time.Now()
		note := func(name string) func() {
			return func() {
				mu.Lock()
				defer mu.Unlock()
				told[name] = time.Since(began)
			}
		}
		all := func() map[string]time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(told)
		}
		before.OnServerExit(note("before"))
		over.OnServerExit(note("over"))
		over.Release(Served)
		d.SetServers([]runworks.Instance{bornAt(100)})
		time.Sleep(time.Second)
		is.Equal(len(all()), 0)
		began = time.Now()
		d.SetServers([]runworks.Instance{bornAt(200)})
		after.OnServerExit(note("after")) // it had not begun to listen
		time.Sleep(time.Second)
		is.Equal(all(), map[string]time.Duration{"before": lateAnswerGrace, "after": lateAnswerGrace})
		// One that only leaves the list goes on with what it has.
		lease := taken(t, d, "goes on")
		lease.OnServerExit(note("goes on"))
		d.SetServers(nil)
		time.Sleep(time.Second)
		is.Equal(len(all()), 2)
	})
}

// TestGone tells of the lives that are over without having said that they leave: those whose
// server started again, and those that are on the list no more.
func TestGone(t *testing.T) {
	is := is.New(t)
	d := &Dispatcher{}
	d.SetServers([]runworks.Instance{{ID: "a", Generation: 1, Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}, {ID: "d", Service: "s"}})
	is.Equal(len(d.SetServers([]runworks.Instance{{ID: "a", Generation: 1, Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s", Draining: true}, {ID: "d", Service: "s"}}).Exited), 0)
	var gone []string
	for _, one := range d.SetServers([]runworks.Instance{{ID: "a", Generation: 2, Service: "s"}, {ID: "d", Service: "s"}}).Exited {
		gone = append(gone, one.IncarnationID())
	}
	slices.Sort(gone)
	is.Equal(gone, []string{"a/1", "b"})
}
