package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// BenchmarkSetPeerLoad applies a load report at an entry of a large site: 102 other entries, 160
// engines whose slots are all taken, and the given number of calls waiting at each entry.
func BenchmarkSetPeerLoad(b *testing.B) {
	for _, waiting := range []int{0, 10, 100} {
		b.Run(fmt.Sprint("waiting-", waiting), func(b *testing.B) { benchmarkSetPeerLoad(b, waiting) })
	}
}

func benchmarkSetPeerLoad(b *testing.B, waiting int) {
	const (
		peers   = 102
		engines = 160
		slots   = 6
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &Dispatcher{Hall: "h0", Self: runworks.NewIncarnation()}
	var list []runworks.Instance
	for i := range engines {
		list = append(list, runworks.Instance{ID: "i-" + uuid.NewString()[:8], Service: "llm", Hall: fmt.Sprint("h", i%5), Slots: slots})
	}
	d.SetServers(list)
	incarnations := make([]runworks.Incarnation, peers)
	loads := make([]runworks.EntryLoad, peers)
	for i := range peers {
		incarnations[i] = runworks.NewIncarnation()
		loads[i] = runworks.EntryLoad{Running: runworks.RunningCalls{}}
		if waiting > 0 {
			loads[i].Waiting = runworks.WaitingCalls{"llm": {Rank: 1, Calls: waiting}}
		}
	}
	// All slots are taken except one at every twentieth server.
	for i := range engines * slots {
		server := list[i%engines].ID
		if i >= engines && i%engines%20 == 0 && i < 2*engines {
			continue
		}
		loads[i%peers].Running[server]++
	}
	for i := range peers {
		d.SetPeerLoad(incarnations[i], loads[i])
	}
	now := time.Now()
	for i := range waiting {
		req := &Request{
			ID: runworks.RequestID(fmt.Sprint("r", i)), Service: "llm", RouteRank: 1, PromptTokens: 1000, ExpectedTokens: 50, Customer: fmt.Sprint("c", i%40),
			Target: now.Add(time.Hour), Deadline: now.Add(time.Hour),
		}
		go func() { _, _ = d.Acquire(ctx, req) }()
	}
	for d.WaitingCalls()["llm"] < waiting-8 {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.SetPeerLoad(incarnations[i%peers], loads[i%peers])
	}
}

// TestIncrementalCounts adds and removes entries and servers at random: the counts that are
// updated by differences equal the sum of the latest reports of all entries.
func TestIncrementalCounts(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 7))
	d := &Dispatcher{Hall: "a"}
	for range 3000 {
		id := runworks.Incarnation(fmt.Sprint("life-", rng.IntN(12)))
		switch rng.IntN(12) {
		case 0:
			d.RemovePeer(id)
		case 1:
			d.SetServers(instances(make([]int, rng.IntN(20))...))
		default:
			d.SetPeerLoad(id, randomLoad(rng))
		}
		got := peerCounts(d)
		for _, s := range d.servers {
			s.peerCalls, s.peerUnread, s.peerErrors, s.peerEjections = 0, 0, 0, 0
		}
		for _, load := range d.peers {
			d.addPeerLoadLocked(&load, 1)
		}
		is.Equal(got, peerCounts(d))
		for _, s := range d.servers {
			is.Equal(s.peerEjectedSince.IsZero(), s.peerEjections == 0)
		}
	}
}

// randomLoad returns a random load report.
func randomLoad(rng *rand.Rand) runworks.EntryLoad {
	counts := func() map[string]int {
		out := map[string]int{}
		for range rng.IntN(4) {
			out[fmt.Sprint("s", rng.IntN(20))] = 1 + rng.IntN(5)
		}
		return out
	}
	load := runworks.EntryLoad{Running: counts(), UnreadPromptTokens: counts(), ConsecutiveFailures: counts()}
	if rng.IntN(3) == 0 {
		load.Ejected = []string{fmt.Sprint("s", rng.IntN(20))}
	}
	return load
}

