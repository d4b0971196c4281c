package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/runworks/runworks"
)

// ran is a call that was sent, for the oracle.
type ran struct {
	at     time.Time
	tokens float64
}

// fleet is entries that share a limit, with the oracle's record of what ran.
type fleet struct {
	now     time.Time
	entries map[string]*Quota
	lives   int
	waiting map[string][]Decision
	record  *runworks.LimitRecord
	// ran is all that ran. Of it untold is what its entry told nobody, by entry, unheard
	// what it told as waiting and then sent, and unrecorded what the last record lacks;
	// lost is what nobody knows any more.
	ran        []ran
	untold     map[string]float64
	unheard    map[string]float64
	unrecorded []ran
	lost       []ran
	mostUntold float64
}

var fleetNames = []string{"a", "b", "c"}

// start begins a new life of an entry.
func (f *fleet) start(name string) *Quota {
	f.lives++
	q := starting(f.now, runworks.Incarnation(fmt.Sprint(name, f.lives)))
	f.entries[name] = q
	f.waiting[name], f.untold[name], f.unheard[name] = nil, 0, 0
	return q
}

// take has a call arrive at an entry; it is sent at once, or waits.
func (f *fleet) take(name string, tokens float64, waits bool) {
	v := f.entries[name].Reserve(f.now, customer(), tokens)
	switch {
	case v.Wait > 0:
	case waits:
		f.waiting[name] = append(f.waiting[name], v)
		f.note(name, tokens)
	default:
		f.spend(v)
		f.note(name, tokens)
	}
}

func (f *fleet) spend(v Decision) {
	v.Debit.Commit(f.now)
	one := ran{f.now, v.Debit.Tokens()}
	f.ran = append(f.ran, one)
	f.unrecorded = append(f.unrecorded, one)
}

// note counts what the others do not know of yet.
func (f *fleet) note(name string, tokens float64) {
	f.untold[name] += tokens
	sum := 0.0
	for _, n := range f.untold {
		sum += n
	}
	f.mostUntold = max(f.mostUntold, sum)
}

// tell lets all entries hear what the others use.
func (f *fleet) tell() {
	for name, from := range f.entries {
		use := from.Updates(f.now)
		for _, to := range f.entries {
			if to != from {
				to.ApplyUpdates(f.now, from.Self, use)
			}
		}
		f.untold[name], f.unheard[name] = 0, 0
	}
}

// restart ends some entries at once and starts them anew. Those that live on greet them.
func (f *fleet) restart(names []string) {
	dead := make([]runworks.Incarnation, 0, len(names))
	for _, name := range names {
		dead = append(dead, f.entries[name].Self)
		f.lost = append(f.lost, ran{f.now, f.untold[name] + f.unheard[name]})
		delete(f.entries, name)
	}
	old := make([]*Quota, 0, len(f.entries))
	for _, q := range f.entries {
		old = append(old, q)
		for _, life := range dead {
			q.EndIncarnation(f.now, life)
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

// write puts the state of an entry on record, after all told each other.
func (f *fleet) write(name string) {
	f.tell()
	record := f.entries[name].Record(f.now)
	f.entries[name].RecordWritten(true)
	f.record, f.unrecorded = &record, nil
}

// inWindow is what ran in the window before now.
func (f *fleet) inWindow(list []ran) float64 {
	sum := 0.0
	for _, one := range list {
		if f.now.Sub(one.at) < 8*time.Second {
			sum += one.tokens
		}
	}
	return sum
}

// TestEntriesShareOneLimit plays entries that tell each other at random times what they
// drew, whose calls wait, run or are given up, and which end without a word, alone or
// all at once, and start anew. The oracle counts what ran in every window: never more
// than the limit, what entries had not yet told each other, and what was lost with them.
func TestEntriesShareOneLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := customer()
		f := &fleet{now: begin, entries: map[string]*Quota{}, waiting: map[string][]Decision{}, untold: map[string]float64{}, unheard: map[string]float64{}}
		for _, name := range fleetNames {
			f.start(name).ApplyRecord(f.now, nil)
		}
		f.tell()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(fleetNames).Draw(t, "entry")
			switch rapid.IntRange(0, 19).Draw(t, "action") {
			case 0:
				f.restart([]string{name})
			case 1:
				f.restart(fleetNames)
			case 2, 3:
				f.write(name)
			case 4, 5, 6:
				f.tell()
			case 7, 8:
				if w := f.waiting[name]; len(w) > 0 {
					f.waiting[name] = w[1:]
					f.spend(w[0])
					f.unheard[name] += w[0].Debit.Tokens()
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
			allowed := limit*(1+tellPart) + f.mostUntold + f.inWindow(f.lost)
			if sum := f.inWindow(f.ran); sum > allowed {
				t.Fatalf("%.0f tokens in 8 s, %.0f allowed, of them %.0f lost", sum, allowed, f.inWindow(f.lost))
			}
		}
	})
}
