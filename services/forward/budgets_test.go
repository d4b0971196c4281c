package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNewLifeHasNothingSaved starts one of two entries again and again: all its lives
// together must not spend more retries than its part of the slack, as each would else
// open it anew.
func TestNewLifeHasNothingSaved(t *testing.T) {
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
			spend(b) // before it heard of the other entry
			b.SetEntries(2)
			spend(b)
			time.Sleep(time.Second)
			spend(b)
		}
		is.True(spent <= 10)
	})
}

// TestSlackOpensAfterAWindow saves an entry's part of the slack up once what its last
// life spent has left the window, also for services that it met before.
func TestSlackOpensAfterAWindow(t *testing.T) {
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

// TestBudgetBoundsRetries turns every call away: what is sent again stays inside
// the budget.
func TestBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{turnedAway}}
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

// TestUnreachableServersCostNoBudget goes on to a server that lives although none of
// the budget is left: what never left is no repeat.
func TestUnreachableServersCostNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{unreached, unreached, good}}
		f := newForwarder(t, s, io.Discard)
		f.Budgets = &Budgets{}
		_, data, err := serve(t.Context(), f, "once")
		is.NoErr(err)
		is.Equal(data, "good")
		is.Equal(len(s.sends), 3)
	})
}
