package tests

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/config"
)

// drainWithin is the time after which a draining backend server must get no new requests.
const drainWithin = 3 * time.Second

// steadyCalls makes a short call every 50 ms through the entries in turn until stopAndCheck is
// called, beside two streams that take minutes.
type steadyCalls struct {
	w     *simCluster
	h     history
	stop  chan struct{}
	calls sync.WaitGroup
}

func newSteadyCalls(w *simCluster, entries ...string) *steadyCalls {
	s := &steadyCalls{w: w, stop: make(chan struct{})}
	for i := range 2 { // only two, so that the fastest engine keeps slots for short calls
		c := w.call(entries[i%len(entries)], 10_000+i, 10_000)
		c.Stream = true
		c.Header = map[string]string{runworks.HeaderTimeout: "10m"}
		s.start(c)
	}
	s.calls.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-s.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			s.start(w.call(entries[i%len(entries)], i, 5))
		}
	})
	return s
}

func (s *steadyCalls) start(c *completionCall) {
	s.calls.Go(func() { s.h.add(c, c.do(context.Background(), s.w.client())) })
}

// stopAndCheck stops the load, waits for all calls, and checks that each got its complete answer.
func (s *steadyCalls) stopAndCheck(t *testing.T) {
	t.Helper()
	close(s.stop)
	s.calls.Wait()
	s.h.check(t, s.w)
	for _, e := range s.h.events {
		if !e.result.Complete {
			r := e.result
			t.Errorf("call cut off after %d bytes: status %d, outcome %q, code %q, %v", len(r.Text), r.Status, r.Outcome, r.Code, r.Err)
		}
	}
	t.Logf("%d calls", len(s.h.events))
}

// longTimeoutSpec returns a spec whose rule allows streams of up to 10 min.
func longTimeoutSpec() simSpec {
	spec := smallSpec
	spec.edit = func(cfg *runworks.Config) { cfg.Rules[0].MaxTimeout = 10 * time.Minute }
	return spec
}

// TestPlannedStopOfAgent stops an agent under load while streams of minutes run: no request is cut
// off, and the agent's server gets no new one.
func TestPlannedStopOfAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, longTimeoutSpec())
		defer w.close()
		calls := newSteadyCalls(w, "entry-1", "entry-2")
		time.Sleep(3 * time.Second)
		stopped := make(chan time.Duration)
		began := time.Now()
		go func() {
			w.stopAgent("e3")
			stopped <- time.Since(began)
		}()
		is.True(len(w.engines["e3"].Stats().Dispatches) > 20) // it had work until now
		time.Sleep(drainWithin)
		before := len(w.engines["e3"].Stats().Dispatches)
		took := <-stopped
		if n := len(w.engines["e3"].Stats().Dispatches) - before; n != 0 {
			t.Errorf("%d requests reached a draining backend server after %s", n, drainWithin)
		}
		t.Logf("the agent waited %s for its streams", took)
		w.startAgent("e3")
		time.Sleep(5 * time.Second)
		calls.stopAndCheck(t)
	})
}

// TestPlannedStopOfEntry stops an entry under load. Its requests in flight are completed; it still
// takes new ones until the balancer has noticed, and refuses connections after its exit.
func TestPlannedStopOfEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, longTimeoutSpec())
		defer w.close()
		inFlight := newSteadyCalls(w, "entry-1")
		time.Sleep(3 * time.Second)
		entry := w.entries["entry-1"]
		began := time.Now()
		close(entry.stop)
		time.Sleep(500 * time.Millisecond)
		is.True(entry.daemon.Entry.Ready() == nil) // still takes calls until the balancer has noticed
		inFlight.stopAndCheck(t)
		<-entry.done
		t.Logf("the entry waited %s for its requests", time.Since(began))
		w.mu.Lock()
		delete(w.entries, "entry-1")
		w.mu.Unlock()
		r := w.call("entry-1", 1, 5).do(t.Context(), w.client())
		is.True(r.Err != nil) // the connection is refused
	})
}

// TestDrainingByHostList marks a host as draining in a host list that lags by 1.5 s: after
// drainWithin its backend server gets no new requests.
func TestDrainingByHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, longTimeoutSpec())
		defer w.close()
		time.Sleep(3 * time.Second)
		w.hosts.SetLag(1500 * time.Millisecond)
		calls := newSteadyCalls(w, "entry-1", "entry-2")
		time.Sleep(3 * time.Second)
		is.True(len(w.engines["e3"].Stats().Dispatches) > 20) // it had work until now
		w.hosts.Put(runworks.Host{Name: "host-e3", Role: runworks.RoleAgent, Hall: "a", Address: "host-e3:70", Draining: true})
		time.Sleep(drainWithin)
		before := len(w.engines["e3"].Stats().Dispatches)
		time.Sleep(20 * time.Second)
		if n := len(w.engines["e3"].Stats().Dispatches) - before; n != 0 {
			t.Errorf("%d requests reached a draining backend server after %s", n, drainWithin)
		}
		calls.stopAndCheck(t)
	})
}

// TestHostListFlaps removes all hosts from the list for 1.5 s while streams run on them. No request
// that runs may be cut off, and the hosts get new requests once they are back.
func TestHostListFlaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, longTimeoutSpec())
		defer w.close()
		calls := newSteadyCalls(w, "entry-1", "entry-2")
		time.Sleep(2 * time.Second)
		hosts, err := w.hosts.Hosts(t.Context())
		is.NoErr(err)
		w.hosts.Set(nil)
		time.Sleep(1500 * time.Millisecond)
		w.hosts.Set(hosts)
		time.Sleep(2 * time.Second)
		is.NoErr(w.call("entry-1", 77_777, 5).check(t.Context(), w.client()))
		close(calls.stop)
		calls.calls.Wait()
		calls.h.check(t, w)
		for _, e := range calls.h.events {
			refused := e.result.Outcome == runworks.OutcomeNotRun
			is.True(e.result.Complete || refused) // no request that ran was cut off
		}
		t.Log(calls.h.counts())
	})
}

