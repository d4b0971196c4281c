package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRestartDoesNotRefillSlack restarts one of two entries several times. All its incarnations
// together must not make more retries than its share of the slack; without the wait for a Window,
// each would get the share again.
func TestRestartDoesNotRefillSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spent := 0
		spend := func(b *Budgets) {
			for b.TakeRetry("app") {
				spent++
			}
		}
		for range 5 {
			b := &Budgets{Ratio: 0.2, Slack: 20, Started: time.Now(), Window: 10 * time.Second}
			spend(b) // before it knows of the other entry
			b.SetEntries(2)
			spend(b)
			time.Sleep(time.Second)
			spend(b)
		}
		is.True(spent <= 10)
	})
}

// TestSlackIsFilledAfterWindow checks that an entry gets its share of the slack once the retries of
// its previous incarnation have left the window, also for services it already knows.
func TestSlackIsFilledAfterWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budgets{Ratio: 0.2, Slack: 20, Started: time.Now(), Window: 10 * time.Second}
		b.SetEntries(2)
		is.True(!b.TakeRetry("met"))
		time.Sleep(b.Window)
		for _, service := range []string{"met", "new"} {
			n := 0
			for b.TakeRetry(service) {
				n++
			}
			is.Equal(n, 10)
		}
	})
}

// TestBudgetBoundsRetries checks that the retries of calls that are all rejected stay within the
// budget.
func TestBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{rejected}}
		f := newForwarder(t, s, io.Discard)
		f.Budgets = &Budgets{Ratio: 0.2, Slack: 20}
		f.Budgets.SetEntries(4)
		const calls = 500
		for range calls {
			_, _, _ = serve(context.Background(), f, "once")
			time.Sleep(100 * time.Millisecond)
		}
		again := len(s.sends) - calls
		is.True(again <= calls/5+20/4)
		is.True(again >= calls/5-5)
	})
}

// TestUnreachableServersCostNoBudget checks that a call reaches a working server with an empty
// budget: an attempt that was never sent is no retry.
func TestUnreachableServersCostNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{unreachable, unreachable, good}}
		f := newForwarder(t, s, io.Discard)
		f.Budgets = &Budgets{}
		_, data, err := serve(t.Context(), f, "once")
		is.NoErr(err)
		is.Equal(data, good.body)
		is.Equal(len(s.sends), 3)
	})
}

// TestRestsLeaveRetries guards against calls that are known to have failed and are not retried, as all retries ask for
// the rest of whole streams, whether or not they count as complete without it.
func TestRestsLeaveRetries(t *testing.T) {
	for _, slack := range []float64{8, 4, 100} {
		for _, completes := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{}
				f := newForwarder(t, s, io.Discard)
				if completes {
					f.CompleteAtClose = []string{"app"}
				}
				f.Budgets = &Budgets{Ratio: 0.2, Slack: slack}
				asked := 0
				for range 200 {
					s.replies, s.sends = []reply{{body: event(1), closeDelimited: true, gap: time.Millisecond}, {}}, nil
					_, _, err := serve(t.Context(), f, "resumable")
					is.True(err == nil || !completes && len(s.sends) == 1)
					asked += len(s.sends) - 1
				}
				is.True(asked >= 20)
				is.True(asked <= 20+int(min(maxRests, slack/2)))
				is.True(retriesLeft(f) >= int(slack/2))
			})
		}
	}
}

// TestUnprovenAnswersLeaveRetries guards against the same where whole answers that nothing shows to be whole are
// repeated.
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

// TestRestsFollowTheSettings guards against rests that are bounded by a budget that is no longer set.
func TestRestsFollowTheSettings(t *testing.T) {
	is := is.New(t)
	b := &Budgets{Slack: 100}
	take := func() (n int) {
		for b.TakeRest("app") {
			n++
		}
		return n
	}
	is.Equal(take(), maxRests)
	b.Configure(1, 8)
	for range 20 {
		b.RecordCall("app")
	}
	is.Equal(take(), 4)
	b.SetEntries(8)
	for range 20 {
		b.RecordCall("app")
	}
	is.Equal(take(), 1)
	is.True(!b.HasRest("app"))
}
