package tests

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/runworks/runworks"
)

// failure injects one failure; a cut ends after its time.
type failure struct {
	name   string
	inject func(w *simCluster, server string)
}

var failures = []failure{
	{"reset", func(w *simCluster, server string) { w.net.Reset("entry-1", "host-"+server) }},
	{"cut 1s", func(w *simCluster, server string) { w.cutFor("entry-1", "host-"+server, time.Second) }},
	{"cut 5s", func(w *simCluster, server string) { w.cutFor("entry-1", "host-"+server, 5*time.Second) }},
	{"cut 20s", func(w *simCluster, server string) { w.cutFor("entry-1", "host-"+server, 20*time.Second) }},
	{"kill agent", func(w *simCluster, server string) { w.killAgent(server) }},
	{"restart agent", func(w *simCluster, server string) {
		w.killAgent(server)
		w.startAgent(server)
	}},
	{"kill entry", func(w *simCluster, _ string) { w.killEntry("entry-1") }},
}

// cutFor cuts the network between two hosts for the duration d.
func (w *simCluster) cutFor(a, b string, d time.Duration) {
	w.net.Partition(a, b)
	w.wg.Go(func() {
		time.Sleep(d)
		w.net.Heal(a, b)
	})
}

// sweepSpec has two engines, so that a request can go to another one after a failure.
var sweepSpec = simSpec{
	engines: []engineSpec{{"e1", 2, 10_000, 2000}, {"e2", 2, 10_000, 2000}},
	entries: []string{"entry-1", "entry-2"},
	latency: 500 * time.Microsecond,
}

// TestSweep makes two calls and injects each failure at moments from before the first message until
// after the last one. They are half of the network latency apart, so that each message meets a
// failure before, during and after its delivery.
func TestSweep(t *testing.T) {
	const (
		step  = 250 * time.Microsecond
		steps = 100
	)
	sweep(t, step, steps, sweepOnce)
}

// sweep runs once for each failure at each of a number of moments, a step apart.
func sweep(t *testing.T, step time.Duration, steps int, once func(*testing.T, failure, time.Duration) *history) {
	t.Helper()
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			counts := map[string]int{}
			for i := range steps {
				for what, n := range once(t, f, time.Duration(i)*step).counts() {
					counts[what] += n
				}
			}
			t.Logf("%s: %v", f.name, counts)
		})
	}
}

func sweepOnce(t *testing.T, f failure, at time.Duration) *history {
	t.Helper()
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		w := newSimCluster(t, sweepSpec)
		defer w.close()
		done := make(chan struct{})
		for i := range 2 {
			c := w.call("entry-1", i, 24)
			c.Stream = i == 0
			client := w.client()
			go func() {
				h.add(c, c.do(t.Context(), client))
				done <- struct{}{}
			}()
		}
		time.Sleep(at)
		f.inject(w, "e1")
		<-done
		<-done
		// Messages that arrive late must not make a reported outcome wrong.
		time.Sleep(time.Minute)
		h.check(t, w)
		if t.Failed() {
			t.Logf("%s at %s", f.name, at)
		}
	})
	return h
}

// TestSweepKeyed makes two calls with one idempotency key through both entries, injects each failure
// at the key's owner at each moment while they run, and makes a third call 4 s later. At most one
// request of the key may run.
func TestSweepKeyed(t *testing.T) {
	const (
		step  = 500 * time.Microsecond
		steps = 40
	)
	sweep(t, step, steps, sweepKeyedOnce)
}

func sweepKeyedOnce(t *testing.T, f failure, at time.Duration) *history {
	t.Helper()
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		w := newSimCluster(t, sweepSpec)
		defer w.close()
		time.Sleep(3 * time.Second)
		key := w.keyOwnedBy("e1")
		done := make(chan struct{})
		call := func(entry string, wait time.Duration) {
			c := w.call(entry, 1, 24)
			c.Header = map[string]string{runworks.HeaderIdempotencyKey: key}
			client := w.client()
			go func() {
				time.Sleep(wait)
				h.add(c, c.do(t.Context(), client))
				done <- struct{}{}
			}()
		}
		call("entry-1", 0)
		call("entry-2", 2*time.Millisecond)
		call("entry-2", 4*time.Second)
		time.Sleep(at)
		f.inject(w, "e1")
		for range 3 {
			<-done
		}
		time.Sleep(time.Minute)
		h.check(t, w)
		if t.Failed() {
			t.Logf("%s at %s", f.name, at)
		}
	})
	return h
}

// keyOwnedBy returns a new idempotency key whose owner is the agent of a backend server.
func (w *simCluster) keyOwnedBy(server string) string {
	now := w.entry("entry-1").Config.Active()
	for i := 0; ; i++ {
		key := mintKey(fmt.Sprint(i))
		if now.KeyOwner("llm", "tester", key) == server {
			return key
		}
	}
}