// TestConfigurationActive applies a configuration of realistic size while no host, an entry or an
// agent's host is cut off from the log service. It must be active everywhere within activeWithin.
func TestConfigurationActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spec := simSpec{entries: []string{"entry-1", "entry-2", "entry-3"}, plains: []string{"p1", "p2", "p3"}, latency: 1500 * time.Microsecond}
		for i := range 12 {
			spec.engines = append(spec.engines, engineSpec{fmt.Sprintf("e%d", i), 4, 4000, 40})
		}
		w := newSimCluster(t, spec)
		defer w.close()
		watch := newVersionWatch(t, w)
		defer watch.end()
		for _, cutOff := range []string{"", "entry-2", "host-e7"} {
			if cutOff != "" {
				w.net.Partition(cutOff, "platform")
				time.Sleep(10 * time.Second)
			}
			cfg := *w.cfg
			result, err := config.Apply(t.Context(), w.log, config.BaseActive, &cfg)
			is.NoErr(err)
			began := time.Now()
			w.waitFor("the configuration is active everywhere", time.Minute, func() bool {
				for _, f := range watch.followers() {
					if f.Version() != result.Version {
						return false
					}
				}
				return true
			})
			took := time.Since(began)
			t.Logf("cut off from the log: %q; active everywhere after %s", cutOff, took)
			is.True(took < activeWithin)
			if cutOff != "" {
				w.net.Heal(cutOff, "platform")
			}
		}
	})
}

// TestLargeCustomerDoesNotStarveASmallOne fills all slots and queues with the requests of one
// customer. The few calls of another customer must still be answered within 2 s.
func TestLargeCustomerDoesNotStarveASmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spec := smallSpec
		spec.edit = func(cfg *runworks.Config) {
			cfg.Customers = append(cfg.Customers, runworks.Customer{Name: "westerly", KeySHA256: []string{sha256Hex("small-key")}})
		}
		w := newSimCluster(t, spec)
		defer w.close()
		var calls sync.WaitGroup
		for i := range 300 {
			c := w.call("entry-1", i, 40)
			calls.Go(func() { c.do(context.Background(), w.client()) })
		}
		time.Sleep(2 * time.Second)
		var slowest time.Duration
		for i := range 10 {
			c := w.call("entry-2", 1000+i, 5)
			c.Key = "small-key"
			began := time.Now()
			is.NoErr(c.check(t.Context(), w.client()))
			slowest = max(slowest, time.Since(began))
		}
		calls.Wait()
		t.Logf("slowest call of the small customer took %s with 300 calls of the large one", slowest)
		is.True(slowest < 2*time.Second)
	})
}

// TestKeysOutliveTheirOwner stops the owner of an idempotency key as planned after the key's request
// ran on another server. A repeated call must get the kept answer while the owner is away and after
// it has restarted, and the request must not run again.
func TestKeysOutliveTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, sweepSpec)
		defer w.close()
		time.Sleep(3 * time.Second)
		key := w.keyOwnedBy("e2") // the idle cluster runs its request on e1
		c := w.call("entry-1", 1, 24)
		c.Header = map[string]string{runworks.HeaderIdempotencyKey: key}
		is.NoErr(c.check(t.Context(), w.client()))
		is.Equal(len(w.engines["e1"].Stats().Dispatches), 1)

		w.stopAgent("e2")
		for _, entry := range []string{"entry-1", "entry-2"} {
			again := *c
			again.Entry = entry + ":70"
			is.NoErr(again.check(t.Context(), w.client())) // the owner is away
		}
		w.startAgent("e2")
		time.Sleep(10 * time.Second)
		is.NoErr(c.check(t.Context(), w.client())) // the owner has restarted
		other := *c
		other.Prompt = "another question"
		is.Equal(other.do(t.Context(), w.client()).Code, "key_reused")
		n := 0
		for _, count := range w.dispatches() {
			n += count
		}
		is.Equal(n, 1)
	})
}

// TestKeyOwnerChanges removes a backend server from the configuration, so that its keys get another
// owner. A key whose request ran gets the outcome unknown and does not run again; a new key runs.
func TestKeyOwnerChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, smallSpec)
		defer w.close()
		time.Sleep(3 * time.Second)
		c := w.call("entry-1", 1, 10)
		c.Header = map[string]string{runworks.HeaderIdempotencyKey: w.keyOwnedBy("e2")}
		is.NoErr(c.check(t.Context(), w.client()))

		cfg := *w.cfg
		cfg.Services = slices.Clone(cfg.Services)
		cfg.Services[0].BackendServers = []runworks.BackendServer{w.cfg.Services[0].BackendServers[0], w.cfg.Services[0].BackendServers[2]}
		_, err := config.Apply(t.Context(), w.log, config.BaseActive, &cfg)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		r := c.do(t.Context(), w.client())
		is.Equal(r.Outcome, runworks.OutcomeUnknown)
		is.Equal(r.Attempt, string(runworks.OutcomeNotRun))
		is.Equal(len(w.dispatches()), 1)

		fresh := w.call("entry-1", 2, 10)
		fresh.Header = map[string]string{runworks.HeaderIdempotencyKey: mintKey("fresh")}
		is.NoErr(fresh.check(t.Context(), w.client()))
	})
}
