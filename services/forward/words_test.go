package forward

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestServerLeavesMeanwhile takes a call to another server if its own says that it leaves while
// the call waits for a connection: that is no repeat, and costs no budget. If none is left, the
// caller is told that the call was not run, and when to come back.
func TestServerLeavesMeanwhile(t *testing.T) {
	for _, all := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			s := &sender{replies: []reply{good}}
			f := newForwarder(t, s, &out)
			f.Budgets = &Budgets{}
			left := 0
			s.connected = func(server runworks.Instance) {
				if all || left == 0 {
					left++
					f.Dispatcher.TakeWords("other", []runworks.ServerNotice{{Server: server.Life(), Leaving: true}})
				}
			}
			_, _, err := serve(context.Background(), f, "once")
			if !all {
				is.NoErr(err)
				is.Equal(len(s.sends), 1)
				is.Equal(left, 1)
				return
			}
			is.Equal(len(s.sends), 0)
			is.True(errors.Is(err, runworks.ErrNoServer) || errors.Is(err, runworks.ErrWithdrawn))
			failure := failureOf(is, err)
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.True(failure.RetryAfter > 0)
		})
	}
}
