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
		for _, name := range []string{"resumable", "safe"} {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				s := &sender{}
				f := newForwarder(t, s, io.Discard)
				f.Budgets = &Budgets{Ratio: 0.2, Slack: slack}
				asked := 0
				for range 200 {
					s.replies, s.sends = []reply{{body: event(1), closeDelimited: true, gap: time.Millisecond}, {}}, nil
					_, _, _ = serve(t.Context(), f, name)
					asked += len(s.sends) - 1
				}
				is.True(asked <= 20+int(min(maxRests, slack/2)))
				left := 0
				for f.Budgets.TakeRetry("app") {
					left++
				}
				is.True(left >= int(slack/2))
			})
		}
	}
}
