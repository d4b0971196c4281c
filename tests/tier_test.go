package tests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// smallQueuesSpec has short queues, so that requests are shed under load.
var smallQueuesSpec = simSpec{
	engines:    []engineSpec{{"e1", 2, 4000, 40}, {"e2", 2, 8000, 80}, {"e3", 3, 16000, 160}},
	entries:    []string{"entry-1", "entry-2"},
	latency:    20 * time.Millisecond, // so that many messages are in flight while agents decide
	maxWaiting: 6,
	edit: func(cfg *runworks.Config) {
		cfg.Rules = []runworks.Rule{
			{Services: []string{"llm"}, Tier: "urgent"},
			{Kind: "normal", Services: []string{"llm"}, Tier: "normal"},
			{Kind: "batch", Services: []string{"llm"}, Tier: "batch"},
		}
	},
}

// audit finds requests that wait while one of a higher tier is shed. A higher rank is a lower tier.
type audit struct {
	w  *simCluster
	mu sync.Mutex
	// shed counts shed requests by rank; violations describes what was found.
	shed       map[int]int
	violations []string
}

// onShed checks the queue of each agent at the moment at which a request is shed.
func (a *audit) onShed(req *runworks.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shed[req.Rank]++
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	for name, agent := range a.w.agents {
		for rank, n := range agent.daemon.Agent.Status().WaitingByRank {
			if rank > req.Rank {
				a.violations = append(a.violations, fmt.Sprintf("rank %d was shed while %d of rank %d waited at %s", req.Rank, n, rank, name))
			}
		}
	}
}

// TestTierOrderInShedding overloads a cluster with bursts of all tiers through both entries. When a
// request is shed, no agent may have one of a lower tier waiting.
func TestTierOrderInShedding(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { auditOverload(t, seed) })
		})
	}
}

func auditOverload(t *testing.T, seed uint64) {
	t.Helper()
	a := &audit{shed: map[int]int{}}
	spec := smallQueuesSpec
	spec.onShed = a.onShed
	w := newSimCluster(t, spec)
	a.w = w
	defer w.close()
	h := &history{}
	overload(t, w, h, seed)
	h.check(t, w)
	for _, text := range a.violations {
		t.Error(text)
	}
	if a.shed[0]+a.shed[1]+a.shed[2] == 0 {
		t.Error("nothing was shed")
	}
	t.Logf("shed by rank %v, %v", a.shed, h.counts())
}

// overload makes bursts of calls of all tiers for 30 s.
func overload(t *testing.T, w *simCluster, h *history, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // a seed is wanted
	var calls sync.WaitGroup
	kinds := []string{"", "normal", "batch"}
	for i := range 300 {
		c := w.call(smallQueuesSpec.entries[random.IntN(2)], i, 5+random.IntN(80))
		c.Header = map[string]string{"Runworks-Kind": kinds[random.IntN(3)]}
		burst := time.Duration(random.IntN(6)) * 5 * time.Second
		at := burst + time.Duration(random.IntN(800))*time.Millisecond
		calls.Go(func() {
			time.Sleep(at)
			h.add(c, c.do(context.Background(), w.client()))
		})
	}
	calls.Wait()
}

// TestAuditCatches checks that the audit finds a waiting request of a lower tier, so that
// TestTierOrderInShedding cannot pass because it misses one.
func TestAuditCatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, smallQueuesSpec)
		defer w.close()
		a := &audit{w: w, shed: map[int]int{}}
		var calls sync.WaitGroup
		for i := range 15 {
			c := w.call("entry-1", i, 400)
			c.Header = map[string]string{"Runworks-Kind": "batch"}
			calls.Go(func() { c.do(context.Background(), w.client()) })
		}
		time.Sleep(time.Second)
		a.onShed(&runworks.Request{Rank: 0})
		is.True(len(a.violations) > 0)
		calls.Wait()
	})
}
