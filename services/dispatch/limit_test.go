package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// reportLimit applies the report of a server that names a rate limit.
func reportLimit(d *Dispatcher, id string, perSecond float64) {
	lease := &Lease{dispatcher: d, server: d.servers[id], Instance: d.servers[id].Instance}
	lease.ApplyReport(&runworks.ServerReport{
		Limit: &runworks.RateLimit{Named: true, PerSecond: perSecond},
	}, time.Now())
}

// acquireAll acquires leases as long as they are available at once, and returns their number by
// server.
func acquireAll(t *testing.T, d *Dispatcher) map[string]int {
	t.Helper()
	out := map[string]int{}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		lease, err := d.Acquire(ctx, newRequest("c", 0))
		cancel()
		if err != nil {
			return out
		}
		out[lease.Instance.ID]++
	}
}

// TestServerAtLimitIsNotEjected checks that a server at its rate limit gets no calls, is neither
// ejected nor reported as such, and gets calls again as soon as its limit admits them.
func TestServerAtLimitIsNotEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		d.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("server ejected") }
		reportLimit(d, "s0", 2)
		is.Equal(acquireAll(t, d), map[string]int{"s1": 4})
		is.Equal(len(d.LocalLoad().Ejected), 0)
		time.Sleep(time.Second)
		is.Equal(acquireAll(t, d), map[string]int{"s0": 2})
	})
}

// TestFailedCallDoesNotWaitForALimit checks that a call that failed at one server and would have
// to wait for the rate limit of the other is rejected at once, and that a call that did not run,
// or a resumed stream, waits.
func TestFailedCallDoesNotWaitForALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		reportLimit(d, "s1", 1)
		failed := newRequest("failed", 0)
		failed.Exclude, failed.Retry = []string{"s0"}, true
		_, err := d.Acquire(context.Background(), failed)
		is.True(errors.Is(err, runworks.ErrNoServer))
		fresh := newRequest("fresh", 0)
		fresh.Exclude = []string{"s0"}
		go d.Run(t.Context())
		lease := <-acquireAsync(d, fresh)
		is.Equal(lease.Instance.ID, "s1")
		lease.Release(Served)
		resumed := newRequest("resumed", 0)
		resumed.Exclude, resumed.Retry, resumed.Resumed = []string{"s0"}, true, true
		lease = <-acquireAsync(d, resumed)
		is.Equal(lease.Instance.ID, "s1")
		lease.Release(Served)
		time.Sleep(1100 * time.Millisecond)
		lease, err = d.Acquire(context.Background(), failed)
		is.NoErr(err)
		is.Equal(lease.Instance.ID, "s1")
	})
}

// TestNoStartWithinLimits checks that calls that cannot start within the rate limits before
// their callers disconnect are rejected at once, while those ahead of them wait.
func TestNoStartWithinLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8, 8)
		reportLimit(d, "s0", 1)
		reportLimit(d, "s1", 1)
		go d.Run(t.Context())
		began := time.Now()
		var waiting []<-chan *Lease
		for rejected := false; !rejected; {
			a := newRequest(fmt.Sprint("c", len(waiting)), 0)
			a.Target, a.CallerTimeout = began.Add(500*time.Millisecond), began.Add(3*time.Second)
			out := acquireAsync(d, a)
			select {
			case <-out: // rejected at once
				rejected = true
			default:
				waiting = append(waiting, out)
			}
		}
		is.Equal(time.Since(began), time.Duration(0))
		// Two calls per second start, the first after one second; callers disconnect after 2.7 s.
		is.True(len(waiting) >= 3)
		is.True(len(waiting) <= 6)
		for _, out := range waiting {
			<-out
		}
	})
}

// TestNoShareOfAnyLimit checks that calls are rejected at once, with the reason, at an entry
// without a share of any limit.
func TestNoShareOfAnyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		d.Self = "me"
		reportLimit(d, "s0", 0)
		for i := range 100 {
			d.SetPeerLoad(runworks.Incarnation(strings.Repeat("x", i+1)), runworks.EntryLoad{})
		}
		_, err := d.Acquire(context.Background(), newRequest("c", 0))
		is.True(errors.Is(err, runworks.ErrShortage))
		is.True(strings.Contains(err.Error(), "no part"))
	})
}

