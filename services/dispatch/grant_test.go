package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// grantTokens is the prompt of the calls in tests of grants: enough to be reported in heartbeats.
const grantTokens = 2 * minUnreadReported

// trio holds the dispatchers of three entries that know the same server, s0: one that grants its
// slots, one that sends calls, and one that only hears of them.
type trio struct {
	scheduler, sender, other *Dispatcher
}

func newTrio(slots int) *trio {
	c := &trio{}
	for _, one := range []struct {
		d  **Dispatcher
		id runworks.Incarnation
	}{{&c.scheduler, "scheduler"}, {&c.sender, "sender"}, {&c.other, "other"}} {
		*one.d = newDispatcher(slots)
		(*one.d).Self = one.id
	}
	c.exchange(c.scheduler, c.sender, c.other)
	return c
}

// exchange passes the loads of the given entries to each other.
func (c *trio) exchange(live ...*Dispatcher) {
	for _, from := range live {
		load := from.LocalLoad()
		for _, to := range live {
			if to != from {
				to.SetPeerLoad(from.Self, load)
			}
		}
	}
}

// count is how many calls and unread tokens an entry counts itself.
type count struct{ calls, unread int }

func counted(d *Dispatcher) count {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers["s0"]
	return count{s.countedCalls(), s.ownUnread}
}

// known returns what an entry knows of the calls of all.
func known(d *Dispatcher) count {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers["s0"]
	return count{s.load(), s.ownUnread + s.peerUnread}
}

// grantedRequest returns a call of the sender with a long prompt.
func grantedRequest(id string) *Request {
	req := newRequest(id, 1)
	req.PromptTokens, req.MaxGap = grantTokens, 400*time.Millisecond
	return req
}

// grant lets the scheduler grant a slot to a call of the sender, which adopts it.
func (c *trio) grant(t *testing.T, observer Observer) (granted, adopted *Lease) {
	t.Helper()
	req := grantedRequest("call")
	granted, err := c.scheduler.AcquireFor(context.Background(), req, "sender")
	if err != nil {
		t.Fatal(err)
	}
	adopted = c.sender.Adopt(granted.Instance.IncarnationID(), req, "scheduler", observer)
	if adopted == nil {
		t.Fatal("grant not adopted")
	}
	return granted, adopted
}

// recorder is an Observer that records what it is notified of.
type recorder struct {
	first    time.Duration
	gaps     int
	late     int
	expected int
	events   int
	results  []Result
}

func (r *recorder) ReceivedFirstEvent(after time.Duration) { r.first = after }

func (r *recorder) ReceivedEvent(_ time.Duration, late bool) {
	r.gaps++
	if late {
		r.late++
	}
}

func (r *recorder) Completed(expectedTokens, events int) {
	r.expected, r.events = expectedTokens, events
}

func (r *recorder) Released(result Result) { r.results = append(r.results, result) }

// TestGrantCountsOnce guards against a call that counts at two entries or at none: from the grant to
// the end it counts at the scheduler, and the third entry knows of one call throughout.
func TestGrantCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio(4)
		seen := &recorder{}
		granted, adopted := c.grant(t, seen)
		check := func(at count) {
			t.Helper()
			is.Equal(counted(c.scheduler), at)
			is.Equal(counted(c.sender), count{})
			c.exchange(c.scheduler, c.sender, c.other)
			is.Equal(known(c.scheduler), at)
			is.Equal(known(c.sender), at)
			is.Equal(known(c.other), at)
		}
		check(count{1, grantTokens})
		time.Sleep(300 * time.Millisecond)
		adopted.RecordHeaders()
		adopted.RecordFirstEvent(grantTokens)
		is.Equal(seen.first, 300*time.Millisecond)
		check(count{1, grantTokens}) // the scheduler is not told yet
		granted.RecordRemoteFirstEvent(grantTokens, seen.first)
		check(count{1, 0})
		adopted.RecordEventGap(50 * time.Millisecond)
		adopted.RecordEventGap(500 * time.Millisecond)
		adopted.RecordLength(100, 20)
		adopted.Release(Served)
		adopted.Release(Interrupted) // without effect
		is.Equal(seen, &recorder{first: 300 * time.Millisecond, gaps: 2, late: 1, expected: 100, events: 20, results: []Result{Served}})
		check(count{1, 0})
		granted.RecordRemoteGaps(seen.gaps, 550*time.Millisecond, seen.late)
		granted.Release(Served)
		granted.Release(Served)
		check(count{})
	})
}

