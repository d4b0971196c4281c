package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestSuspendedHost checks that servers get only the time that the caller has left after the host
// was suspended, and that nothing is sent if none is left.
func TestSuspendedHost(t *testing.T) {
	for _, tc := range []struct {
		lost time.Duration
		left time.Duration
	}{{2 * time.Second, 3 * time.Second}, {5 * time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{good}}
			f := newForwarder(t, s, io.Discard)
			f.AddSuspension(time.Hour) // before the call arrived
			in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Received: time.Now()}
			// The call waits while the host is suspended.
			opened := make(chan struct{})
			f.Ready = opened
			go func() {
				synctest.Wait() // until Serve waits for Ready
				f.AddSuspension(tc.lost)
				close(opened)
			}()
			_, err := f.Serve(context.Background(), in)
			if tc.left > 0 {
				is.NoErr(err)
				is.Equal(s.sends[0].TimeLeft, tc.left)
				return
			}
			failure := failureOf(is, err)
			is.True(errors.Is(err, runworks.ErrTimeLimit))
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.Equal(len(s.sends), 0)
		})
	}
}