// peerCounts returns the counts of the other entries at each server.
func peerCounts(d *Dispatcher) map[string][4]int {
	out := map[string][4]int{}
	for id, s := range d.servers {
		out[id] = [4]int{s.peerCalls, s.peerUnread, s.peerErrors, s.peerEjections}
	}
	return out
}

// TestShortCallsSkipTurns sends a call that ends before other entries learn of it to a free
// slot at once, although other entries report waiting calls.
func TestShortCallsSkipTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(6)
		for i := range minServed {
			lease := mustAcquire(t, d, fmt.Sprint("short", i))
			time.Sleep(25 * time.Millisecond)
			lease.Release(Served)
		}
		for i := range 20 {
			d.SetPeerLoad(runworks.Incarnation(fmt.Sprint("rival-", i)), runworks.EntryLoad{Waiting: runworks.WaitingCalls{"llm": {Rank: 0, Calls: 1000}}})
		}
		d.SetPeerLoad("busy", runningLoad(runworks.RunningCalls{"s0": 5}))
		d.LocalLoad() // the other entries know of the freed slots by now
		is.Equal(len(acquireAsync(d, newRequest("short", 0))), 1)
	})
}

// TestEjectionByPeers ejects a server after the report of one other entry in a small site,
// and after several reports in a large one.
func TestEjectionByPeers(t *testing.T) {
	for _, c := range []struct{ entries, needed int }{{4, 1}, {29, 1}, {102, 3}, {360, 8}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher(9, 9)
			incarnation := func(i int) runworks.Incarnation { return runworks.Incarnation(fmt.Sprint("life-", i)) }
			for i := range c.entries {
				d.SetPeerLoad(incarnation(i), runworks.EntryLoad{})
			}
			for i := range c.needed {
				is.True(d.servers["s0"].peerEjectedSince.IsZero())
				d.SetPeerLoad(incarnation(i), runworks.EntryLoad{Ejected: []string{"s0"}})
			}
			is.True(!d.servers["s0"].peerEjectedSince.IsZero())
			d.SetPeerLoad(incarnation(0), runworks.EntryLoad{})
			is.True(d.servers["s0"].peerEjectedSince.IsZero())
		})
	}
}

// TestHeartbeatsStartFewPasses guards against a front that spends its processor on a pass over its queue for
// each heartbeat of many others, and does all else seconds late.
func TestHeartbeatsStartFewPasses(t *testing.T) {
	const (
		peers     = 102
		perSecond = 640
		// maxPasses is what fits in 2.3 % of a core, which control may take, at 0.08 ms each.
		maxPasses = 287
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1)
		go d.Run(t.Context())
		loads := []runworks.EntryLoad{runningLoad(runworks.RunningCalls{"s0": 1}), runningLoad(runworks.RunningCalls{"s0": 2})}
		d.SetPeerLoad("entry-0", loads[0])
		var waiting []<-chan *Lease
		for i := range 10 {
			waiting = append(waiting, acquireAsync(d, newRequest(fmt.Sprint(i), 0)))
		}
		before := d.QueuePasses()
		for i := range perSecond {
			d.SetPeerLoad(runworks.Incarnation(fmt.Sprint("entry-", i%peers)), loads[i/peers%2])
			time.Sleep(time.Second / perSecond)
		}
		is.True(d.QueuePasses()-before <= maxPasses)
		for i := range peers {
			d.SetPeerLoad(runworks.Incarnation(fmt.Sprint("entry-", i)), runworks.EntryLoad{})
		}
		time.Sleep(peerPumpInterval)
		synctest.Wait()
		is.Equal(started(waiting), 1) // and a slot that heartbeats free is used
		time.Sleep(time.Minute)       // waiting calls are abandoned
	})
}

// TestPassTakesNoMemory guards against a pass whose garbage grows with the entries that contend for free slots.
func TestPassTakesNoMemory(t *testing.T) {
	is := is.New(t)
	server, entry := "i-"+uuid.NewString()[:8], runworks.NewIncarnation()
	is.Equal(testing.AllocsPerRun(100, func() { claimWeight(server, entry, 3) }), 0.0)
}