// TestGrantCountsAfterLossOfScheduler guards against a call that counts nowhere, or its prompt twice,
// after the scheduler is lost before or after the first event.
func TestGrantCountsAfterLossOfScheduler(t *testing.T) {
	for _, read := range []bool{false, true} {
		t.Run(fmt.Sprint("read=", read), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newTrio(4)
				_, adopted := c.grant(t, &recorder{})
				c.exchange(c.scheduler, c.sender, c.other)
				want := count{1, grantTokens}
				if read {
					adopted.RecordFirstEvent(grantTokens)
					want.unread = 0
				}
				for _, d := range []*Dispatcher{c.sender, c.other} {
					d.MarkPeerUnreachable("scheduler")
				}
				is.Equal(counted(c.sender), want)
				c.sender.RemovePeer("scheduler") // the timeout comes before the new incarnation
				is.Equal(counted(c.sender), want)
				c.exchange(c.sender, c.other)
				is.Equal(known(c.other), want)
				adopted.RecordFirstEvent(grantTokens)
				is.Equal(counted(c.sender), count{1, 0})
				adopted.Release(Served)
				is.Equal(counted(c.sender), count{})
				c.exchange(c.sender, c.other)
				is.Equal(known(c.other), count{})
			})
		})
	}
}

// TestGrantMovesToSender guards against a call that counts twice when its entry counts it although
// the scheduler lives: the scheduler ends the grant and records no result.
func TestGrantMovesToSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio(1)
		granted, adopted := c.grant(t, &recorder{})
		c.sender.CountGrants("scheduler")
		c.sender.CountGrants("scheduler") // without effect
		c.scheduler.EndGrants([]*Lease{granted})
		c.scheduler.EndGrants([]*Lease{granted})
		granted.Release(Unreachable) // the result belongs to the sender
		c.exchange(c.scheduler, c.sender, c.other)
		for _, d := range []*Dispatcher{c.scheduler, c.sender, c.other} {
			is.Equal(known(d), count{1, grantTokens})
		}
		is.Equal(counted(c.sender), count{1, grantTokens})
		is.True(c.scheduler.services["llm"].healthy(time.Now(), c.scheduler.servers["s0"]))
		adopted.Release(Abandoned)
		is.Equal(counted(c.sender), count{})
	})
}

// TestGrantsOfLostEntryEnd guards against slots that stay taken, and calls that stay in the queue,
// after the entry that asked for them is lost: the next call of another entry gets the slot.
func TestGrantsOfLostEntryEnd(t *testing.T) {
	for name, lose := range map[string]func(d *Dispatcher){
		"timeout": func(d *Dispatcher) { d.MarkPeerUnreachable("sender") },
		"restart": func(d *Dispatcher) { d.RemovePeer("sender") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newTrio(1)
				granted, _ := c.grant(t, &recorder{})
				failed := make(chan error, 1)
				go func() {
					lease, err := c.scheduler.AcquireFor(context.Background(), grantedRequest("waits"), "sender")
					if lease != nil {
						err = errors.New("a slot was granted to the lost entry")
					}
					failed <- err
				}()
				synctest.Wait()
				next := acquireAsync(c.scheduler, grantedRequest("next"))
				is.Equal(len(next), 0)
				lose(c.scheduler)
				is.True(errors.Is(<-failed, ErrEntryLost))
				lease := <-next
				is.True(lease != nil)
				is.Equal(counted(c.scheduler), count{1, grantTokens})
				granted.Release(Interrupted) // a notice that arrives late has no effect
				granted.RecordRemoteFirstEvent(grantTokens, time.Second)
				is.Equal(counted(c.scheduler), count{1, grantTokens})
				lease.Release(Served)
				is.Equal(counted(c.scheduler), count{})
			})
		})
	}
}

