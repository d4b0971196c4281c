package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/runworks/runworks"
)

// sentCall is a call that was sent, for the oracle.
type sentCall struct {
	at     time.Time
	tokens float64
}

// cluster is a set of entries that share a limit, with the oracle's record of the calls sent.
type cluster struct {
	now     time.Time
	entries map[string]*Quota
	starts  int
	waiting map[string][]Decision
	record  *runworks.LimitRecord
	// sent is all calls that were sent. Of their tokens, by entry, unreported is what the entry
	// reported to nobody and sentAfterReport what it reported as reserved and sent later;
	// unrecorded is what the last record lacks, and lost what no entry knows any more.
	sent            []sentCall
	unreported      map[string]float64
	sentAfterReport map[string]float64
	unrecorded      []sentCall
	lost            []sentCall
	maxUnreported   float64
}

var entryNames = []string{"a", "b", "c"}

// start starts a new incarnation of an entry.
func (f *cluster) start(name string) *Quota {
	f.starts++
	q := starting(f.now, runworks.Incarnation(fmt.Sprint(name, f.starts)))
	f.entries[name] = q
	f.waiting[name], f.unreported[name], f.sentAfterReport[name] = nil, 0, 0
	return q
}

// take has a call arrive at an entry. It is sent at once, or waits.
func (f *cluster) take(name string, tokens float64, waits bool) {
	v := f.entries[name].Reserve(f.now, customer(), tokens)
	switch {
	case v.Wait > 0:
	case waits:
		f.waiting[name] = append(f.waiting[name], v)
		f.countUnreported(name, tokens)
	default:
		f.commit(v)
		f.countUnreported(name, tokens)
	}
}

func (f *cluster) commit(v Decision) {
	v.Debit.Commit(f.now)
	one := sentCall{f.now, v.Debit.Tokens()}
	f.sent = append(f.sent, one)
	f.unrecorded = append(f.unrecorded, one)
}

// countUnreported counts what the others do not know yet.
func (f *cluster) countUnreported(name string, tokens float64) {
	f.unreported[name] += tokens
	sum := 0.0
	for _, n := range f.unreported {
		sum += n
	}
	f.maxUnreported = max(f.maxUnreported, sum)
}

// exchange sends each entry's updates to all others.
func (f *cluster) exchange() {
	for name, from := range f.entries {
		use := from.Updates(f.now)
		for _, to := range f.entries {
			if to != from {
				to.ApplyUpdates(f.now, from.Self, use)
			}
		}
		f.unreported[name], f.sentAfterReport[name] = 0, 0
	}
}

// restart kills some entries at once and starts them again. Those that stay up do the handshake
// with them.
func (f *cluster) restart(names []string) {
	dead := make([]runworks.Incarnation, 0, len(names))
	for _, name := range names {
		dead = append(dead, f.entries[name].Self)
		f.lost = append(f.lost, sentCall{f.now, f.unreported[name] + f.sentAfterReport[name]})
		delete(f.entries, name)
	}
	old := make([]*Quota, 0, len(f.entries))
	for _, q := range f.entries {
		old = append(old, q)
		for _, id := range dead {
			q.EndIncarnation(f.now, id)
		}
	}
	if len(old) == 0 {
		f.lost = append(f.lost, f.unrecorded...)
	}
	for _, name := range names {
		q := f.start(name)
		q.ApplyRecord(f.now, f.record)
		for _, from := range old {
			q.ApplyFullUse(f.now, from.Self, from.FullUse(f.now))
			state := from.State(f.now)
			q.ApplyState(f.now, &state)
		}
	}
}

// writeRecord writes the state of an entry to the record, after all have exchanged updates.
func (f *cluster) writeRecord(name string) {
	f.exchange()
	record := f.entries[name].Record(f.now)
	f.entries[name].RecordWritten(true)
	f.record, f.unrecorded = &record, nil
}

// inWindow returns the tokens of a list that were consumed in the window before now.
func (f *cluster) inWindow(list []sentCall) float64 {
	sum := 0.0
	for _, one := range list {
		if f.now.Sub(one.at) < 8*time.Second {
			sum += one.tokens
		}
	}
	return sum
}

// TestEntriesShareOneLimit runs entries that exchange at random times what they consumed, whose
// calls wait, are sent or are abandoned, and which are killed alone or all at once and restarted.
// In no window may more be sent than the limit, what entries had not reported yet, and what was
// lost with them.
func TestEntriesShareOneLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := customer()
		f := &cluster{now: begin, entries: map[string]*Quota{}, waiting: map[string][]Decision{}, unreported: map[string]float64{}, sentAfterReport: map[string]float64{}}
		for _, name := range entryNames {
			f.start(name).ApplyRecord(f.now, nil)
		}
		f.exchange()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(entryNames).Draw(t, "entry")
			switch rapid.IntRange(0, 19).Draw(t, "action") {
			case 0:
				f.restart([]string{name})
			case 1:
				f.restart(entryNames)
			case 2, 3:
				f.writeRecord(name)
			case 4, 5, 6:
				f.exchange()
			case 7, 8:
				if w := f.waiting[name]; len(w) > 0 {
					f.waiting[name] = w[1:]
					f.commit(w[0])
					f.sentAfterReport[name] += w[0].Debit.Tokens()
				}
			case 9:
				if w := f.waiting[name]; len(w) > 0 {
					f.waiting[name] = w[1:]
					w[0].Debit.Refund()
				}
			default:
				f.take(name, float64(rapid.IntRange(1, 300).Draw(t, "tokens")), rapid.Bool().Draw(t, "waits"))
			}
			limit := c.TokensPerSecond*8 + c.TokenBurst
			allowed := limit*(1+updateFraction) + f.maxUnreported + f.inWindow(f.lost)
			if sum := f.inWindow(f.sent); sum > allowed {
				t.Fatalf("%.0f tokens in 8 s, %.0f allowed, of them %.0f lost", sum, allowed, f.inWindow(f.lost))
			}
		}
	})
}
