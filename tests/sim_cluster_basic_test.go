package tests

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSimClusterAnswers sends calls through both entries: each gets its own answer, and each request
// reaches an engine once.
func TestSimClusterAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, smallSpec)
		defer w.close()
		errs := make(chan error)
		for i := range 40 {
			c := w.call([]string{"entry-1", "entry-2"}[i%2], i, 5+i)
			c.Stream = i%3 == 0
			go func() { errs <- c.check(t.Context(), w.client()) }()
		}
		for range 40 {
			is.NoErr(<-errs)
		}
		for id, n := range w.dispatches() {
			if n != 1 {
				t.Errorf("request %s was dispatched %d times", id, n)
			}
		}
		time.Sleep(time.Second)
	})
}