// TestReleaseWhileEntryIsLost guards against a deadlock between the end of a call and the loss of its
// entry.
func TestReleaseWhileEntryIsLost(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1000)
	for i := range 500 {
		d.SetPeerLoad("sender", runworks.EntryLoad{})
		lease, err := d.AcquireFor(context.Background(), newRequest(fmt.Sprint(i), 0), "sender")
		is.NoErr(err)
		var work sync.WaitGroup
		work.Go(func() { lease.Release(Served) })
		work.Go(func() { d.MarkPeerUnreachable("sender") })
		work.Wait()
	}
	is.Equal(counted(d), count{})
}

// TestAdoptRefuses guards against calls that are sent to a server that this entry must not use, and
// against a slot that is counted although it was not adopted.
func TestAdoptRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio(4)
		d := c.sender
		refused := func(server string, change func(req *Request)) {
			t.Helper()
			req := grantedRequest("call")
			if change != nil {
				change(req)
			}
			is.Equal(d.Adopt(server, req, "scheduler", &recorder{}), nil)
			is.Equal(counted(d), count{})
		}
		refused("unknown", nil)
		refused("s0", func(req *Request) { req.Service = "another" })
		refused("s0", func(req *Request) { req.Exclude = []string{"s0"} })
		refused("s0", func(req *Request) { req.AllowsHall = func(string) bool { return false } })
		is.Equal(len(d.Scheduling("llm").Unusable), 0)
		mustAcquire(t, d, "unreachable").Release(Unreachable)
		refused("s0", nil)
		is.Equal(d.Scheduling("llm").Unusable, []string{"s0"})
		time.Sleep(maxEjection)
		lease := mustAcquire(t, d, "backs off")
		lease.ApplyReport(&runworks.ServerReport{Backoff: time.Second}, time.Now())
		lease.Release(Rejected)
		refused("s0", nil)
		is.Equal(d.Scheduling("llm").Unusable, []string{"s0"})
		time.Sleep(2 * time.Second)
		d.MarkPeerUnreachable("scheduler")
		refused("s0", nil) // the scheduler may have ended the grant
		d.SetPeerLoad("scheduler", runworks.EntryLoad{})
		is.True(d.Adopt("s0", grantedRequest("call"), "scheduler", &recorder{}) != nil)
		list := instances(4)
		list[0].Draining = true
		d.SetServers(list)
		is.Equal(d.Adopt("s0", grantedRequest("call"), "scheduler", &recorder{}), nil)
	})
}

// TestErrorsOfGrantsCountOnce guards against an error that counts at the entry that saw it and at the
// scheduler: five failures in a row eject a server, and two entries would report each.
func TestErrorsOfGrantsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio(4)
		granted, adopted := c.grant(t, &recorder{})
		adopted.Release(Failed)
		granted.Release(Failed)
		c.exchange(c.scheduler, c.sender, c.other)
		is.Equal(c.other.servers["s0"].peerErrors, 1)
		granted, adopted = c.grant(t, &recorder{})
		adopted.Release(Unreachable)
		granted.Release(Unreachable)
		is.True(!c.scheduler.services["llm"].healthy(time.Now(), c.scheduler.servers["s0"]))
	})
}

// TestReleaseOfGrantLeavesSlotToScheduler guards against the use, by its sender, of a slot that the
// scheduler assigns next: only a slot that counted here is vacated here.
func TestReleaseOfGrantLeavesSlotToScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio(4)
		mustAcquire(t, c.sender, "own").Release(Served)
		_, adopted := c.grant(t, &recorder{})
		is.Equal(c.sender.servers["s0"].vacated, 1)
		adopted.Release(Served)
		is.Equal(c.sender.servers["s0"].vacated, 1)
	})
}

// TestNotScheduledWithRateLimit guards against grants at a service with a rate limit, of which each
// entry has a share of its own.
func TestNotScheduledWithRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4)
		is.Equal(d.Scheduling("llm"), Scheduling{})
		is.Equal(d.Scheduling("unknown"), Scheduling{})
		lease := mustAcquire(t, d, "call")
		lease.ApplyReport(&runworks.ServerReport{
			Limit: &runworks.RateLimit{Named: true, PerSecond: 10}, Load: &runworks.ServerLoad{Slowness: 1.5},
		}, time.Now())
		is.Equal(d.Scheduling("llm"), Scheduling{ReportsSlowness: true, Limited: true})
		_, err := d.AcquireFor(context.Background(), newRequest("granted", 0), "sender")
		is.True(errors.Is(err, ErrNotScheduled))
		d.SetServers(nil)
		d.SetServers([]runworks.Instance{{ID: "s1", Service: "llm", Slots: 1}})
		is.True(d.Scheduling("llm").ReportsSlowness) // for the life of the process
	})
}

