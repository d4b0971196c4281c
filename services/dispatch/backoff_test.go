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

// requestBackoff applies the report of a server that requests a back-off.
func requestBackoff(d *Dispatcher, incarnation string, duration time.Duration) {
	applyReport(d, incarnation, &runworks.ServerReport{Backoff: duration})
}

// TestBackoffIsNoFailure checks that a server gets no calls during its back-off, that it is
// neither ejected nor reported as such, and that its load ramps up to all of its slots
// afterwards.
func TestBackoffIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(16, 4)
		d.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("server ejected") }
		var backoffs []time.Duration
		d.OnBackoff = func(_ runworks.Instance, lasts time.Duration) { backoffs = append(backoffs, lasts) }
		placed := mustAcquire(t, d, "placed")
		requestBackoff(d, "s0", 2*time.Second)
		requestBackoff(d, "s0", time.Second) // a response that arrived out of order
		is.Equal(backoffs, []time.Duration{2 * time.Second})
		is.Equal(time.Until(d.servers["s0"].backoff.until), 2*time.Second)
		is.Equal(placed.Unavailable(), placed.Instance.ID == "s0")
		placed.Release(Abandoned)
		is.Equal(acquireAll(t, d), map[string]int{"s1": 4})
		is.Equal(len(d.LocalLoad().Ejected), 0)
		is.Equal(d.TransferPermits("s0", 1), 0)

		time.Sleep(time.Until(d.servers["s0"].backoff.until))
		got := 0
		for i, want := range []int{1, 1, 2, 4, 8} { // 16 slots in all
			n := acquireAll(t, d)["s0"]
			if i == 4 {
				is.True(n >= want-2) // some slots are reserved
				break
			}
			is.Equal(n, want)
			got += n
			time.Sleep(rampStep - time.Millisecond) // the last call of acquireAll waited for 1 ms
		}
		is.Equal(got, 8)
	})
}

// TestBackoffIsReportedOnce checks that OnBackoff is called when a back-off begins and when it
// becomes much longer, not for each of several calls that were sent together and rejected one
// after the other.
func TestBackoffIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4)
		var backoffs []time.Duration
		d.OnBackoff = func(_ runworks.Instance, lasts time.Duration) { backoffs = append(backoffs, lasts) }
		for range 5 {
			requestBackoff(d, "s0", 2*time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(backoffs, []time.Duration{2 * time.Second})
		is.Equal(d.BackoffRemaining("llm"), 1990*time.Millisecond) // the last report counts
		requestBackoff(d, "s0", 3*time.Second)
		is.Equal(backoffs[1:], []time.Duration{3 * time.Second})
	})
}

// TestBackoffOfOneIncarnation checks that a back-off outlives an expired record of the server,
// and ends with the incarnation that requested it.
func TestBackoffOfOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.SetServers([]runworks.Instance{withGeneration(100)})
		requestBackoff(d, "s0/100", 3*time.Second)
		is.True(d.BackoffRemaining("llm") >= 3*time.Second)
		d.SetServers(nil)
		time.Sleep(time.Second)
		d.SetServers([]runworks.Instance{withGeneration(100)})
		is.True(d.BackoffRemaining("llm") >= 2*time.Second)
		d.SetServers([]runworks.Instance{withGeneration(200)})
		is.Equal(d.BackoffRemaining("llm"), time.Duration(0))
		is.Equal(mustAcquire(t, d, "next incarnation").Instance.Generation, int64(200))
	})
}

// TestAllServersBackOff checks that, while all servers are in a back-off, a call waits if its
// target is later than the end of the first one, and that all others are rejected at once: new
// calls, calls that wait when the last server requests a back-off, and resumed streams.
func TestAllServersBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1, 1)
		d.RequestPermits = func(*PermitTransfer) { t.Error("permits requested during a back-off") }
		go d.Run(t.Context())
		newRequest := func(id string, target, patience time.Duration) *Request {
			a := newRequest(id, 0)
			a.Target, a.CallerTimeout = time.Now().Add(target), time.Now().Add(patience)
			return a
		}
		running := []*Lease{mustAcquire(t, d, "first"), mustAcquire(t, d, "second")}
		began := time.Now()
		waits := acquireAsync(d, newRequest("waits", time.Second, 2*time.Second))
		patient := acquireAsync(d, newRequest("patient", 4*time.Second, 8*time.Second))
		requestBackoff(d, "s0", 3*time.Second)
		is.Equal(len(waits), 0)
		requestBackoff(d, "s1", 5*time.Second)
		_, ok := <-waits
		is.True(!ok)
		is.True(time.Since(began) <= recheckInterval)
		_, err := d.Acquire(context.Background(), newRequest("comes", time.Second, 2*time.Second))
		is.True(errors.Is(err, runworks.ErrShortage))
		resumed := newRequest("resumed", 400*time.Millisecond, 2*time.Second)
		resumed.Resumed = true
		_, err = d.Acquire(context.Background(), resumed)
		is.True(errors.Is(err, runworks.ErrShortage))
		failed := newRequest("failed", 4*time.Second, 8*time.Second)
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

// TestBackoffBesideEjectedServer checks that an ejected server is used rather than waiting for
// the end of the back-off of the only one that is not ejected.
func TestBackoffBesideEjectedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		d.servers["s0"].recordResult(time.Now(), Unreachable)
		is.Equal(acquireAll(t, d), map[string]int{"s1": 4})
		requestBackoff(d, "s1", time.Second)
		is.Equal(acquireAll(t, d), map[string]int{"s0": 4})
	})
}

// TestBackoffAndLimit checks that no permits are requested for a server in a back-off, and that
// its permits are transferred to other entries, whose calls it may accept.
func TestBackoffAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a", Self: "me"}
		d.RequestPermits = func(*PermitTransfer) { t.Error("permits requested during a back-off") }
		d.SetServers(instances(8, 8))
		var running []*Lease
		for i := range 16 {
			running = append(running, mustAcquire(t, d, fmt.Sprint("busy", i)))
		}
		d.SetPeerLoad("other", runworks.EntryLoad{})
		reportLimit(d, "s0", 4)
		time.Sleep(time.Second)
		requestBackoff(d, "s0", 2*time.Second)
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

// TestMaxBackoff checks that a server is tried again after an hour, whatever back-off it
// requested.
func TestMaxBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4)
		requestBackoff(d, "s0", 1<<62)
		time.Sleep(maxBackoff - time.Second)
		is.Equal(acquireAll(t, d), map[string]int{})
		time.Sleep(2 * time.Second)
		is.Equal(acquireAll(t, d), map[string]int{"s0": 4})
	})
}
