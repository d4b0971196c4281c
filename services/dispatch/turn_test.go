package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// entrySet holds entries that know each other, all with the same server of one slot.
type entrySet []*Dispatcher

func newEntries(n int) entrySet {
	var all entrySet
	for i := range n {
		d := newDispatcher(1)
		d.Self = runworks.Incarnation(fmt.Sprint("entry-", i))
		all = append(all, d)
	}
	return all
}

// heartbeat reports the load of each entry to all others.
func (f entrySet) heartbeat() {
	for _, from := range f {
		load := from.LocalLoad()
		for _, to := range f {
			if to != from {
				to.SetPeerLoad(from.Self, load)
			}
		}
	}
	synctest.Wait()
}

// fill reports a call at the only slot to all entries, and free ends it.
func (f entrySet) fill() {
	for _, d := range f {
		d.SetPeerLoad("elsewhere", runningLoad(runworks.RunningCalls{"s0": 1}))
	}
}

func (f entrySet) free() {
	for _, d := range f {
		d.RemovePeer("elsewhere")
	}
	synctest.Wait()
}

// started counts the calls that got a server.
func started(waiting []<-chan *Lease) int {
	n := 0
	for _, one := range waiting {
		n += len(one)
	}
	return n
}

// TestFreeSlotUsedByOneEntry frees the only slot while a call waits at every entry: one of them
// uses it, and the next only if the first does not.
func TestFreeSlotUsedByOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newEntries(8)
		all.fill()
		var waiting []<-chan *Lease
		for i, d := range all {
			waiting = append(waiting, acquireAsync(d, newRequest(fmt.Sprint(i), 0)))
		}
		all.heartbeat()
		all.free()
		is.Equal(started(waiting), 1)
		for range 10 { // the running call is known now: no other starts
			time.Sleep(turnDuration / 2)
			all.heartbeat()
			for _, d := range all {
				d.pumpAll()
			}
			synctest.Wait()
		}
		is.Equal(started(waiting), 1)
		time.Sleep(time.Minute) // waiting calls are abandoned
	})
}

// TestUnusedTurnPasses lets the next entry use a slot that the first in turn left unused.
func TestUnusedTurnPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1)
		d.Self = "here"
		load := runningLoad(runworks.RunningCalls{"s0": 1})
		load.Waiting = runworks.WaitingCalls{"llm": {Rank: 0, Calls: 1_000_000}}
		d.SetPeerLoad("first", load)
		waiting := acquireAsync(d, newRequest("waits", 0))
		load.Running = nil
		d.SetPeerLoad("first", load)
		synctest.Wait()
		is.Equal(len(waiting), 0)
		time.Sleep(d.turnDuration())
		d.pumpAll()
		synctest.Wait()
		is.Equal(len(waiting), 1)
	})
}

// TestHigherRankAtOtherEntryFirst leaves a free slot to the entry with the call of the higher
// rank, however many calls of lower ranks wait here.
func TestHigherRankAtOtherEntryFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newEntries(2)
		all.fill()
		var low []<-chan *Lease
		for i := range 20 {
			low = append(low, acquireAsync(all[0], newRequest(fmt.Sprint("low", i), 1)))
		}
		urgent := acquireAsync(all[1], newRequest("urgent", 0))
		all.heartbeat()
		all.free()
		is.Equal(started(low), 0)
		is.Equal(len(urgent), 1)
		time.Sleep(time.Minute) // waiting calls are abandoned
	})
}

// TestOwnFreedSlotIsReused gives a slot that a call freed to one that waits here, as the other
// entries do not know yet that it is free.
func TestOwnFreedSlotIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1)
		d.Self = "here"
		first := mustAcquire(t, d, "first")
		d.SetPeerLoad("other", runworks.EntryLoad{Waiting: runworks.WaitingCalls{"llm": {Rank: 0, Calls: 1_000_000}}})
		waiting := acquireAsync(d, newRequest("waits", 0))
		first.Release(Served)
		synctest.Wait()
		is.Equal(len(waiting), 1)
	})
}

