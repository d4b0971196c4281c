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

// limitOf has a server name a limit to a dispatcher, in the answer to a call.
func limitOf(d *Dispatcher, id string, perSecond float64) {
	lease := &Lease{dispatcher: d, server: d.servers[id], Instance: d.servers[id].Instance}
	lease.ApplyReport(&runworks.ServerReport{Limit: &runworks.RateLimit{Named: true, PerSecond: perSecond}}, time.Now())
}

// served takes slots one after the other, as long as there are any at once, and counts
// those of each server.
func served(t *testing.T, d *Dispatcher) map[string]int {
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

// TestServerAtItsLimitHasNotFailed leaves a server alone that is at its limit, and holds
// nothing against it: nobody is told that it is left out, and it has calls again as soon as
// its limit allows.
func TestServerAtItsLimitHasNotFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		d.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("left out") }
		limitOf(d, "s0", 2)
		is.Equal(served(t, d), map[string]int{"s1": 4})
		is.Equal(len(d.LocalLoad().Ejected), 0)
		time.Sleep(time.Second)
		is.Equal(served(t, d), map[string]int{"s0": 2})
	})
}

// TestFailedCallDoesNotWaitForALimit tells a call at once that failed at one server and would
// have to wait for what the limit of the other gives, and lets one wait that did not run, or
// whose stream goes on.
func TestFailedCallDoesNotWaitForALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		limitOf(d, "s1", 1)
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

// TestNoHopeWithinTheLimits tells calls at once that the servers' limits leave no hope to
// start before their callers leave, and says why; the first of them wait.
func TestNoHopeWithinTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8, 8)
		limitOf(d, "s0", 1)
		limitOf(d, "s1", 1)
		go d.Run(t.Context())
		began := time.Now()
		var waiting []<-chan *Lease
		for told := false; !told; {
			a := newRequest(fmt.Sprint("c", len(waiting)), 0)
			a.Target, a.CallerTimeout = began.Add(500*time.Millisecond), began.Add(3*time.Second)
			out := acquireAsync(d, a)
			select {
			case <-out: // closed at once
				told = true
			default:
				waiting = append(waiting, out)
			}
		}
		is.Equal(time.Since(began), time.Duration(0))
		// Two a second start, the first after a second; callers leave after 2.7 s.
		is.True(len(waiting) >= 3)
		is.True(len(waiting) <= 6)
		for _, out := range waiting {
			<-out
		}
	})
}

// TestNoPartOfAnyLimit tells calls at once where the limits leave this entry no part.
func TestNoPartOfAnyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		d.Self = "me"
		limitOf(d, "s0", 0)
		for i := range 100 {
			d.SetPeerLoad(runworks.Incarnation(strings.Repeat("x", i+1)), runworks.EntryLoad{})
		}
		_, err := d.Acquire(context.Background(), newRequest("c", 0))
		is.True(errors.Is(err, runworks.ErrShortage))
		is.True(strings.Contains(err.Error(), "no part"))
	})
}

// TestSilentEntryKeepsItsPart counts an entry that fell silent among those that share a limit
// until it counts as gone: it may only be out of touch.
func TestSilentEntryKeepsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		go d.Run(t.Context())
		d.SetPeerLoad("other", runworks.EntryLoad{})
		limitOf(d, "s0", 4)
		part := func() float64 { return d.ServerStatuses()[0].LimitShare }
		is.Equal(part(), 2.0)
		d.MarkPeerUnreachable("other")
		is.Equal(part(), 2.0)
		time.Sleep(runworks.EntryTimeout - time.Second)
		is.Equal(part(), 2.0)
		time.Sleep(2 * time.Second)
		is.Equal(part(), 4.0)
		d.SetPeerLoad("other", runworks.EntryLoad{})
		is.Equal(part(), 2.0)
		d.RemovePeer("other") // its next life was heard
		is.Equal(part(), 4.0)
	})
}

// TestLimitsOfOthers takes what other entries tell: of a server that is not known yet once it
// is, an older word not at all; a limit that the server named again since, the others are
// told anew.
func TestLimitsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		var told []runworks.ServerNotice
		d.SendServerNotice = func(l runworks.ServerNotice) { told = append(told, l) }
		word := func(server string, perSecond float64, age time.Duration) runworks.ServerNotice {
			return runworks.ServerNotice{Server: server, Limit: &runworks.RateLimit{Named: perSecond > 0, PerSecond: perSecond}, LimitAgeMs: age.Milliseconds()}
		}
		d.ApplyNotices("other", []runworks.ServerNotice{word("s0", 3, time.Minute)})
		d.SetServers(instances(4))
		limits := d.ServerNotices()
		is.Equal(len(limits), 1)
		is.Equal(limits[0].Limit.PerSecond, 3.0)
		is.Equal(limits[0].LimitAgeMs, time.Minute.Milliseconds())
		is.Equal(len(told), 0) // it is the other's to tell

		limitOf(d, "s0", 5)
		is.Equal(told, []runworks.ServerNotice{word("s0", 5, 0)})
		time.Sleep(100 * time.Millisecond)
		d.ApplyNotices("other", []runworks.ServerNotice{word("s0", 0, time.Second)}) // it ended a second ago
		is.Equal(told[1:], []runworks.ServerNotice{word("s0", 5, 100*time.Millisecond)})
		is.Equal(d.ServerStatuses()[0].Limit.PerSecond, 5.0)

		d.ApplyNotices("other", []runworks.ServerNotice{word("s0", 0, 0)})
		is.Equal(len(d.ServerNotices()), 0)
	})
}

