package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestOthersCount counts what other entries drew and hold, and what they gave back.
func TestOthersCount(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "other", told(1, 5000, 500, 300)) // 4,500 left its window
	is.Equal(send(q, begin, 100).Wait, time.Duration(0))
	is.True(send(q, begin, 200).Wait > 0)
	q.ApplyUpdates(begin, "other", told(2, 5300, 800, 0)) // what was held is drawn
	is.True(send(q, begin, 200).Wait > 0)
	q.ApplyUpdates(begin, "other", told(3, 5100, 600, 0)) // 200 did not run
	is.Equal(send(q, begin, 200).Wait, time.Duration(0))
	q.ApplyUpdates(begin, "other", told(2, 5300, 800, 0)) // overtaken by a newer word
	is.Equal(q.Consumed(begin)["yard"], 900.0)
}

// TestHeardAgain counts of an entry that was not heard for long only what is in its
// window, not all that it drew since.
func TestHeardAgain(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "other", told(1, 1000, 1000, 0))
	later := begin.Add(time.Hour)
	q.Updates(later)
	q.ApplyUpdates(later, "other", told(900, 90_000, 300, 0))
	is.Equal(q.Consumed(later)["yard"], 300.0)
}

// TestSilentEntries assumes that an entry out of touch goes on drawing its part, and
// that it sent of what it held as much as it had drawn in as long a time.
func TestSilentEntries(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "other", told(1, 30, 30, 70))
	v := q.Reserve(begin.Add(UnreachableAfter), customer(), 1)
	is.Equal(v.Assumed, 0.0)
	is.Equal(v.Reserved, 70.0)
	q.Updates(begin.Add(UnreachableAfter + time.Millisecond))
	v = q.Reserve(begin.Add(4*time.Second), customer(), 1)
	is.Equal(v.Assumed, 200.0)
	is.Equal(v.Consumed, 60.0)
	is.Equal(v.Reserved, 1.0) // the call before
	is.Equal(q.Reserve(begin.Add(runworks.EntryTimeout+time.Second), customer(), 1).Assumed, 0.0)
}

// TestNewLife assumes nothing more of an entry's life that is over: a new one of the
// same entry was heard. What it had drawn stays counted, and what it held may have run.
func TestNewLife(t *testing.T) {
	is := is.New(t)
	q := running("self")
	q.ApplyUpdates(begin, "old", told(1, 300, 300, 50))
	q.EndIncarnation(begin, "old")
	q.ApplyUpdates(begin, "new", runworks.LimitUse{})
	later := begin.Add(4 * time.Second)
	q.ApplyUpdates(later, "new", runworks.LimitUse{})
	v := q.Reserve(later, customer(), 1)
	is.Equal(v.Assumed, 0.0)
	is.Equal(v.Consumed, 350.0)
	is.Equal(v.Reserved, 0.0)
}

// TestNewEntryIsTold goes on where another entry stands, with the times of its draws,
// those of lives that are over, and what its calls hold.
func TestNewEntryIsTold(t *testing.T) {
	is := is.New(t)
	old := running("old")
	old.ApplyUpdates(begin, "dead", told(4, 300, 300, 0))
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
	// Heartbeats tell it what follows, each draw once.
	later := now.Add(4 * time.Second)
	q.ApplyUpdates(later, "old", old.Updates(later))
	is.Equal(send(q, later, 300).Wait, time.Duration(0)) // 300 left the window
	is.Equal(q.Consumed(later)["yard"], 850.0)
}

// TestStartedTogether counts what two entries draw that start at once, also what each
// drew before it heard the other.
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

// TestNews tells what matters for the limit: far from it large changes at once and small
// ones after a while, near it every change; nothing twice.
func TestNews(t *testing.T) {
	is := is.New(t)
	q := running("self")
	news := func(now time.Time) float64 { return q.Updates(now).Customers["yard"].Consumed }
	send(q, begin, 10)
	is.Equal(news(begin), 10.0) // nothing was told for long
	send(q, begin, 10)
	is.Equal(news(begin), 0.0) // below a part of 1,000
	send(q, begin, 30)
	is.Equal(news(begin), 50.0)
	send(q, begin, 10)
	is.Equal(news(begin.Add(tellEvery)), 60.0)
	is.Equal(news(begin.Add(time.Hour)), 0.0)
	q = running("self")
	send(q, begin, 940)
	is.Equal(news(begin), 940.0)
	send(q, begin, 1)
	is.Equal(news(begin), 941.0)
	v := q.Reserve(begin, customer(), 1)
	is.Equal(q.Updates(begin).Customers["yard"].Reserved, 1.0)
	v.Debit.Refund()
	use, told := q.Updates(begin).Customers["yard"]
	is.True(told) // that nothing is held any more
	is.Equal(use.Reserved, 0.0)
}

// TestStartedTogetherAskNobody lets a new entry ask the others for what they counted, but
// not shortly before it has counted a whole window itself, nor when it was told.
func TestStartedTogetherAskNobody(t *testing.T) {
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
