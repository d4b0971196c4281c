package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

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
					f.Dispatcher.ApplyNotices("other", []runworks.ServerNotice{{Server: server.IncarnationID(), Draining: true}})
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
			is.True(errors.Is(err, runworks.ErrNoServer) || errors.Is(err, runworks.ErrServerUnavailable))
			failure := failureOf(is, err)
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.True(failure.RetryAfter > 0)
		})
	}
}

// resting turns a call away and asks for rest.
var resting = reply{status: 503, notRun: true, word: runworks.ServerReport{Backoff: 10 * time.Second}}

// TestAllServersRest asks each server once, and then refuses calls at once, as not run; callers
// are told when the first of them takes calls again, spread. Then they are served, and so is
// one that comes shortly before.
func TestAllServersRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{resting, resting, resting, good}}
		f := newForwarder(t, s, io.Discard)
		began := time.Now()
		for range 3 {
			_, _, err := serve(context.Background(), f, "stream")
			failure := failureOf(is, err)
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.True(failure.RetryAfter >= resting.word.Backoff)
			is.True(failure.RetryAfter < resting.word.Backoff+time.Second)
			is.Equal(len(s.sends), 3)
			is.Equal(time.Since(began), time.Duration(0))
		}
		time.Sleep(resting.word.Backoff - 2*time.Second)
		_, _, err := serve(context.Background(), f, "stream")
		is.NoErr(err)
		is.True(time.Since(began) >= resting.word.Backoff)
	})
}

// TestReturnAfterARestIsSpread tells those whom the rest of all servers kept out to come back
// after it ends, and not all in the same moment.
func TestReturnAfterARestIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &sender{replies: []reply{resting}}, io.Discard)
		_, _, err := serve(context.Background(), f, "stream")
		is.True(errors.Is(err, runworks.ErrRejected))
		ends := f.Dispatcher.BackoffRemaining("app")
		const calls = 100
		parts := [5]int{}
		for range calls {
			_, _, err := serve(context.Background(), f, "stream")
			late := failureOf(is, err).RetryAfter - ends
			is.True(late >= 0 && late < retryOpenSpread)
			parts[late*time.Duration(len(parts))/retryOpenSpread]++
		}
		for _, n := range parts {
			is.True(n < calls/2)
		}
	})
}

// TestSomeRest sends neither a repeat nor a stream that goes on to a server that asked for rest,
// and costs callers nothing as long as another serves.
func TestSomeRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failed := reply{status: 500}
		s := &sender{replies: []reply{resting, good, events, rest, failed, good, good}}
		f := newForwarder(t, s, io.Discard)
		for _, name := range []string{"once", "resumable", "safe", "once"} {
			_, _, err := serve(context.Background(), f, name)
			is.NoErr(err)
		}
		is.Equal(len(s.sends), 7)
		for _, one := range s.sends[1:] {
			is.True(one.To.ID != s.sends[0].To.ID)
		}
	})
}
