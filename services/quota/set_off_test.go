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
			q.TakeRecord(later, record)
			q.Greet(later, "a", all)
		}},
		{"greeting, then record", func(q, _ *Quota, record *runworks.LimitRecord, _, all runworks.LimitUse) {
			q.Greet(later, "a", all)
			q.TakeRecord(later, record)
		}},
		{"early greeting, record, heartbeat", func(q, a *Quota, record *runworks.LimitRecord, early, _ runworks.LimitUse) {
			q.Greet(later, "a", early)
			q.TakeRecord(later, record)
			q.Report(later, "a", a.News(later))
		}},
		{"record, early greeting, heartbeat", func(q, a *Quota, record *runworks.LimitRecord, early, _ runworks.LimitUse) {
			q.TakeRecord(later, record)
			q.Greet(later, "a", early)
			q.Report(later, "a", a.News(later))
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			a, b := starting(begin, "a"), starting(begin, "b")
			a.TakeRecord(begin, nil)
			b.TakeRecord(begin, nil)
			send(a, begin, 100)
			early := a.Own(begin)
			b.Report(begin, "a", a.News(begin))
			send(a, begin, 300)
			send(b, begin, 50)
			a.Report(begin, "b", b.News(begin))
			record := a.Record(begin.Add(RecordEvery))
			q := starting(later, "q")
			one.steps(q, a, &record, early, a.Own(later))
			is.Equal(q.Used(later)["yard"], 450.0)
			// What it draws from then on counts as it is told.
			now := later.Add(time.Second)
			send(a, now, 200)
			q.Report(now, "a", a.News(now))
			is.Equal(q.Used(now)["yard"], 650.0)
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
	a.TakeRecord(begin, nil)
	a.Report(begin, "old", told(1, 9000, 200, 0))
	a.Report(begin, "over", told(1, 500, 500, 0))
	record := a.Record(begin)
	q := starting(begin, "q")
	q.TakeRecord(begin, &record)
	q.Report(begin, "old", told(2, 9000, 200, 0))
	is.Equal(q.Used(begin)["yard"], 700.0)
}
