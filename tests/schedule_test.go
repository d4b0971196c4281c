package tests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/standin"
)

const (
	scheduleTime  = 60 * time.Second
	scheduleCalls = 80
	// activeWithin is the time within which a configuration must be active everywhere.
	activeWithin = 19 * time.Second
)

// TestSchedules runs random schedules of failures under load and checks the history of each. It
// logs a seed that fails; -run Schedules -args -first-seed N -seeds 1 replays it.
func TestSchedules(t *testing.T) {
	const parallel = 8
	var mu sync.Mutex
	counts := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for lane := range parallel {
			t.Run(fmt.Sprintf("lane-%d", lane), func(t *testing.T) {
				t.Parallel()
				for i := lane; i < *seeds; i += parallel {
					h := runSchedule(t, uint64(*firstSeed+i))
					mu.Lock()
					for what, n := range h.counts() {
						counts[what] += n
					}
					mu.Unlock()
					if t.Failed() {
						t.Fatalf("seed %d", *firstSeed+i)
					}
				}
			})
		}
	})
	t.Logf("%d seeds: %v", *seeds, counts)
}

// schedule is one random run.
type schedule struct {
	t      *testing.T
	w      *simCluster
	random *rand.Rand
	h      *history
	calls  sync.WaitGroup
	faults sync.WaitGroup
	// servers and entries are names in a fixed order, so that a seed replays the same run.
	servers  []string
	entries  []string
	injected []string
}

func runSchedule(t *testing.T, seed uint64) *history {
	t.Helper()
	s := &schedule{t: t, random: rand.New(rand.NewPCG(seed, 1)), h: &history{}} //nolint:gosec // a seed is wanted
	synctest.Test(t, func(t *testing.T) {
		s.t = t
		s.w = newSimCluster(t, smallSpec)
		defer s.w.close()
		s.servers = []string{"e1", "e2", "e3", "p1", "p2"}
		s.entries = []string{"entry-1", "entry-2"}
		time.Sleep(3 * time.Second) // idempotency keys are accepted from now on
		watch := newVersionWatch(t, s.w)
		s.startCalls()
		s.startFaults()
		s.calls.Wait()
		s.faults.Wait()
		s.w.log.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		watch.checkConverged()
		watch.end()
		s.h.check(t, s.w)
		if t.Failed() {
			t.Logf("seed %d, faults %q", seed, s.injected)
		}
	})
	return s.h
}

// startCalls starts calls at random times through both entries.
func (s *schedule) startCalls() {
	for i := range scheduleCalls {
		c := s.w.call(s.entries[s.random.IntN(2)], i, 1+s.random.IntN(40))
		c.Stream = s.random.IntN(2) == 0
		c.Header = map[string]string{runworks.HeaderTimeout: "30s"}
		keyed := s.random.IntN(3) == 0
		if s.random.IntN(4) == 0 {
			c.Service, c.Stream = "app", false
			c.Header[runworks.HeaderKind] = "alarm"
		}
		at := time.Duration(s.random.Int64N(int64(scheduleTime)))
		twice := s.random.IntN(2) == 0
		s.calls.Go(func() { s.call(c, at, keyed, twice) })
	}
}

// call makes one call. A call with an idempotency key is repeated through the other entry until it
// is answered, and with twice also made there at the same time.
func (s *schedule) call(c *completionCall, at time.Duration, keyed, twice bool) {
	time.Sleep(at)
	client := s.w.client()
	if !keyed {
		s.h.add(c, c.do(context.Background(), client))
		return
	}
	c.Header[runworks.HeaderIdempotencyKey] = mintKey(c.Prompt)
	other := *c
	other.Entry = map[string]string{"entry-1:70": "entry-2:70", "entry-2:70": "entry-1:70"}[c.Entry]
	if twice {
		s.calls.Go(func() { s.h.add(&other, other.do(context.Background(), s.w.client())) })
	}
	for range 4 {
		r := c.do(context.Background(), client)
		s.h.add(c, r)
		if r.Complete || r.Outcome == runworks.OutcomeFailed {
			return
		}
		time.Sleep(time.Second)
		c = &other
	}
}

