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

// TestServerDrainsBeforeSend checks that a call moves to another server if its own starts draining
// while the call waits for a connection. The move is no retry and does not use the budget. If no
// server is left, the call fails as not run, with a Retry-After estimate.
func TestServerDrainsBeforeSend(t *testing.T) {
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

// backingOff rejects a call and asks for a back-off.
var backingOff = reply{status: 503, notRun: true, report: runworks.ServerReport{Backoff: 10 * time.Second}}

// TestAllServersBackOff checks that each server is asked once, and that further calls then fail
// immediately as not run, with the spread end of the first back-off as Retry-After. Calls are
// served after the back-off, and so is one that arrives shortly before its end and can wait for it.
func TestAllServersBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{backingOff, backingOff, backingOff, good}}
		f := newForwarder(t, s, io.Discard)
		began := time.Now()
		for range 3 {
			_, _, err := serve(context.Background(), f, "stream")
			failure := failureOf(is, err)
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.True(failure.RetryAfter >= backingOff.report.Backoff)
			is.True(failure.RetryAfter < backingOff.report.Backoff+time.Second)
			is.Equal(len(s.sends), 3)
			is.Equal(time.Since(began), time.Duration(0))
		}
		time.Sleep(backingOff.report.Backoff - 2*time.Second)
		_, _, err := serve(context.Background(), f, "stream")
		is.NoErr(err)
		is.True(time.Since(began) >= backingOff.report.Backoff)
	})
}

// TestRetryAfterBackoffIsSpread checks that callers refused during a back-off of all servers get a
// Retry-After past its end, and not all the same one: together they would overload the first
// server.
func TestRetryAfterBackoffIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &sender{replies: []reply{backingOff}}, io.Discard)
		_, _, err := serve(context.Background(), f, "stream")
		is.True(errors.Is(err, runworks.ErrRejected))
		ends := f.Dispatcher.BackoffRemaining("app")
		const calls = 100
		parts := [5]int{}
		for range calls {
			_, _, err := serve(context.Background(), f, "stream")
			late := failureOf(is, err).RetryAfter - ends
			is.True(late >= 0 && late < retryKnownTimeSpread)
			parts[late*time.Duration(len(parts))/retryKnownTimeSpread]++
		}
		for _, n := range parts {
			is.True(n < calls/2)
		}
	})
}

// TestSomeServersBackOff checks that neither a retry nor a resumed stream goes to a server in
// back-off, and that callers see no failure while another server takes calls.
func TestSomeServersBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failed := reply{status: 500}
		s := &sender{replies: []reply{backingOff, good, brokenStream, restOfStream, failed, good, good}}
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