// TestUnreachableEntryKeepsShare checks that an entry that timed out keeps its share of a limit
// until EntryTimeout: it may only be disconnected and still send requests.
func TestUnreachableEntryKeepsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		go d.Run(t.Context())
		d.SetPeerLoad("other", runworks.EntryLoad{})
		reportLimit(d, "s0", 4)
		share := func() float64 { return d.ServerStatuses()[0].LimitShare }
		is.Equal(share(), 2.0)
		d.MarkPeerUnreachable("other")
		is.Equal(share(), 2.0)
		time.Sleep(runworks.EntryTimeout - time.Second)
		is.Equal(share(), 2.0)
		time.Sleep(2 * time.Second)
		is.Equal(share(), 4.0)
		d.SetPeerLoad("other", runworks.EntryLoad{})
		is.Equal(share(), 2.0)
		d.RemovePeer("other") // its next incarnation connected
		is.Equal(share(), 4.0)
	})
}

// TestLimitsFromPeers checks that limits in notices of other entries are applied, also those of
// servers that become known later, and that an older notice does not override a newer report:
// the other entries get the newer limit again.
func TestLimitsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		var sent []runworks.ServerNotice
		d.SendServerNotice = func(l runworks.ServerNotice) { sent = append(sent, l) }
		notice := func(server string, perSecond float64, age time.Duration) runworks.ServerNotice {
			return runworks.ServerNotice{
				Server: server, Limit: &runworks.RateLimit{Named: perSecond > 0, PerSecond: perSecond},
				LimitAgeMs: age.Milliseconds(),
			}
		}
		d.ApplyNotices("other", []runworks.ServerNotice{notice("s0", 3, time.Minute)})
		d.SetServers(instances(4))
		limits := d.ServerNotices()
		is.Equal(len(limits), 1)
		is.Equal(limits[0].Limit.PerSecond, 3.0)
		is.Equal(limits[0].LimitAgeMs, time.Minute.Milliseconds())
		is.Equal(len(sent), 0) // only the entry that got the report sends notices

		reportLimit(d, "s0", 5)
		is.Equal(sent, []runworks.ServerNotice{notice("s0", 5, 0)})
		time.Sleep(100 * time.Millisecond)
		// The limit ended a second ago.
		d.ApplyNotices("other", []runworks.ServerNotice{notice("s0", 0, time.Second)})
		is.Equal(sent[1:], []runworks.ServerNotice{notice("s0", 5, 100*time.Millisecond)})
		is.Equal(d.ServerStatuses()[0].Limit.PerSecond, 5.0)

		d.ApplyNotices("other", []runworks.ServerNotice{notice("s0", 0, 0)})
		is.Equal(len(d.ServerNotices()), 0)
	})
}

// TestLimitOutlivesExpiredRecord checks that a limit and its consumed permits are kept when the
// record of the server disappears and returns, as it may only have expired during an outage of
// the store, and that they are removed after a while.
func TestLimitOutlivesExpiredRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		go d.Run(t.Context())
		reportLimit(d, "s0", 2)
		time.Sleep(2 * time.Second)
		is.Equal(acquireAll(t, d), map[string]int{"s0": 4})
		for range 3 {
			d.SetServers(nil)
			time.Sleep(100 * time.Millisecond)
			d.SetServers(instances(8))
		}
		is.Equal(d.ServerStatuses()[0].Limit.PerSecond, 2.0)
		is.Equal(acquireAll(t, d), map[string]int{})
		d.SetServers(nil)
		time.Sleep(runworks.EntryTimeout + time.Second)
		d.SetServers(instances(8))
		is.Equal(d.ServerStatuses()[0].Limit, runworks.RateLimit{})
		is.Equal(len(d.expiredReports), 0)
	})
}