// mintKey returns a UUIDv7 of the current virtual time. uuid.NewV7 cannot be used: it keeps its
// last time across all bubbles, so its keys would lie in the future here.
func mintKey(text string) string {
	id := uuid.NewSHA1(uuid.Nil, []byte(text))
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// fault causes one failure and ends it again; pick is its random source.
type fault struct {
	name string
	run  func(s *schedule, pick *rand.Rand)
}

var faults = []fault{
	{"kill agent", func(s *schedule, pick *rand.Rand) {
		server := s.servers[pick.IntN(len(s.servers))]
		s.w.killAgent(server)
		time.Sleep(time.Duration(pick.IntN(5000)) * time.Millisecond)
		s.w.startAgent(server)
	}},
	{"kill entry", func(s *schedule, pick *rand.Rand) {
		name := s.entries[pick.IntN(2)]
		s.w.killEntry(name)
		time.Sleep(time.Duration(pick.IntN(3000)) * time.Millisecond)
		s.w.startEntry(name)
	}},
	{"cut", func(s *schedule, pick *rand.Rand) {
		a, b := s.entries[pick.IntN(2)], "host-"+s.servers[pick.IntN(len(s.servers))]
		s.w.net.Partition(a, b)
		time.Sleep(time.Duration(pick.IntN(15000)) * time.Millisecond)
		s.w.net.Heal(a, b)
	}},
	{"reset", func(s *schedule, pick *rand.Rand) {
		s.w.net.Reset(s.entries[pick.IntN(2)], "host-"+s.servers[pick.IntN(len(s.servers))])
	}},
	{"slow engine", func(s *schedule, pick *rand.Rand) {
		e := s.w.engines[[]string{"e1", "e2", "e3"}[pick.IntN(3)]]
		e.SetSlowdown(10)
		time.Sleep(10 * time.Second)
		e.SetSlowdown(1)
	}},
	{"log outage", func(s *schedule, pick *rand.Rand) {
		s.w.log.SetFaults(standin.LogFaults{Outage: true})
		time.Sleep(time.Duration(pick.IntN(20000)) * time.Millisecond)
		s.w.log.SetFaults(standin.LogFaults{LoseResponses: pick.IntN(3)})
	}},
	{"cut from the platform", func(s *schedule, pick *rand.Rand) {
		host := append([]string{"host-e1", "host-p1"}, s.entries...)[pick.IntN(4)]
		s.w.net.Partition(host, "platform")
		time.Sleep(time.Duration(pick.IntN(30000)) * time.Millisecond)
		s.w.net.Heal(host, "platform")
	}},
	{"stop agent", func(s *schedule, pick *rand.Rand) {
		server := s.servers[pick.IntN(len(s.servers))]
		s.w.stopAgent(server)
		s.w.startAgent(server)
	}},
	{"concurrent operators", func(s *schedule, pick *rand.Rand) {
		for range 2 {
			weight := 1 + pick.Float64()
			s.faults.Go(func() { s.apply(weight) })
		}
	}},
}

// apply applies a changed configuration, as one of several concurrent operators.
func (s *schedule) apply(weight float64) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	cfg := *s.w.cfg
	cfg.Customers = append([]runworks.Customer(nil), cfg.Customers...)
	cfg.Customers[0].Weight = weight
	_, _ = config.Apply(ctx, s.w.log, config.BaseActive, &cfg)
}

// startFaults causes one to six failures at random times, which may overlap. Faults that kill or
// stop an entry or agent run one at a time, so that none is killed twice at once.
func (s *schedule) startFaults() {
	var one sync.Mutex
	for range 1 + s.random.IntN(6) {
		f := faults[s.random.IntN(len(faults))]
		at := time.Duration(s.random.Int64N(int64(scheduleTime)))
		pick := rand.New(rand.NewPCG(s.random.Uint64(), 2)) //nolint:gosec // a seed is wanted
		s.injected = append(s.injected, fmt.Sprintf("%s at %s", f.name, at))
		exclusive := f.name == "kill agent" || f.name == "kill entry" || f.name == "stop agent"
		s.faults.Go(func() {
			time.Sleep(at)
			if exclusive {
				lockInVirtualTime(&one)
				defer one.Unlock()
			}
			f.run(s, pick)
		})
	}
}

// lockInVirtualTime locks mu by polling. mu.Lock would stop virtual time: synctest does not treat
// a goroutine that waits for a mutex as durably blocked.
func lockInVirtualTime(mu *sync.Mutex) {
	for !mu.TryLock() {
		time.Sleep(100 * time.Millisecond)
	}
}

// stopAgent stops an agent as planned and waits until it has returned.
func (w *simCluster) stopAgent(server string) {
	w.mu.Lock()
	r := w.agents[server]
	w.mu.Unlock()
	close(r.stop)
	<-r.done
}

// versionWatch checks that no process returns to an older configuration, and that all processes
// reach the newest one.
type versionWatch struct {
	t    *testing.T
	w    *simCluster
	stop chan struct{}
	done chan struct{}
	seen map[*config.Follower]int64
}

func newVersionWatch(t *testing.T, w *simCluster) *versionWatch {
	t.Helper()
	v := &versionWatch{t: t, w: w, stop: make(chan struct{}), done: make(chan struct{}), seen: map[*config.Follower]int64{}}
	go v.run()
	return v
}

func (v *versionWatch) run() {
	defer close(v.done)
	for {
		select {
		case <-v.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, f := range v.followers() {
			now := f.Version()
			if now < v.seen[f] {
				v.t.Errorf("a process returned from version %d to %d", v.seen[f], now)
			}
			v.seen[f] = now
		}
	}
}

func (v *versionWatch) followers() []*config.Follower {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	var out []*config.Follower
	for _, a := range v.w.agents {
		if isStarted(a.daemon.Started) {
			out = append(out, a.daemon.Config)
		}
	}
	for _, e := range v.w.entries {
		if isStarted(e.daemon.Started) {
			out = append(out, e.daemon.Config)
		}
	}
	return out
}

// checkConverged checks that the newest version is active in each process.
func (v *versionWatch) checkConverged() {
	newest, _, err := config.Latest(context.Background(), v.w.log)
	if err != nil {
		v.t.Error(err)
	}
	for _, f := range v.followers() {
		if f.Version() != newest {
			v.t.Errorf("active version of a process is %d, newest in the log %d", f.Version(), newest)
		}
	}
}

func (v *versionWatch) end() {
	close(v.stop)
	<-v.done
}