// TestLimitOutlivesALapse keeps the limit of a server whose record goes and comes back, with
// what was sent of it: the record may only have lapsed while the store was away. After a while
// nothing is known of it any more.
func TestLimitOutlivesALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		go d.Run(t.Context())
		limitOf(d, "s0", 2)
		time.Sleep(2 * time.Second)
		is.Equal(served(t, d), map[string]int{"s0": 4})
		for range 3 {
			d.SetServers(nil)
			time.Sleep(100 * time.Millisecond)
			d.SetServers(instances(8))
		}
		is.Equal(d.ServerStatuses()[0].Limit.PerSecond, 2.0)
		is.Equal(served(t, d), map[string]int{})
		d.SetServers(nil)
		time.Sleep(runworks.EntryTimeout + time.Second)
		d.SetServers(instances(8))
		is.Equal(d.ServerStatuses()[0].Limit, runworks.RateLimit{})
		is.Equal(len(d.expiredReports), 0)
	})
}

// TestLimitsOfUnknownServersAreBounded keeps no more of them than maxEarly, and none for long.
func TestLimitsOfUnknownServersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{}
		for i := range 2 * maxEarlyNotices {
			d.ApplyNotices("other", []runworks.ServerNotice{{Server: strings.Repeat("x", i%97) + time.Duration(i).String()}})
		}
		is.Equal(len(d.pendingNotices), maxEarlyNotices)
		time.Sleep(runworks.EntryTimeout + time.Second)
		d.SetServers(nil)
		is.Equal(len(d.pendingNotices), 0)
	})
}

// TestLoan asks another entry as a call waits for what a limit gives: the call is sent with
// what is lent, and what it has no use for is lost.
func TestLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a", Self: "me"}
		var loans []*PermitTransfer
		d.RequestPermits = func(l *PermitTransfer) { loans = append(loans, l) }
		d.SetServers(instances(8))
		d.SetPeerLoad("other", runworks.EntryLoad{})
		limitOf(d, "s0", 1)
		out := acquireAsync(d, newRequest("c", 0))
		is.Equal(len(out), 0)
		is.Equal(len(loans), 1) // one question at a time
		is.Equal(*loans[0], PermitTransfer{Server: "s0", Donor: "other", Permits: 1, service: "llm"})
		d.FinishTransfer(loans[0], 3)
		lease := <-out
		is.Equal(lease.Instance.ID, "s0")
		waits := acquireAsync(d, newRequest("d", 0))
		is.Equal(len(waits), 0) // two of the three are lost
		is.Equal(len(loans), 2)
		d.FinishTransfer(loans[1], 1)
		<-waits
	})
}

// TestNoLoan asks some entries one after the other, and then pauses, longer each time; a
// call that comes meanwhile is told at once that it has no hope, and so is one whose target
// has passed.
func TestNoLoan(t *testing.T) {
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
		limitOf(d, "s0", 1)
		is.Equal(d.ServerStatuses()[0].LimitShare, 0.0) // as the hash says
		go d.Run(t.Context())
		out := acquireAsync(d, newRequest("c", 0))
		time.Sleep(10 * time.Millisecond)
		is.Equal(asked.Load(), int32(permitRequestTries))
		_, err := d.Acquire(context.Background(), newRequest("d", 0))
		is.True(errors.Is(err, runworks.ErrShortage))
		is.True(time.Since(began) < 20*time.Millisecond)
		_, given := <-out
		is.True(!given)
		is.Equal(time.Since(began), time.Second)
		is.True(asked.Load() > 2*permitRequestTries)
		is.True(asked.Load() < 6*permitRequestTries)
	})
}

// TestLend gives what is at hand away, but not while own calls wait for it.
func TestLend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		is.Equal(d.TransferPermits("s0", 9), 0) // no limit: nothing to count
		is.Equal(d.TransferPermits("nobody", 9), 0)
		limitOf(d, "s0", 2)
		time.Sleep(2 * time.Second)
		is.Equal(d.TransferPermits("s0", 3), 3)
		is.Equal(d.TransferPermits("s0", 3), 1)
		out := acquireAsync(d, newRequest("c", 0))
		time.Sleep(600 * time.Millisecond) // something is at hand again, and the call not looked at yet
		is.Equal(d.TransferPermits("s0", 3), 0)
		go d.Run(t.Context())
		<-out
	})
}

// TestLimitedServerIsNoReasonToWait gives a call to a server that is too slow for it, where
// the one that is not has nothing left of its limit: it may be long until it has.
func TestLimitedServerIsNoReasonToWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := heterogeneous()
		limitOf(d, "s0", 0)
		is.Equal((<-acquireAsync(d, requestWithPrompt("long", 6000))).Instance.ID, "s1")
	})
}
