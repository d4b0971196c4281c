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

// TestSuspendedHost gives servers only the time that a caller has left after the host was
// suspended, and sends nothing once none is left.
func TestSuspendedHost(t *testing.T) {
	for _, one := range []struct {
		lost time.Duration
		left time.Duration
	}{{2 * time.Second, 3 * time.Second}, {5 * time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &sender{replies: []reply{good}}
			f := newForwarder(t, s, io.Discard)
			f.AddSuspension(time.Hour) // before the call came
			in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/once/x", Target: "/once/x", Received: time.Now()}
			// The call is held while the host is suspended.
			opened := make(chan struct{})
			f.Ready = opened
			time.AfterFunc(0, func() {
				f.AddSuspension(one.lost)
				close(opened)
			})
			_, err := f.Serve(context.Background(), in)
			if one.left > 0 {
				is.NoErr(err)
				is.Equal(s.sends[0].TimeLeft, one.left)
				return
			}
			failure := failureOf(is, err)
			is.True(errors.Is(err, runworks.ErrTimeLimit))
			is.Equal(failure.Outcome, runworks.OutcomeNotRun)
			is.Equal(len(s.sends), 0)
		})
	}
}
