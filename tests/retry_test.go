package tests

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestRetriesMakeNoStorm calls a plain service whose servers all break: retries
// of repeatable calls stay a small share, and others arrive exactly once.
func TestRetriesMakeNoStorm(t *testing.T) {
	const calls = 200
	tests := []struct {
		name string
		kind string
		most int
	}{
		{"repeatable", "", calls + calls/10},
		{"not repeatable", "alarm", calls},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, smallWorld)
				defer w.close()
				for _, p := range w.plains {
					p.SetBroken(true)
				}
				var work sync.WaitGroup
				for i := range calls {
					c := w.call("entry-1", i, 1)
					c.Service = "app"
					c.Header = map[string]string{runworks.HeaderKind: test.kind}
					work.Go(func() {
						time.Sleep(time.Duration(i) * 20 * time.Millisecond)
						r := c.do(context.Background(), w.client())
						is.Equal(r.Outcome, runworks.OutcomeFailed)
						is.Equal(r.Code, "backend_failed")
					})
				}
				work.Wait()
				arrived := 0
				for _, n := range w.dispatches() {
					arrived += n
				}
				t.Logf("%d calls drew %d arrivals", calls, arrived)
				is.True(arrived >= calls)
				is.True(arrived <= test.most)
			})
		})
	}
}

// TestDeadServerIsPassedOver takes one of two plain servers away: every call is
// answered by the other, also one that may not be repeated.
func TestDeadServerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, smallWorld)
		defer w.close()
		w.net.mu.Lock()
		l := w.net.listeners["host-p1:80"]
		w.net.mu.Unlock()
		_ = l.Close()
		w.net.reset("host-p1", "host-p1")
		for i := range 50 {
			c := w.call("entry-1", i, 1)
			c.Service = "app"
			c.Header = map[string]string{runworks.HeaderKind: "alarm"}
			is.NoErr(c.check(t.Context(), w.client()))
		}
		is.Equal(len(w.plains["p1"].Calls()), 0)
		is.Equal(len(w.plains["p2"].Calls()), 50)
	})
}
