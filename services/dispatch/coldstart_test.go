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
	"github.com/runworks/runworks/services/serverlimit"
)

// coldMost is the number of requests per second that a server bears from all entries while it
// starts up.
const coldMost = 30.5

func coldLLM(string) ColdStart {
	return ColdStart{Duration: 3 * time.Second, PerSecond: serverlimit.RateWithin(coldMost)}
}

// inHall moves the servers of a list to a hall.
func inHall(hall string, list []runworks.Instance) []runworks.Instance {
	for i := range list {
		list[i].Hall = hall
	}
	return list
}

// suspended returns the list with all servers suspended.
func suspended(list []runworks.Instance) []runworks.Instance {
	out := make([]runworks.Instance, 0, len(list))
	for _, one := range list {
		one.Suspended = true
		out = append(out, one)
	}
	return out
}

// TestSuspendedHallGetsNoCalls checks that no call goes to a suspended hall: a new one, one that
// waits, and one that has a lease but was not sent. Calls go there again once it is resumed.
func TestSuspendedHallGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		list := inHall("b", instances(1))
		d.SetServers(list)
		unsent := mustAcquire(t, d, "unsent")
		waiting := acquireAsync(d, newRequest("waiting", 0))
		change := d.SetServers(suspended(list))
		is.Equal(len(change.Withdrawn)+len(change.Exited), 0) // the hall's suspension says it all
		is.True(unsent.Unavailable())
		unsent.Release(Abandoned)
		synctest.Wait()
		is.Equal(len(waiting), 0)
		_, err := d.Acquire(context.Background(), newRequest("new", 0))
		is.True(errors.Is(err, runworks.ErrNoServer))
		d.SetServers(list)
		is.Equal((<-waiting).Instance.ID, "s0")
	})
}

// TestCallsBoundToHalls checks that a call that is bound to halls goes to no other, although others
// have free slots, and fails at once where its halls have no server.
func TestCallsBoundToHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		list := instances(1, 4)
		list[0].Hall = "b"
		d.SetServers(list)
		bound := func(id, hall string) *Request {
			req := newRequest(id, 0)
			req.AllowsHall = func(h string) bool { return h == hall }
			return req
		}
		lease := <-acquireAsync(d, bound("first", "b"))
		is.Equal(lease.Instance.ID, "s0")
		waiting := acquireAsync(d, bound("second", "b"))
		is.Equal(len(waiting), 0)
		is.Equal(mustAcquire(t, d, "free").Instance.ID, "s1") // the waiting call holds up no other
		lease.Release(Served)
		is.Equal((<-waiting).Instance.ID, "s0")
		_, err := d.Acquire(context.Background(), bound("nowhere", "c"))
		is.True(errors.Is(err, runworks.ErrNoServer))
	})
}

// TestColdServers checks which servers are limited as slow from their start.
func TestColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a", ColdStart: coldLLM}
		limited := func(id string) bool { return d.servers[id].limit.Active(time.Now()) }
		list := instances(4, 4)
		list[1].ColdUntil = time.Now().Add(time.Second)
		d.SetServers(list)
		is.True(!limited("s0")) // it ran before this entry
		is.True(limited("s1"))
		time.Sleep(1100 * time.Millisecond)
		d.pumpAll()
		is.True(!limited("s1"))

		list = append(list, instances(4, 4, 4)[2])
		d.SetServers(list)
		is.True(limited("s2")) // it started just now
		is.True(!limited("s0"))
		time.Sleep(4 * time.Second)
		d.pumpAll()
		is.True(!limited("s2"))

		d.SetServers(suspended(list))
		time.Sleep(time.Minute)
		d.SetServers(list)
		is.True(limited("s0")) // it may have turned cold meanwhile
		time.Sleep(4 * time.Second)
		d.pumpAll()
		list[0].ColdUntil = time.Now().Add(time.Second)
		d.SetServers(list)
		is.True(limited("s0")) // it says so itself
		is.True(!limited("s1"))
	})
}

// coldFleet is a set of entries whose calls are counted by server.
type coldFleet struct {
	entries []*Dispatcher
	work    sync.WaitGroup
	mu      sync.Mutex
	// sent holds the times of the calls by server.
	sent map[string][]time.Time
}

// newColdFleet returns n entries that know each other, with the servers of a list.
func newColdFleet(ctx context.Context, n int, list []runworks.Instance) *coldFleet {
	f := &coldFleet{sent: map[string][]time.Time{}}
	byID := map[runworks.Incarnation]*Dispatcher{}
	for i := range n {
		d := &Dispatcher{Hall: "a", Self: runworks.Incarnation(fmt.Sprint("entry-", i)), ColdStart: coldLLM}
		d.RequestPermits = func(p *PermitTransfer) {
			f.work.Go(func() {
				time.Sleep(simLatency)
				d.FinishTransfer(p, byID[p.Donor].TransferPermits(p.Server, p.Permits))
			})
		}
		byID[d.Self] = d
		f.entries = append(f.entries, d)
		d.SetServers(list)
		f.work.Go(func() { d.Run(ctx) })
	}
	for _, d := range f.entries {
		for _, other := range f.entries {
			if other != d {
				d.SetPeerLoad(other.Self, runworks.EntryLoad{})
			}
		}
	}
	return f
}

// load runs callers at an entry, each with one call after the other, until ctx ends.
func (f *coldFleet) load(ctx context.Context, d *Dispatcher, callers int, duration time.Duration) {
	for c := range callers {
		f.work.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				lease, err := d.Acquire(ctx, newRequest(fmt.Sprint(c, "-", i), 0))
				if err != nil {
					time.Sleep(duration)
					continue
				}
				f.mu.Lock()
				f.sent[lease.Instance.ID] = append(f.sent[lease.Instance.ID], time.Now())
				f.mu.Unlock()
				time.Sleep(duration)
				lease.Release(Served)
			}
		})
	}
}

// mostInSecond returns the most calls that a server got within a second from a time on, and all
// that it got then.
func (f *coldFleet) mostInSecond(server string, from time.Time) (most, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.sent[server]
	first := 0
	for i, at := range list {
		for list[first].Before(from) || at.Sub(list[first]) >= time.Second {
			if first == i {
				break
			}
			first++
		}
		if !at.Before(from) {
			most, all = max(most, i-first+1), all+1
		}
	}
	return most, all
}

// TestHallReturnsCold guards against a hall whose servers fall over as they return: under a full
// load from thirty entries, each server gets no more in a second than it bears while it is cold.
func TestHallReturnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		list := inHall("b", instances(10, 10, 10))
		f := newColdFleet(ctx, 30, suspended(list))
		for _, d := range f.entries {
			f.load(ctx, d, 10, 50*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(f.sent), 0)
		resumed := time.Now()
		for _, d := range f.entries {
			d.SetServers(list)
			time.Sleep(3 * time.Millisecond)
		}
		time.Sleep(2800 * time.Millisecond)
		for _, one := range list {
			most, all := f.mostInSecond(one.ID, resumed)
			is.True(all > 20) // it is used
			if float64(most) > coldMost {
				t.Errorf("%s got %d calls in a second, %g allowed", one.ID, most, coldMost)
			}
		}
		time.Sleep(time.Second)
		cancel()
		f.work.Wait()
		most, _ := f.mostInSecond("s0", resumed.Add(3*time.Second))
		is.True(float64(most) > coldMost) // the limit is over
	})
}