// TestRemoteGapsOutOfRange guards against gaps that no stream can have.
func TestRemoteGapsOutOfRange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTrio(4)
		granted, _ := c.grant(t, &recorder{})
		granted.RecordRemoteGaps(-1, time.Second, 0)
		granted.RecordRemoteGaps(2, time.Second, 3)
		granted.RecordRemoteGaps(2, time.Second, -1)
		granted.RecordRemoteGaps(2, -time.Second, 0)
		s := c.scheduler.servers["s0"]
		is.Equal([]float64{float64(s.meanGap), float64(s.steadyGap), s.lateGaps}, []float64{0, 0, 0})
		granted.RecordRemoteGaps(1<<40, 1<<40*time.Microsecond, 0)
		is.Equal(float64(s.meanGap), time.Microsecond.Seconds())
	})
}

// TestNoPreferenceWhileGranting guards against placement by a hash where no other entry chooses at
// the same time: of two equal servers of different speed the faster one is chosen, as soon as and for
// as long as other entries ask for slots.
func TestNoPreferenceWhileGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8, 8)
		slow, fast := d.servers["s0"], d.servers["s1"]
		for name := 0; rendezvousHash("s1", d.Self)-rendezvousHash("s0", d.Self) < 0.5; name++ {
			d.Self = runworks.Incarnation(fmt.Sprint(name))
		}
		slow.meanGap, fast.meanGap = 0.0101, 0.0100 // the preference of this entry outweighs 1 %
		own := mustAcquire(t, d, "own")
		is.Equal(own.Instance.ID, "s0")
		own.Release(Served)
		granted, err := d.AcquireFor(context.Background(), newRequest("granted", 0), "sender")
		is.NoErr(err)
		is.Equal(granted.Instance.ID, "s1")
		granted.Release(Served)
		time.Sleep(grantingTime)
		own = mustAcquire(t, d, "own")
		is.Equal(own.Instance.ID, "s1")
		own.Release(Served)
		time.Sleep(time.Millisecond)
		is.Equal(mustAcquire(t, d, "own").Instance.ID, "s0")
	})
}

// BenchmarkGrantsUnderLoad measures, at the scheduler of a contended service, the end of a call, the
// grant of its slot to the next one in the queue, and the arrival of another: 44 servers with 11 slots,
// all in use, and 300 waiting calls of 24 entries with three ranks.
func BenchmarkGrantsUnderLoad(b *testing.B) {
	d := &Dispatcher{Hall: "a"}
	var list []runworks.Instance
	for i := range 44 {
		list = append(list, runworks.Instance{ID: fmt.Sprint("s", i), Service: "llm", Hall: "a", Slots: 11})
	}
	d.SetServers(list)
	for i := range 24 {
		d.SetPeerLoad(runworks.Incarnation(fmt.Sprint("entry-", i)), runworks.EntryLoad{})
	}
	n := 0
	waiters := map[*waiter]bool{}
	var leases []*Lease
	arrive := func() {
		n++
		req := newRequest(fmt.Sprint(n), n%3)
		req.PromptTokens, req.ExpectedTokens, req.MaxGap, req.Customer = 100+n%7000, 400, 400*time.Millisecond, fmt.Sprint(n%16)
		req.Target = time.Now().Add(time.Hour) // none is refused
		req.Deadline = req.Target
		w, lease, err := d.admit(req, runworks.Incarnation(fmt.Sprint("entry-", n%24)))
		if err != nil {
			b.Fatal(err)
		}
		if lease != nil {
			leases = append(leases, lease)
			return
		}
		waiters[w] = true
	}
	for len(waiters) < 300 {
		arrive()
	}
	b.ReportAllocs()
	for b.Loop() {
		leases[0].RecordRemoteFirstEvent(1000, 100*time.Millisecond)
		leases[0].RecordRemoteGaps(60, time.Second, 0)
		leases[0].Release(Served)
		leases = leases[1:]
		for w := range waiters {
			if len(w.lease) > 0 {
				leases = append(leases, <-w.lease)
				delete(waiters, w)
			}
		}
		arrive()
	}
}
