package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUnprovenEndsLeaveRetries guards against calls that are known to have failed and are not retried, as whole responses that
// nothing shows to be whole take all retries.
func TestUnprovenEndsLeaveRetries(t *testing.T) {
	for _, slack := range []float64{8, 4, 100} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			s := &sender{}
			f := newForwarder(t, s, io.Discard)
			f.Budgets = &Budgets{Ratio: 0.2, Slack: slack}
			asked := 0
			for range 200 {
				s.replies, s.sends = []reply{{body: event(1), closeDelimited: true, gap: time.Millisecond}, {}}, nil
				_, _, _ = serve(t.Context(), f, "resumable")
				asked += len(s.sends) - 1
			}
			is.True(asked <= 20+int(min(maxRests, slack/2)))
			is.True(retriesLeft(f) >= int(slack/2))
		})
	}
}

// TestUnprovenAnswersLeaveRetries guards against the same where whole answers of calls that may be repeated are repeated.
func TestUnprovenAnswersLeaveRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{}
		f := newForwarder(t, s, io.Discard)
		f.Budgets = &Budgets{Slack: 4}
		repeated := 0
		for range 4 {
			s.replies, s.sends = []reply{delimited("answer"), {body: "answer"}}, nil
			_, _, _ = serve(t.Context(), f, "safe")
			repeated += len(s.sends) - 1
		}
		is.Equal(repeated, 2)
		is.Equal(retriesLeft(f), 2)
	})
}

// retriesLeft takes the retries that are left and returns their number.
func retriesLeft(f *Forwarder) int {
	n := 0
	for f.Budgets.TakeRetry("app") {
		n++
	}
	return n
}
