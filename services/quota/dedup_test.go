package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestRecordIsSetOff starts an entry beside one that is young itself: what that one drew
// stands in the record, which adds all lives up, and comes by its own word. It counts once,
// in whichever order record, greeting and heartbeats come. The life that is over, of which
// only the record tells, counts on.
func TestRecordIsSetOff(t *testing.T) {
	later := begin.Add(200 * time.Millisecond)
	for _, one := range []struct {
		name  string
		steps func(q, a *Quota, record *runworks.LimitRecord, early, all runworks.LimitUse)
	}{
		{"record, then greeting", func(q, _ *Quota, record *runworks.LimitRecord, _, all runworks.LimitUse) {
			q.ApplyRecord(later, record)
			q.ApplyFullUse(later, "a", all)
		}},
		{"greeting, then record", func(q, _ *Quota, record *runworks.LimitRecord, _, all runworks.LimitUse) {
			q.ApplyFullUse(later, "a", all)
			q.ApplyRecord(later, record)
		}},
		{"early greeting, record, heartbeat", func(q, a *Quota, record *runworks.LimitRecord, early, _ runworks.LimitUse) {
			q.ApplyFullUse(later, "a", early)
			q.ApplyRecord(later, record)
			q.ApplyUpdates(later, "a", a.Updates(later))
		}},
		{"record, early greeting, heartbeat", func(q, a *Quota, record *runworks.LimitRecord, early, _ runworks.LimitUse) {
			q.ApplyRecord(later, record)
			q.ApplyFullUse(later, "a", early)
			q.ApplyUpdates(later, "a", a.Updates(later))
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			a, b := starting(begin, "a"), starting(begin, "b")
			a.ApplyRecord(begin, nil)
			b.ApplyRecord(begin, nil)
			send(a, begin, 100)
			early := a.FullUse(begin)
			b.ApplyUpdates(begin, "a", a.Updates(begin))
			send(a, begin, 300)
			send(b, begin, 50)
			a.ApplyUpdates(begin, "b", b.Updates(begin))
			record := a.Record(begin.Add(RecordInterval))
			q := starting(later, "q")
			one.steps(q, a, &record, early, a.FullUse(later))
			is.Equal(q.Consumed(later)["yard"], 450.0)
			// What it draws from then on counts as it is told.
			now := later.Add(time.Second)
			send(a, now, 200)
			q.ApplyUpdates(now, "a", a.Updates(now))
			is.Equal(q.Consumed(now)["yard"], 650.0)
		})
	}
}

// TestRecordOfTheCompleteIsShort names no lives where an entry has counted a whole window: a
// new one asks that for its count.
func TestRecordOfTheCompleteIsShort(t *testing.T) {
	is := is.New(t)
	a := running("a")
	send(a, begin, 500)
	is.Equal(len(a.Record(begin).Consumed), 0)
}

// TestRecordOfAnOldLife sets off only what the record counts of a life, not all that it drew
// since its start: what is known of others by the record alone stays.
func TestRecordOfAnOldLife(t *testing.T) {
	is := is.New(t)
	a := starting(begin, "a")
	a.ApplyRecord(begin, nil)
	a.ApplyUpdates(begin, "old", told(1, 9000, 200, 0))
	a.ApplyUpdates(begin, "over", told(1, 500, 500, 0))
	record := a.Record(begin)
	q := starting(begin, "q")
	q.ApplyRecord(begin, &record)
	q.ApplyUpdates(begin, "old", told(2, 9000, 200, 0))
	is.Equal(q.Consumed(begin)["yard"], 700.0)
}
