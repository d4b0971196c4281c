package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// taken gives the server that a call gets at once.
func taken(t *testing.T, d *Dispatcher, id string) *Lease {
	t.Helper()
	lease := <-acquireAsync(d, newRequest(id, 0))
	if lease == nil {
		t.Fatalf("%s gets no server", id)
	}
	return lease
}

// TestSilentServerGetsNothing leaves a server out that gives nothing to the calls it
// has, tells the others so, and uses it again once something came.
func TestSilentServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		var told []string
		d.OnUnresponsive = func(s runworks.Instance, silent bool) { told = append(told, fmt.Sprint(s.ID, " ", silent)) }
		d.SetPeerLoad("other", runningLoad(runworks.RunningCalls{"s1": 5}))
		silent := taken(t, d, "silent")
		is.Equal(silent.Instance.ID, "s0")
		silent.RecordHeaders()
		is.Equal(len(d.LocalLoad().Ejected), 0)
		time.Sleep(unresponsiveTimeout + time.Millisecond)
		is.Equal(d.LocalLoad().Ejected, []string{"s0"})
		d.pumpAll()
		for i := range 3 {
			is.Equal(taken(t, d, fmt.Sprint(i)).Instance.ID, "s1")
		}
		silent.RecordFirstEvent(0)
		d.pumpAll()
		is.Equal(told, []string{"s0 true", "s0 false"})
		is.Equal(taken(t, d, "again").Instance.ID, "s0")
	})
}

// TestSlowServiceIsNotSilent gives servers time that take long for every answer.
func TestSlowServiceIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		first := taken(t, d, "first")
		time.Sleep(5 * time.Second)
		first.RecordHeaders()
		first.Release(Served)
		taken(t, d, "second")
		time.Sleep(10 * time.Second)
		is.Equal(len(d.LocalLoad().Ejected), 0)
	})
}

// TestOthersWordCounts leaves a server out that failed another entry, until it was
// heard here; one failure here is enough from then on.
func TestOthersWordCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		var told []int
		d.OnPeerEject = func(_ runworks.Instance, entries int) { told = append(told, entries) }
		before := taken(t, d, "before")
		other := map[string]string{"s0": "s1", "s1": "s0"}[before.Instance.ID]
		d.SetPeerLoad("busy", runningLoad(runworks.RunningCalls{other: 5})) // so that it is the worse
		time.Sleep(time.Millisecond)
		d.SetPeerLoad("other", runworks.EntryLoad{Ejected: []string{before.Instance.ID}})
		for i := range 3 {
			is.True(taken(t, d, fmt.Sprint(i)).Instance.ID != before.Instance.ID)
		}
		is.Equal(len(d.LocalLoad().Ejected), 0) // hearsay is not passed on
		time.Sleep(time.Millisecond)
		before.RecordFirstEvent(0)
		is.Equal(taken(t, d, "after").Instance.ID, before.Instance.ID)
		d.SetPeerLoad("other", runworks.EntryLoad{})
		is.Equal(told, []int{1, 0})
		before.Release(Interrupted)
		is.Equal(d.LocalLoad().Ejected, []string{before.Instance.ID})
	})
}

// TestMovedStaysOut does not use a server again at whose address another was met,
// though the list still names it.
func TestMovedStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		moved := taken(t, d, "moved")
		moved.Release(AddressReused)
		d.SetServers(instances(9, 9))
		for i := range 5 {
			is.True(taken(t, d, fmt.Sprint(i)).Instance.ID != moved.Instance.ID)
		}
		is.Equal(d.LocalLoad().Ejected, []string{moved.Instance.ID})
		// Nor when no other is healthy.
		time.Sleep(time.Millisecond)
		d.SetPeerLoad("other", runworks.EntryLoad{Ejected: []string{"s0", "s1"}})
		is.True(taken(t, d, "last").Instance.ID != moved.Instance.ID)
	})
}

// TestFailingServerIsLeftOut leaves a server out for a while that answers by failures,
// by what all entries together saw, while the others of its service do not.
func TestFailingServerIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9, 9)
		bad := taken(t, d, "bad")
		id := bad.Instance.ID
		d.SetPeerLoad("other", runworks.EntryLoad{ConsecutiveFailures: map[string]int{id: minErrors - 1}})
		bad.Release(Failed)
		is.Equal(d.LocalLoad().Ejected, []string{id})
		is.Equal(len(d.LocalLoad().ConsecutiveFailures), 0) // the count starts anew
		for i := range 6 {
			is.True(taken(t, d, fmt.Sprint(i)).Instance.ID != id)
		}
		time.Sleep(errorEjection)
		is.Equal(len(d.LocalLoad().Ejected), 0)
	})
}

// TestFailuresEverywhere leaves nobody out where all servers of a service fail alike.
func TestFailuresEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1, 1, 1)
		for i := range 30 {
			var held []*Lease
			for k := range 3 {
				held = append(held, taken(t, d, fmt.Sprint(i, k)))
			}
			for _, one := range held {
				one.Release(Failed)
			}
		}
		is.Equal(len(d.LocalLoad().Ejected), 0)
		is.Equal(len(d.LocalLoad().ConsecutiveFailures), 3)
	})
}
