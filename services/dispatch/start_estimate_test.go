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

// TestLongLateCallsRefusedFirst sends late calls to a service whose slots are all taken: one
// that would hold its slot for long is refused earlier than others, but waits like them while
// the queue is short.
func TestLongLateCallsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(8)
		began := time.Now()
		for i := range 8 {
			a := newRequest(fmt.Sprint("known-", i), 2)
			a.ExpectedTokens = 100
			lease := <-acquireAsync(d, a)
			time.AfterFunc(time.Second, func() {
				for range 10 {
					lease.RecordEventGap(100 * time.Millisecond)
				}
				lease.RecordLength(100, 10)
				lease.Release(Served)
			})
		}
		time.Sleep(1100 * time.Millisecond)
		for i := range 8 {
			is.True((<-acquireAsync(d, newRequest(fmt.Sprint("holds-", i), 2))) != nil)
		}
		is.True(time.Since(began) < 2*time.Second)
		late := func(id string, tokens int) *Request {
			a := newRequest(id, 2)
			a.ExpectedTokens = tokens
			a.Target = time.Now()
			a.CallerTimeout = time.Now().Add(3 * time.Second)
			return a
		}
		refused := func(a *Request) bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, err := d.Acquire(ctx, a)
			return errors.Is(err, runworks.ErrShortage)
		}
		var waiting sync.WaitGroup
		wait := func(n int) {
			for i := range n {
				waiting.Go(func() { _, _ = d.Acquire(t.Context(), late(fmt.Sprint("waits-", n, "-", i), 100)) })
			}
			synctest.Wait()
		}
		wait(4) // eight slots of a second each: half a second
		is.True(!refused(late("short", 10)))
		is.True(!refused(late("long", 1000)))
		wait(8) // a second and a half
		is.True(!refused(late("short again", 10)))
		is.True(refused(late("long again", 1000)))
		wait(14) // longer than any caller waits
		is.True(refused(late("short at last", 10)))
	})
}
