package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNoSlotReservedFromShortCalls lets calls of the lowest rank use every slot once they are
// known to be shorter than the others.
func TestNoSlotReservedFromShortCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4)
		for i := range 2 {
			long := <-acquireAsync(d, newRequest(fmt.Sprint("long", i), 0))
			short := <-acquireAsync(d, newRequest(fmt.Sprint("short", i), 2))
			time.Sleep(100 * time.Millisecond)
			short.Release(Served)
			time.Sleep(time.Second)
			long.Release(Served)
		}
		for i := range 4 {
			_, err := d.Acquire(context.Background(), newRequest(fmt.Sprint("check", i), 2))
			is.NoErr(err)
		}
	})
}
