package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestOthersCount checks that what other entries consumed and reserved counts, less what they
// refunded.
func TestOthersCount(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "other", reportedUse(1, 5000, 500, 300)) // 4,500 left its window
	is.Equal(send(q, begin, 100).Wait, time.Duration(0))
	is.True(send(q, begin, 200).Wait > 0)
	q.ApplyUpdates(begin, "other", reportedUse(2, 5300, 800, 0)) // the reservation is consumed
	is.True(send(q, begin, 200).Wait > 0)
	q.ApplyUpdates(begin, "other", reportedUse(3, 5100, 600, 0)) // 200 were refunded
	is.Equal(send(q, begin, 200).Wait, time.Duration(0))
	q.ApplyUpdates(begin, "other", reportedUse(2, 5300, 800, 0)) // older than the last report
	is.Equal(q.Consumed(begin)["yard"], 900.0)
}

// TestSeenAgain checks that of an entry that was unreachable for long only its window counts, not
// all that it consumed since.
func TestSeenAgain(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "other", reportedUse(1, 1000, 1000, 0))
	later := begin.Add(time.Hour)
	q.Updates(later)
	q.ApplyUpdates(later, "other", reportedUse(900, 90_000, 300, 0))
	is.Equal(q.Consumed(later)["yard"], 300.0)
}

// TestUnreachableEntries checks that an unreachable entry is assumed to continue at its last rate for
// reconnectTime and to consume its share of the limit's after it, and to have consumed of its
// reservations as much as it had consumed in as long a time.
func TestUnreachableEntries(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "other", reportedUse(1, 30, 30, 70))
	v := q.Reserve(begin.Add(UnreachableAfter), customer(), 1)
	is.Equal(v.Assumed, 60.0) // 30 in 0.5 s, for 1 s
	is.Equal(v.Reserved, 70.0)
	q.Updates(begin.Add(UnreachableAfter + time.Millisecond))
	v = q.Reserve(begin.Add(4*time.Second), customer(), 1)
	is.Equal(v.Assumed, 220.0) // 60 a second for 2 s, and half of 100 for 2 s
	is.Equal(v.Consumed, 60.0)
	is.Equal(v.Reserved, 1.0) // the call before
	is.Equal(q.Reserve(begin.Add(runworks.EntryTimeout+time.Second), customer(), 1).Assumed, 0.0)
}

// TestNewIncarnation checks that nothing more is assumed of an incarnation that ended, once a new
// one of the same entry was seen. What it had consumed stays counted, and its reservations may
// have been consumed.
func TestNewIncarnation(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "old", reportedUse(1, 300, 300, 50))
	q.EndIncarnation(begin, "old")
	q.ApplyUpdates(begin, "new", runworks.LimitUse{})
	later := begin.Add(4 * time.Second)
	q.ApplyUpdates(later, "new", runworks.LimitUse{})
	v := q.Reserve(later, customer(), 1)
	is.Equal(v.Assumed, 0.0)
	is.Equal(v.Consumed, 350.0)
	is.Equal(v.Reserved, 0.0)
}

// TestNewEntryGetsState checks that a new entry continues from another entry's state, with the
// times of the consumption, the use of ended incarnations, and the reservations.
func TestNewEntryGetsState(t *testing.T) {
	is := is.New(t)
	old := running("old")
	old.ApplyUpdates(begin, "dead", reportedUse(4, 300, 300, 0))
	old.EndIncarnation(begin, "dead")
	send(old, begin.Add(4*time.Second), 500)
	old.Reserve(begin.Add(4*time.Second), customer(), 150)
	now := begin.Add(5 * time.Second)
	state := old.State(now)
	q := starting(now, "self")
	q.ApplyFullUse(now, "old", old.FullUse(now))
	is.True(q.ApplyState(now, &state))
	v := send(q, now, 50)
	is.Equal(v.Wait, time.Duration(0))
	is.Equal(v.Consumed, 800.0)
	is.Equal(v.Reserved, 150.0)
	is.Equal(v.Assumed, 0.0)
	is.True(send(q, now, 1).Wait > 0)
	// Heartbeats report what follows; each consumption counts once.
	later := now.Add(4 * time.Second)
	q.ApplyUpdates(later, "old", old.Updates(later))
	is.Equal(send(q, later, 300).Wait, time.Duration(0)) // 300 left the window
	is.Equal(q.Consumed(later)["yard"], 850.0)
}

// TestStartedTogether checks that the use of two entries that start at once counts, also what
// each consumed before it received the other's report.
func TestStartedTogether(t *testing.T) {
	is := is.New(t)
	a, b := starting(begin, "a"), starting(begin, "b")
	a.ApplyRecord(begin, nil)
	b.ApplyRecord(begin, nil)
	send(a, begin, 300)
	send(b, begin, 400)
	now := begin.Add(time.Second)
	for _, pair := range [][2]*Quota{{a, b}, {b, a}} {
		pair[1].ApplyFullUse(now, pair[0].Self, pair[0].FullUse(now))
		pair[1].ApplyUpdates(now, pair[0].Self, pair[0].Updates(now))
	}
	is.Equal(a.Consumed(now)["yard"], 700.0)
	is.Equal(b.Consumed(now)["yard"], 700.0)
}

// TestUpdates checks what heartbeats report: far from the limit large changes at once and small
// ones after a while, near it every change, and nothing twice.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	q := running("self")
	consumed := func(now time.Time) float64 { return q.Updates(now).Customers["yard"].Consumed }
	send(q, begin, 10)
	is.Equal(consumed(begin), 10.0) // nothing was reported yet
	send(q, begin, 10)
	is.Equal(consumed(begin), 0.0) // below the reported part of 1,000
	send(q, begin, 30)
	is.Equal(consumed(begin), 50.0)
	send(q, begin, 10)
	is.Equal(consumed(begin.Add(updateInterval)), 60.0)
	is.Equal(consumed(begin.Add(time.Hour)), 0.0)
	q = running("self")
	send(q, begin, 940)
	is.Equal(consumed(begin), 940.0)
	send(q, begin, 1)
	is.Equal(consumed(begin), 941.0)
	v := q.Reserve(begin, customer(), 1)
	is.Equal(q.Updates(begin).Customers["yard"].Reserved, 1.0)
	v.Debit.Refund()
	use, reported := q.Updates(begin).Customers["yard"]
	is.True(reported) // reports that nothing is reserved any more
	is.Equal(use.Reserved, 0.0)
}

// TestStartedTogetherNeedsNoState checks that a new entry requests the state of the others, but
// not shortly before it has counted a whole window itself, nor after it got one.
func TestStartedTogetherNeedsNoState(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	q := &Quota{Self: "new", Started: start}
	is.True(q.NeedsState(start))
	is.True(q.NeedsState(start.Add(DefaultWindow - minMissing)))
	is.True(!q.NeedsState(start.Add(DefaultWindow - minMissing + time.Millisecond)))
	is.True(!q.NeedsState(start.Add(DefaultWindow)))
	is.True(q.ApplyState(start.Add(time.Second), &runworks.LimitState{Complete: true}))
	is.True(!q.NeedsState(start.Add(time.Second)))
}