// checkOneStarts checks that a slot which no entry could use for some turns gets one call, and not
// one of each entry that waited. block keeps the slot from being used and unblock ends that. Until
// then another entry with far more calls is first in turn.
func checkOneStarts(t *testing.T, block, unblock func(d *Dispatcher)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newEntries(8)
		all.fill()
		var waiting []<-chan *Lease
		first := runningLoad(nil)
		first.Waiting = runworks.WaitingCalls{"llm": {Rank: 0, Calls: 1_000_000}}
		for i, d := range all {
			req := newRequest(fmt.Sprint(i), 0)
			req.Target, req.PromptTokens = req.Target.Add(4*time.Second), 100
			waiting = append(waiting, acquireAsync(d, req))
			d.SetPeerLoad("elsewhere", first)
			block(d)
		}
		for range 40 {
			time.Sleep(turnDuration / 2)
			all.heartbeat()
		}
		is.Equal(started(waiting), 0)
		for _, d := range all {
			unblock(d)
			d.RemovePeer("elsewhere")
		}
		synctest.Wait()
		is.Equal(started(waiting), 1)
		time.Sleep(time.Minute) // waiting calls are abandoned
	})
}

// TestOneCallAfterServerWasFull guards against calls of all entries that meet at a server which
// took none for a while: most of them would be late.
func TestOneCallAfterServerWasFull(t *testing.T) {
	checkOneStarts(t,
		func(d *Dispatcher) { d.servers["s0"].fullUntil = time.Now().Add(time.Minute) },
		func(d *Dispatcher) { d.servers["s0"].fullUntil = time.Now() })
}

// TestOneCallAfterPromptWasRead guards against the same where the server had a free slot, but read a
// prompt after which the calls would have been late.
func TestOneCallAfterPromptWasRead(t *testing.T) {
	load := runningLoad(nil)
	load.UnreadPromptTokens = map[string]int{"s0": 1_000_000}
	checkOneStarts(t,
		func(d *Dispatcher) {
			for i := range 2 * minPrefillSamples {
				d.services["llm"].prefill.add(float64(1000*i), 0.01*float64(i))
			}
			d.SetPeerLoad("reading", load)
		},
		func(d *Dispatcher) { d.SetPeerLoad("reading", runningLoad(nil)) })
}

// TestFreeSlotMovesOn guards against a slot that is offered to more entries the longer it stays free:
// in each turn one of them may use it, and each may within as many turns as there are entries.
func TestFreeSlotMovesOn(t *testing.T) {
	is := is.New(t)
	all := newEntries(8)
	offers := make([]int, len(all))
	for passed := range 3 * len(all) {
		offered := 0
		for i, d := range all {
			var others []contender
			for _, other := range all {
				if other != d {
					others = append(others, contender{entry: other.Self, WaitingCall: runworks.WaitingCall{Calls: 1}})
				}
			}
			if d.inTurn(d.servers["s0"], others, runworks.WaitingCall{Calls: 1}, 1, passed) {
				offered++
				offers[i]++
			}
		}
		is.Equal(offered, 1)
	}
	for _, n := range offers {
		is.Equal(n, 3)
	}
}

// TestTurnsOfFullServerDoNotCount guards against turns that are counted while a server was full, if its
// load is the same before and after: entries would not agree on whose turn it is.
func TestTurnsOfFullServerDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(2)
		waiting := acquireAsync(d, newRequest("first", 0))
		(<-waiting).Release(Served)
		for _, n := range []int{1, 2, 1} {
			d.SetPeerLoad("elsewhere", runningLoad(runworks.RunningCalls{"s0": n}))
			s := d.services["llm"]
			for _, one := range s.available(time.Now()) {
				is.New(t).Equal(one.unusedTurns(time.Now(), d.turnDuration()), 0)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestCallStartsBesideWaitingCalls guards against a call that is refused for the calls that wait before
// it, although a free server suits it and none of them.
func TestCallStartsBesideWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1, 8)
		d.SetPeerLoad("other", runningLoad(nil))
		busy := mustAcquire(t, d, "busy")
		for i := range 40 { // more than one pass skips of a tier
			req := newRequest(fmt.Sprint("stuck", i), 0)
			req.Exclude = []string{"s1"}
			if busy.Instance.ID == "s1" {
				req.Exclude = []string{"s0"}
			}
			go func() { _, _ = d.AcquireFor(t.Context(), req, "other") }() // abandoned in the end
			synctest.Wait()
		}
		is.True(d.WaitingCalls()["llm"] > maxSkippedOfTier)
		short := newRequest("short", 1)
		short.Customer = "b"
		lease, err := d.AcquireFor(t.Context(), short, "other")
		is.NoErr(err)
		lease.Release(Served)
		time.Sleep(time.Minute) // waiting calls are abandoned
	})
}
