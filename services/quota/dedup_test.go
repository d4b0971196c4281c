package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestRecordDedup starts an entry beside another one that started recently. What that one
// consumed is in the record, which sums all incarnations, and in its own reports. It must count
// once, in whichever order record, handshake and heartbeats arrive. The incarnation that is known
// only from the record keeps counting.
func TestRecordDedup(t *testing.T) {
	later := begin.Add(200 * time.Millisecond)
	for _, one := range []struct {
		name  string
		steps func(q, a *Quota, record *runworks.LimitRecord, early, full runworks.LimitUse)
	}{
		{"record, then handshake", func(q, _ *Quota, record *runworks.LimitRecord, _, all runworks.LimitUse) {
			q.ApplyRecord(later, record)
			q.ApplyFullUse(later, "a", all)
		}},
		{"handshake, then record", func(q, _ *Quota, record *runworks.LimitRecord, _, all runworks.LimitUse) {
			q.ApplyFullUse(later, "a", all)
			q.ApplyRecord(later, record)
		}},
		{"early handshake, record, heartbeat", func(q, a *Quota, record *runworks.LimitRecord, early, _ runworks.LimitUse) {
			q.ApplyFullUse(later, "a", early)
			q.ApplyRecord(later, record)
			q.ApplyUpdates(later, "a", a.Updates(later))
		}},
		{"record, early handshake, heartbeat", func(q, a *Quota, record *runworks.LimitRecord, early, _ runworks.LimitUse) {
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
			// What it consumes from then on counts as it is reported.
			now := later.Add(time.Second)
			send(a, now, 200)
			q.ApplyUpdates(now, "a", a.Updates(now))
			is.Equal(q.Consumed(now)["yard"], 650.0)
		})
	}
}

// TestCompleteRecordIsShort checks that a record lists no incarnations once an entry has counted
// a whole window: a new entry gets the state from that one.
func TestCompleteRecordIsShort(t *testing.T) {
	is := is.New(t)
	a := running("a")
	send(a, begin, 500)
	is.Equal(len(a.Record(begin).Consumed), 0)
}

// TestRecordDedupOldIncarnation guards against subtracting all that an incarnation consumed since
// its start instead of the part that the record counts: that would drop what is known of others
// only from the record.
func TestRecordDedupOldIncarnation(t *testing.T) {
	is := is.New(t)
	a := starting(begin, "a")
	a.ApplyRecord(begin, nil)
	a.ApplyUpdates(begin, "old", reportedUse(1, 9000, 200, 0))
	a.ApplyUpdates(begin, "over", reportedUse(1, 500, 500, 0))
	record := a.Record(begin)
	q := starting(begin, "q")
	q.ApplyRecord(begin, &record)
	q.ApplyUpdates(begin, "old", reportedUse(2, 9000, 200, 0))
	is.Equal(q.Consumed(begin)["yard"], 700.0)
}
