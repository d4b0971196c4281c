package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// CI uses a fixed seed for a reproducible result; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func customer() *runworks.RoutedCustomer {
	return &runworks.RoutedCustomer{Name: "yard", TokensPerSecond: 100, TokenBurst: 200}
}

// running returns a Quota that has counted for an hour.
func running(self runworks.Incarnation) *Quota {
	return &Quota{Self: self, Window: 8 * time.Second, Started: begin.Add(-time.Hour)}
}

// starting returns a Quota that starts now.
func starting(now time.Time, self runworks.Incarnation) *Quota {
	return &Quota{Self: self, Window: 8 * time.Second, Started: now}
}

// send reserves tokens for a call and sends it at once, if it is admitted.
func send(q *Quota, now time.Time, tokens float64) Decision {
	v := q.Reserve(now, customer(), tokens)
	v.Debit.Commit(now)
	return v
}

// reportedUse returns an entry's report of its use of the customer's limit.
func reportedUse(version int64, consumed, inWindow, reserved float64) runworks.LimitUse {
	return runworks.LimitUse{Version: version, Customers: map[string]runworks.CustomerUse{"yard": {Consumed: consumed, ConsumedInWindow: inWindow, Reserved: reserved}}}
}

// TestWindow checks that the rate times the window plus the burst is admitted once in any window,
// and how long a call must wait then.
func TestWindow(t *testing.T) {
	is := is.New(t)
	q := running("self")
	for range 10 {
		is.Equal(send(q, begin, 100).Wait, time.Duration(0))
	}
	v := send(q, begin, 100)
	is.Equal(v.Wait, 8*time.Second+bucketWidth) // 1,000 of 100 x 8 + 200 are consumed
	is.Equal(v.Consumed, 1000.0)
	is.Equal(send(q, begin.Add(v.Wait+time.Millisecond), 100).Wait, time.Duration(0))
}

// TestWaitAcrossIncarnations checks the wait until the oldest consumption leaves the window,
// whichever entry consumed it.
func TestWaitAcrossIncarnations(t *testing.T) {
	is := is.New(t)
	for range 20 { // the order of incarnations is random
		q := running("self")
		q.ApplyUpdates(begin, "other", reportedUse(1, 500, 500, 0))
		q.ApplyUpdates(begin.Add(5*time.Second), "other", reportedUse(1, 500, 500, 0)) // unchanged
		send(q, begin.Add(5*time.Second), 500)
		now := begin.Add(6 * time.Second)
		q.ApplyUpdates(now, "other", reportedUse(1, 500, 500, 0))
		is.Equal(send(q, now, 100).Wait, 2*time.Second+bucketWidth)
		for _, r := range q.Record(now).Use.Customers["yard"].Recent {
			is.True(r.AgeMs == 1000 || r.AgeMs > 5000)
		}
	}
}

// TestWaitingCallsReserve checks that waiting calls reserve their tokens and consume them when
// they are sent.
func TestWaitingCallsReserve(t *testing.T) {
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
	first.Debit.Refund() // rejected by the server
	is.Equal(q.Reserve(begin.Add(9*time.Second), customer(), 500).Wait, time.Duration(0))
}

// TestNotReady checks that no call is admitted before what was consumed earlier is known, and
// that a limit opens at its rate from the start on if that never arrives.
func TestNotReady(t *testing.T) {
	is := is.New(t)
	q := starting(begin, "self")
	is.True(send(q, begin, 1).NotReady)
	is.Equal(send(q, begin.Add(StateTimeout/4), 1).Wait, 3*StateTimeout/4) // until StateTimeout
	is.Equal(send(q, begin.Add(StateTimeout-time.Millisecond), 1).Wait, notReadyWait)
	is.True(!q.Ready(begin))
	late := begin.Add(StateTimeout)
	is.True(q.Ready(late))
	is.Equal(send(q, late, 100).Wait, time.Duration(0)) // 100 x 2 s, less what a record may lack
	is.True(send(q, late, 100).Wait > 0)
	is.Equal(send(q, late.Add(time.Second), 100).Wait, time.Duration(0))
}

// TestNoLimit checks that every call is admitted where no rate is set.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	q := &Quota{}
	is.Equal(q.Reserve(begin, nil, 1e9).Wait, time.Duration(0))
	v := q.Reserve(begin, &runworks.RoutedCustomer{Name: "free"}, 1e9)
	is.Equal(v.Wait, time.Duration(0))
	v.Debit.Commit(begin)
	v.Debit.Refund()
}

// TestRefundIsNoCredit guards against counting a reservation at its arrival. A waiting call is
// abandoned and another takes its place: the refunded tokens must not be available again when the
// first reservation has left the window.
func TestRefundIsNoCredit(t *testing.T) {
	is := is.New(t)
	q := running("self")
	first := q.Reserve(begin, customer(), 1000)
	is.Equal(first.Wait, time.Duration(0))
	first.Debit.Refund() // 4 s later
	is.Equal(send(q, begin.Add(5*time.Second), 1000).Wait, time.Duration(0))
	is.True(send(q, begin.Add(9*time.Second), 1000).Wait > 0) // 1,000 were consumed 4 s ago
}

// TestRejectedIsNoCredit does the same with a call that was sent and then rejected, here and at
// another entry.
func TestRejectedIsNoCredit(t *testing.T) {
	is := is.New(t)
	q, other := running("self"), running("other")
	report := func(now time.Time) { other.ApplyUpdates(now, "self", q.Updates(now)) }
	first := send(q, begin, 1000)
	report(begin)
	first.Debit.Refund()
	report(begin.Add(4 * time.Second))
	is.Equal(send(q, begin.Add(5*time.Second), 1000).Wait, time.Duration(0))
	report(begin.Add(5 * time.Second))
	late := begin.Add(9 * time.Second)
	is.True(send(q, late, 1000).Wait > 0)
	is.True(send(other, late, 1000).Wait > 0)
}

// BenchmarkTake measures Reserve and Commit where that many other entries consumed on the
// customer's limit throughout the window.
func BenchmarkReserve(b *testing.B) {
	for _, entries := range []int{4, 29, 360} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			q := running("self")
			now := begin
			for i := range int(q.Window / bucketWidth) {
				now = now.Add(bucketWidth)
				for n := range entries {
					consumed := float64(i + 1)
					q.ApplyUpdates(now, runworks.Incarnation(fmt.Sprint(n)), reportedUse(int64(i+1), consumed, consumed, 0))
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
