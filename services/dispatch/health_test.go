package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// mustAcquire acquires a lease that must be available at once.
func mustAcquire(t *testing.T, d *Dispatcher, id string) *Lease {
	t.Helper()
	lease := <-acquireAsync(d, newRequest(id, 0))
	if lease == nil {
		t.Fatalf("%s gets no server", id)
	}
	return lease
}

// TestUnresponsiveServerIsEjected checks that a server that sends nothing to its calls is
// ejected, that the other entries are informed, and that it is used again once it sends
// something.
func TestUnresponsiveServerIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		var changes []string
		d.OnUnresponsive = func(s runworks.Instance, unresponsive bool) {
			changes = append(changes, fmt.Sprint(s.ID, " ", unresponsive))
		}
		d.SetPeerLoad("other", runningLoad(runworks.RunningCalls{"s1": 5}))
		silent := mustAcquire(t, d, "silent")
		is.Equal(silent.Instance.ID, "s0")
		silent.RecordHeaders()
		is.Equal(len(d.LocalLoad().Ejected), 0)
		time.Sleep(unresponsiveTimeout + time.Millisecond)
		is.Equal(d.LocalLoad().Ejected, []string{"s0"})
		d.pumpAll()
		for i := range 3 {
			is.Equal(mustAcquire(t, d, fmt.Sprint(i)).Instance.ID, "s1")
		}
		silent.RecordFirstEvent(0)
		d.pumpAll()
		is.Equal(changes, []string{"s0 true", "s0 false"})
		is.Equal(mustAcquire(t, d, "again").Instance.ID, "s0")
	})
}

// TestSlowServiceIsNotUnresponsive checks that the time-out grows with the mean response time,
// so that a service whose responses all take long is not ejected.
func TestSlowServiceIsNotUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		first := mustAcquire(t, d, "first")
		time.Sleep(5 * time.Second)
		first.RecordHeaders()
		first.Release(Served)
		mustAcquire(t, d, "second")
		time.Sleep(10 * time.Second)
		is.Equal(len(d.LocalLoad().Ejected), 0)
	})
}

// TestPeerEjections checks that a server ejected by another entry is not used until it sends
// data to a call of this entry, and that a single failure here ejects it from then on.
func TestPeerEjections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		var counts []int
		d.OnPeerEject = func(_ runworks.Instance, entries int) { counts = append(counts, entries) }
		before := mustAcquire(t, d, "before")
		other := map[string]string{"s0": "s1", "s1": "s0"}[before.Instance.ID]
		// The other server has to score worse.
		d.SetPeerLoad("busy", runningLoad(runworks.RunningCalls{other: 5}))
		time.Sleep(time.Millisecond)
		d.SetPeerLoad("other", runworks.EntryLoad{Ejected: []string{before.Instance.ID}})
		for i := range 3 {
			is.True(mustAcquire(t, d, fmt.Sprint(i)).Instance.ID != before.Instance.ID)
		}
		is.Equal(len(d.LocalLoad().Ejected), 0) // ejections of other entries are not forwarded
		time.Sleep(time.Millisecond)
		before.RecordFirstEvent(0)
		is.Equal(mustAcquire(t, d, "after").Instance.ID, before.Instance.ID)
		d.SetPeerLoad("other", runworks.EntryLoad{})
		is.Equal(counts, []int{1, 0})
		before.Release(Interrupted)
		is.Equal(d.LocalLoad().Ejected, []string{before.Instance.ID})
	})
}

// TestReusedAddressStaysEjected checks that a server is not used again once another server
// responded at its address, even though it is still listed.
func TestReusedAddressStaysEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		moved := mustAcquire(t, d, "moved")
		moved.Release(AddressReused)
		d.SetServers(instances(9, 9))
		for i := range 5 {
			is.True(mustAcquire(t, d, fmt.Sprint(i)).Instance.ID != moved.Instance.ID)
		}
		is.Equal(d.LocalLoad().Ejected, []string{moved.Instance.ID})
		// It is not used either if no other server is healthy.
		time.Sleep(time.Millisecond)
		d.SetPeerLoad("other", runworks.EntryLoad{Ejected: []string{"s0", "s1"}})
		is.True(mustAcquire(t, d, "last").Instance.ID != moved.Instance.ID)
	})
}

// TestFailingServerIsEjected checks that a server that answers with errors, counted over all
// entries, is ejected for a while if the other servers of its service do not.
func TestFailingServerIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9, 9)
		bad := mustAcquire(t, d, "bad")
		id := bad.Instance.ID
		d.SetPeerLoad("other", runworks.EntryLoad{ConsecutiveFailures: map[string]int{id: minErrors - 1}})
		bad.Release(Failed)
		is.Equal(d.LocalLoad().Ejected, []string{id})
		is.Equal(len(d.LocalLoad().ConsecutiveFailures), 0) // the count is reset
		for i := range 6 {
			is.True(mustAcquire(t, d, fmt.Sprint(i)).Instance.ID != id)
		}
		time.Sleep(errorEjection)
		is.Equal(len(d.LocalLoad().Ejected), 0)
	})
}

// TestFailuresEverywhere checks that no server is ejected if all servers of a service fail
// equally.
func TestFailuresEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1, 1, 1)
		for i := range 30 {
			var held []*Lease
			for k := range 3 {
				held = append(held, mustAcquire(t, d, fmt.Sprint(i, k)))
			}
			for _, one := range held {
				one.Release(Failed)
			}
		}
		is.Equal(len(d.LocalLoad().Ejected), 0)
		is.Equal(len(d.LocalLoad().ConsecutiveFailures), 3)
	})
}
