package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// CI gives the same verdict every run; -rapid.seed on the command line goes first.
func init() { _ = flag.Set("rapid.seed", "1") }

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func customer() *runworks.RoutedCustomer {
	return &runworks.RoutedCustomer{Name: "yard", TokensPerSecond: 100, TokenBurst: 200}
}

// running gives one that has counted for an hour.
func running(self runworks.Incarnation) *Quota {
	return &Quota{Self: self, Window: 8 * time.Second, Started: begin.Add(-time.Hour)}
}

// starting gives one that starts now.
func starting(now time.Time, self runworks.Incarnation) *Quota {
	return &Quota{Self: self, Window: 8 * time.Second, Started: now}
}

// send takes tokens for a call and sends it at once, if it passes.
func send(q *Quota, now time.Time, tokens float64) Decision {
	v := q.Reserve(now, customer(), tokens)
	v.Debit.Commit(now)
	return v
}

// told is what an entry tells of its use of the customer's limit.
func told(version int64, drawn, used, held float64) runworks.LimitUse {
	return runworks.LimitUse{Version: version, Customers: map[string]runworks.CustomerUse{"yard": {Consumed: drawn, ConsumedInWindow: used, Reserved: held}}}
}

// TestWindow lets through the rate times the window and the burst, once in any
// window, and says how long to wait.
func TestWindow(t *testing.T) {
	is := is.New(t)
	q := running("self")
	for range 10 {
		is.Equal(send(q, begin, 100).Wait, time.Duration(0))
	}
	v := send(q, begin, 100)
	is.Equal(v.Wait, 8*time.Second+grain) // 1,000 of 100 x 8 + 200 are drawn
	is.Equal(v.Consumed, 1000.0)
	is.Equal(send(q, begin.Add(v.Wait+time.Millisecond), 100).Wait, time.Duration(0))
}

// TestWaitOverLives tells how long to wait until the oldest draw leaves the window,
// whichever entry drew it.
func TestWaitOverLives(t *testing.T) {
	is := is.New(t)
	for range 20 { // the order of lives is random
		q := running("self")
		q.ApplyUpdates(begin, "other", told(1, 500, 500, 0))
		q.ApplyUpdates(begin.Add(5*time.Second), "other", told(1, 500, 500, 0)) // still there
		send(q, begin.Add(5*time.Second), 500)
		now := begin.Add(6 * time.Second)
		q.ApplyUpdates(now, "other", told(1, 500, 500, 0))
		is.Equal(send(q, now, 100).Wait, 2*time.Second+grain)
		for _, r := range q.Record(now).Use.Customers["yard"].Recent {
			is.True(r.AgeMs == 1000 || r.AgeMs > 5000)
		}
	}
}

// TestWaitingCallsHold counts what calls that wait will draw, and draws it when they
// are sent.
func TestWaitingCallsHold(t *testing.T) {
	is := is.New(t)
	q := running("self")
	first := q.Reserve(begin, customer(), 600)
	second := q.Reserve(begin, customer(), 400)
	is.Equal(second.Reserved, 600.0)
	is.True(q.Reserve(begin, customer(), 1).Wait > 0)
	second.Debit.Refund()
	first.Debit.Commit(begin.Add(3 * time.Second))
	v := q.Reserve(begin.Add(9*time.Second), customer(), 500) // sent 6 s ago, not 9
	is.True(v.Wait > 0)
	is.Equal(v.Consumed, 600.0)
	is.Equal(v.Reserved, 0.0)
	first.Debit.Refund() // turned away in the end
	is.Equal(q.Reserve(begin.Add(9*time.Second), customer(), 500).Wait, time.Duration(0))
}

// TestUntold lets nothing through before it is known what was drawn, and opens a limit
// at its rate from the start on if nobody tells.
func TestUntold(t *testing.T) {
	is := is.New(t)
	q := starting(begin, "self")
	is.True(send(q, begin, 1).NotReady)
	is.Equal(send(q, begin.Add(StateTimeout/4), 1).Wait, 3*StateTimeout/4) // when it opens at the latest
	is.Equal(send(q, begin.Add(StateTimeout-time.Millisecond), 1).Wait, untoldWait)
	is.True(!q.Ready(begin))
	late := begin.Add(StateTimeout)
	is.True(q.Ready(late))
	is.Equal(send(q, late, 100).Wait, time.Duration(0)) // 100 x 2 s, less what a record may lack
	is.True(send(q, late, 100).Wait > 0)
	is.Equal(send(q, late.Add(time.Second), 100).Wait, time.Duration(0))
}

// TestNoLimit lets everything through where no rate is agreed.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	q := &Quota{}
	is.Equal(q.Reserve(begin, nil, 1e9).Wait, time.Duration(0))
	v := q.Reserve(begin, &runworks.RoutedCustomer{Name: "free"}, 1e9)
	is.Equal(v.Wait, time.Duration(0))
	v.Debit.Commit(begin)
	v.Debit.Refund()
}

// TestGivenBackIsNoCredit lets calls that wait be given up, and others take their place.
// What was given back must not be spent once more when the first draw has left the window.
func TestGivenBackIsNoCredit(t *testing.T) {
	is := is.New(t)
	q := running("self")
	first := q.Reserve(begin, customer(), 1000)
	is.Equal(first.Wait, time.Duration(0))
	first.Debit.Refund() // 4 s later
	is.Equal(send(q, begin.Add(5*time.Second), 1000).Wait, time.Duration(0))
	is.True(send(q, begin.Add(9*time.Second), 1000).Wait > 0) // 1,000 ran 4 s ago
}

// TestTurnedAwayIsNoCredit does the same with a call that was sent and did not run, here
// and at another entry.
func TestTurnedAwayIsNoCredit(t *testing.T) {
	is := is.New(t)
	q, other := running("self"), running("other")
	hear := func(now time.Time) { other.ApplyUpdates(now, "self", q.Updates(now)) }
	first := send(q, begin, 1000)
	hear(begin)
	first.Debit.Refund()
	hear(begin.Add(4 * time.Second))
	is.Equal(send(q, begin.Add(5*time.Second), 1000).Wait, time.Duration(0))
	hear(begin.Add(5 * time.Second))
	late := begin.Add(9 * time.Second)
	is.True(send(q, late, 1000).Wait > 0)
	is.True(send(other, late, 1000).Wait > 0)
}

// BenchmarkTake measures a call's verdict and draw where so many other entries drew on
// its customer's limit all through the window: 3, 12 and 103 us.
func BenchmarkTake(b *testing.B) {
	for _, entries := range []int{4, 29, 360} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			q := running("self")
			now := begin
			for i := range int(q.Window / grain) {
				now = now.Add(grain)
				for n := range entries {
					drawn := float64(i + 1)
					q.ApplyUpdates(now, runworks.Incarnation(fmt.Sprint(n)), told(int64(i+1), drawn, drawn, 0))
				}
			}
			c := &runworks.RoutedCustomer{Name: "yard", TokensPerSecond: 1e9}
			b.ResetTimer()
			for b.Loop() {
				q.Reserve(now, c, 1).Debit.Commit(now)
			}
		})
	}
}