// TestLimitsOfUnknownServersAreBounded checks that at most maxEarlyNotices notices are kept, for
// a bounded time.
func TestLimitsOfUnknownServersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{}
		for i := range 2 * maxEarlyNotices {
			d.ApplyNotices("other", []runworks.ServerNotice{
				{Server: strings.Repeat("x", i%97) + time.Duration(i).String()},
			})
		}
		is.Equal(len(d.pendingNotices), maxEarlyNotices)
		time.Sleep(runworks.EntryTimeout + time.Second)
		d.SetServers(nil)
		is.Equal(len(d.pendingNotices), 0)
	})
}

// TestPermitTransfer checks that a call that waits for a rate limit makes the entry request
// permits of another one, that it is sent with a transferred permit, and that unused permits are
// discarded.
func TestPermitTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a", Self: "me"}
		var transfers []*PermitTransfer
		d.RequestPermits = func(l *PermitTransfer) { transfers = append(transfers, l) }
		d.SetServers(instances(8))
		d.SetPeerLoad("other", runworks.EntryLoad{})
		reportLimit(d, "s0", 1)
		out := acquireAsync(d, newRequest("c", 0))
		is.Equal(len(out), 0)
		is.Equal(len(transfers), 1) // one request at a time
		is.Equal(*transfers[0], PermitTransfer{Server: "s0", Donor: "other", Permits: 1, service: "llm"})
		d.FinishTransfer(transfers[0], 3)
		lease := <-out
		is.Equal(lease.Instance.ID, "s0")
		waits := acquireAsync(d, newRequest("d", 0))
		is.Equal(len(waits), 0) // two of the three permits were discarded
		is.Equal(len(transfers), 2)
		d.FinishTransfer(transfers[1], 1)
		<-waits
	})
}

// TestNoPermitDonor checks that, if no entry transfers permits, some are asked one after the
// other, and more after pauses of increasing length; and that a call that arrives during a
// pause, or whose target has passed, is rejected at once.
func TestNoPermitDonor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a", Self: "me"}
		var asked atomic.Int32
		began := time.Now()
		d.RequestPermits = func(l *PermitTransfer) {
			asked.Add(1)
			time.AfterFunc(time.Millisecond, func() { d.FinishTransfer(l, 0) })
		}
		d.SetServers(instances(8))
		for i := range 50 {
			d.SetPeerLoad(runworks.Incarnation(strings.Repeat("x", i+1)), runworks.EntryLoad{})
		}
		reportLimit(d, "s0", 1)
		is.Equal(d.ServerStatuses()[0].LimitShare, 0.0) // by rendezvous hashing
		go d.Run(t.Context())
		out := acquireAsync(d, newRequest("c", 0))
		time.Sleep(10 * time.Millisecond)
		is.Equal(asked.Load(), int32(permitRequestTries))
		_, err := d.Acquire(context.Background(), newRequest("d", 0))
		is.True(errors.Is(err, runworks.ErrShortage))
		is.True(time.Since(began) < 20*time.Millisecond)
		_, granted := <-out
		is.True(!granted)
		is.Equal(time.Since(began), time.Second)
		is.True(asked.Load() > 2*permitRequestTries)
		is.True(asked.Load() < 6*permitRequestTries)
	})
}

// TestTransferPermits checks that unused permits are transferred, but none while calls of this
// entry wait.
func TestTransferPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		is.Equal(d.TransferPermits("s0", 9), 0) // no limit, so no permits
		is.Equal(d.TransferPermits("nobody", 9), 0)
		reportLimit(d, "s0", 2)
		time.Sleep(2 * time.Second)
		is.Equal(d.TransferPermits("s0", 3), 3)
		is.Equal(d.TransferPermits("s0", 3), 1)
		out := acquireAsync(d, newRequest("c", 0))
		// A permit is available again, and the waiting call is not checked yet.
		time.Sleep(600 * time.Millisecond)
		is.Equal(d.TransferPermits("s0", 3), 0)
		go d.Run(t.Context())
		<-out
	})
}

// TestLimitedServerIsNoReasonToWait checks that a call is sent to a slow server if the fast one
// has used up its rate limit: it may take long until that admits a request.
func TestLimitedServerIsNoReasonToWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := heterogeneous()
		reportLimit(d, "s0", 0)
		is.Equal((<-acquireAsync(d, requestWithPrompt("long", 6000))).Instance.ID, "s1")
	})
}
