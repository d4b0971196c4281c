package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// rests has a server ask for rest.
func rests(d *Dispatcher, life string, lasts time.Duration) {
	hears(d, life, &runworks.ServerReport{Backoff: lasts})
}

// TestRestingServerHasNotFailed leaves a server alone that asked for rest, holds nothing against
// it and tells nobody that it is left out; after the rest its load grows step by step to all
// that its slots hold.
func TestRestingServerHasNotFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(16, 4)
		d.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("left out") }
		var asked []time.Duration
		d.OnBackoff = func(_ runworks.Instance, lasts time.Duration) { asked = append(asked, lasts) }
		placed := taken(t, d, "placed")
		rests(d, "s0", 2*time.Second)
		rests(d, "s0", time.Second) // an answer that was overtaken
		is.Equal(asked, []time.Duration{2 * time.Second})
		is.Equal(time.Until(d.servers["s0"].backoff.until), 2*time.Second)
		is.Equal(placed.Unavailable(), placed.Instance.ID == "s0")
		placed.Release(Abandoned)
		is.Equal(served(t, d), map[string]int{"s1": 4})
		is.Equal(len(d.LocalLoad().Ejected), 0)
		is.Equal(d.TransferPermits("s0", 1), 0)

		time.Sleep(time.Until(d.servers["s0"].backoff.until))
		got := 0
		for i, want := range []int{1, 1, 2, 4, 8} { // 16 slots in all
			n := served(t, d)["s0"]
			if i == 4 {
				is.True(n >= want-2) // some slots are kept for others
				break
			}
			is.Equal(n, want)
			got += n
			time.Sleep(rampStep - time.Millisecond) // the call that found none took one
		}
		is.Equal(got, 8)
	})
}

// TestRestIsToldOnce tells of a rest as it begins and as it becomes much longer: calls that were
// sent together are turned away one after the other.
func TestRestIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4)
		var told []time.Duration
		d.OnBackoff = func(_ runworks.Instance, lasts time.Duration) { told = append(told, lasts) }
		for range 5 {
			rests(d, "s0", 2*time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(told, []time.Duration{2 * time.Second})
		is.Equal(d.BackoffRemaining("llm"), 1990*time.Millisecond) // the last word holds
		rests(d, "s0", 3*time.Second)
		is.Equal(told[1:], []time.Duration{3 * time.Second})
	})
}

// TestRestIsOfOneLife keeps a rest over a lapse of the server's record, and forgets it with
// the life that asked for it.
func TestRestIsOfOneLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.SetServers([]runworks.Instance{bornAt(100)})
		rests(d, "s0/100", 3*time.Second)
		is.True(d.BackoffRemaining("llm") >= 3*time.Second)
		d.SetServers(nil)
		time.Sleep(time.Second)
		d.SetServers([]runworks.Instance{bornAt(100)})
		is.True(d.BackoffRemaining("llm") >= 2*time.Second)
		d.SetServers([]runworks.Instance{bornAt(200)})
		is.Equal(d.BackoffRemaining("llm"), time.Duration(0))
		is.Equal(taken(t, d, "next life").Instance.Generation, int64(200))
	})
}

// TestAllServersRest lets a call wait whose target lies behind the rest of all servers, and
// tells others at once that they have no hope: those that come, those that wait as the last
// server begins to rest, and answers that broke off.
func TestAllServersRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1, 1)
		d.RequestPermits = func(*PermitTransfer) { t.Error("a loan is no use") }
		go d.Run(t.Context())
		asks := func(id string, target, patience time.Duration) *Request {
			a := newRequest(id, 0)
			a.Target, a.CallerTimeout = time.Now().Add(target), time.Now().Add(patience)
			return a
		}
		running := []*Lease{taken(t, d, "first"), taken(t, d, "second")}
		began := time.Now()
		waits := acquireAsync(d, asks("waits", time.Second, 2*time.Second))
		patient := acquireAsync(d, asks("patient", 4*time.Second, 8*time.Second))
		rests(d, "s0", 3*time.Second)
		is.Equal(len(waits), 0)
		rests(d, "s1", 5*time.Second)
		_, ok := <-waits
		is.True(!ok)
		is.True(time.Since(began) <= recheckInterval)
		_, err := d.Acquire(context.Background(), asks("comes", time.Second, 2*time.Second))
		is.True(errors.Is(err, runworks.ErrShortage))
		resumed := asks("resumed", 400*time.Millisecond, 2*time.Second)
		resumed.Resumed = true
		_, err = d.Acquire(context.Background(), resumed)
		is.True(errors.Is(err, runworks.ErrShortage))
		failed := asks("failed", 4*time.Second, 8*time.Second)
		failed.Retry = true
		_, err = d.Acquire(context.Background(), failed)
		is.True(errors.Is(err, runworks.ErrNoServer))
		is.True(time.Since(began) <= recheckInterval)
		for _, lease := range running {
			lease.Release(Served)
		}
		is.Equal((<-patient).Instance.ID, "s0")
		is.True(time.Since(began) >= 3*time.Second)
		is.True(time.Since(began) < 4*time.Second)
	})
}

// TestRestBesideLeftOut uses a server that is left out rather than to wait for the rest of the
// only one that is not.
func TestRestBesideLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		d.servers["s0"].recordResult(time.Now(), Unreachable)
		is.Equal(served(t, d), map[string]int{"s1": 4})
		rests(d, "s1", time.Second)
		is.Equal(served(t, d), map[string]int{"s0": 4})
	})
}

// TestRestAndLimit borrows nothing for a server that wants nothing from this entry, and lends
// what it has at hand: the other may be welcome there.
func TestRestAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a", Self: "me"}
		d.RequestPermits = func(*PermitTransfer) { t.Error("a loan is no use") }
		d.SetServers(instances(8, 8))
		var running []*Lease
		for i := range 16 {
			running = append(running, taken(t, d, fmt.Sprint("busy", i)))
		}
		d.SetPeerLoad("other", runworks.EntryLoad{})
		limitOf(d, "s0", 4)
		time.Sleep(time.Second)
		rests(d, "s0", 2*time.Second)
		is.True(d.TransferPermits("s0", 1) == 1)
		for _, lease := range running {
			if lease.Instance.ID == "s0" {
				lease.Release(Served)
			}
		}
		waits := acquireAsync(d, newRequest("waits", 0))
		is.Equal(len(waits), 0)
		d.RequestPermits = nil
		go d.Run(t.Context())
		is.True(<-waits != nil)
	})
}

// TestLongestRest asks a server again after an hour, whatever it said.
func TestLongestRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4)
		rests(d, "s0", 1<<62)
		time.Sleep(maxBackoff - time.Second)
		is.Equal(served(t, d), map[string]int{})
		time.Sleep(2 * time.Second)
		is.Equal(served(t, d), map[string]int{"s0": 4})
	})
}
