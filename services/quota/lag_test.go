package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// overload is a customer that requests more than its limit at many entries, which learn of each other's
// use one heartbeat later.
type overload struct {
	entries   int
	heartbeat time.Duration
	// requested is the customer's tokens per second, and risesAt, if not zero, when they triple.
	requested float64
	risesAt   time.Duration
	// call is the mean size of a call in tokens; 0 means 3,000.
	call float64
	seed uint64
	// heard reports whether a heartbeat that one entry sends to another arrives; nil means always.
	heard func(at time.Duration, from, to int) bool
}

// maxConsumed returns the most that the customer consumed in a window, as a multiple of its limit.
func (o *overload) maxConsumed() float64 {
	const (
		step = 5 * time.Millisecond
		span = 12 * time.Second
	)
	call := cmp.Or(o.call, 3000)
	c := &runworks.RoutedCustomer{Name: "yard", TokensPerSecond: 280_000, TokenBurst: 680_000}
	rng := rand.New(rand.NewPCG(1, o.seed))
	all := make([]*Quota, o.entries)
	for i := range all {
		all[i] = running(runworks.Incarnation(fmt.Sprint(i)))
	}
	type sentCall struct {
		at     time.Duration
		tokens float64
	}
	var sentCalls []sentCall
	most := 0.0
	for at := time.Duration(0); at < span; at += step {
		now := begin.Add(at)
		requested := o.requested
		if o.risesAt > 0 && at >= o.risesAt {
			requested *= 3
		}
		for calls := requested * step.Seconds() / call; calls > rng.Float64(); calls-- {
			size := call * rng.ExpFloat64()
			if v := all[rng.IntN(o.entries)].Reserve(now, c, size); v.Wait == 0 {
				v.Debit.Commit(now)
				sentCalls = append(sentCalls, sentCall{at: at, tokens: size})
			}
		}
		for i := range all {
			if (at/step+time.Duration(i))%(o.heartbeat/step) == 0 {
				o.send(at, all, i)
			}
		}
		sum := 0.0
		for _, d := range sentCalls {
			if d.at > at-DefaultWindow {
				sum += d.tokens
			}
		}
		most = max(most, sum)
	}
	return most / (c.TokensPerSecond*DefaultWindow.Seconds() + c.TokenBurst)
}

// send sends a heartbeat of an entry to all others. Those that it does not reach get the whole use of
// the entry with the next one that does, as on a new connection.
func (o *overload) send(at time.Duration, all []*Quota, from int) {
	now := begin.Add(at)
	q := all[from]
	updates := q.Updates(now)
	for to, other := range all {
		switch {
		case to == from || o.heard != nil && !o.heard(at, from, to):
		case o.heard != nil && !o.heard(at-o.heartbeat, from, to):
			other.ApplyFullUse(now, q.Self, q.FullUse(now))
		default:
			other.ApplyUpdates(now, q.Self, updates)
		}
	}
}

// TestLimitUnderOverload bounds what many entries together admit of a customer that requests
// about four times its limit.
func TestLimitUnderOverload(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		used := (&overload{entries: 27, heartbeat: 150 * time.Millisecond, requested: 1_400_000, seed: seed}).maxConsumed()
		t.Logf("%.3f of the limit", used)
		is.True(used < 1.025)
	}
}

// TestLimitWhileEntriesAreUnheard guards against a limit that each entry opens for itself while it does
// not hear others, in one direction or both, until their connections are replaced.
func TestLimitWhileEntriesAreUnheard(t *testing.T) {
	const (
		unheardFor = 1600 * time.Millisecond
		overage    = 0.1
	)
	// As the limit is reached first, while it is used up, and just before and while the first burst
	// leaves the window.
	starts := []time.Duration{1200 * time.Millisecond, 1900 * time.Millisecond, 7900 * time.Millisecond, 9600 * time.Millisecond}
	for _, entries := range []int{3, 27} {
		for _, oneWay := range []bool{false, true} {
			for _, start := range starts {
				o := &overload{entries: entries, heartbeat: 50 * time.Millisecond, requested: 1_400_000, risesAt: 7900 * time.Millisecond, seed: uint64(start)}
				o.heard = func(at time.Duration, from, to int) bool {
					return at < start || at >= start+unheardFor || oneWay && from < to
				}
				if used := o.maxConsumed(); used > 1+overage {
					t.Errorf("%d entries, one way %t, unheard from %s on: %.3f of the limit", entries, oneWay, start, used)
				}
			}
		}
	}
}

// reopeningStarts are times just before and while the first burst of an overload leaves the window.
var reopeningStarts = []time.Duration{7600 * time.Millisecond, 7900 * time.Millisecond, 8100 * time.Millisecond, 8200 * time.Millisecond}

// TestLimitReopensWhileEntriesAreUnheard guards against a limit that each entry opens for itself as a
// short burst leaves the window, at a moment when it does not hear others.
func TestLimitReopensWhileEntriesAreUnheard(t *testing.T) {
	for _, requested := range []float64{4_000_000, 14_000_000} {
		for _, start := range reopeningStarts {
			checkReopening(t, &overload{entries: 3, requested: requested}, start)
			checkReopening(t, &overload{entries: 5, requested: requested}, start)
		}
	}
	checkReopening(t, &overload{entries: 27, requested: 4_000_000}, 8100*time.Millisecond)
}

// TestLimitReopensForLargeCalls guards against the same where an entry saw so few calls that its part of
// them is a matter of chance.
func TestLimitReopensForLargeCalls(t *testing.T) {
	for _, start := range reopeningStarts {
		checkReopening(t, &overload{entries: 3, requested: 14_000_000, call: 10_000}, start)
		checkReopening(t, &overload{entries: 3, requested: 14_000_000, call: 20_000}, start)
	}
}

// TestLimitReopensAtManyUnheardEntries guards against the same with many entries and a burst of a fifth
// of a second.
func TestLimitReopensAtManyUnheardEntries(t *testing.T) {
	checkReopening(t, &overload{entries: 27, requested: 14_000_000}, 8200*time.Millisecond)
}

// checkReopening plays a customer whose entries do not hear each other from a time on, and checks what
// they admit together.
func checkReopening(t *testing.T, o *overload, start time.Duration) {
	t.Helper()
	// overage and slack are what a platform allows beyond a limit, of the limit and in tokens.
	const overage, slack = 0.1, 72_000 / (280_000*8 + 680_000.0)
	for _, unheardFor := range []time.Duration{300 * time.Millisecond, 1600 * time.Millisecond} {
		o.heartbeat, o.seed = 50*time.Millisecond, uint64(start)
		o.heard = func(at time.Duration, _, _ int) bool { return at < start || at >= start+unheardFor }
		if used := o.maxConsumed(); used > 1+overage+slack {
			t.Errorf("%d entries, %.0f tokens/s, unheard from %s on for %s: %.3f of the limit", o.entries, o.requested, start, unheardFor, used)
		}
	}
}

// TestLimitWhereCallsMoveToOneEntry guards against a customer that gets less than its limit because the
// other entries, which it no longer calls, are assumed to admit as many of its calls as this one.
func TestLimitWhereCallsMoveToOneEntry(t *testing.T) {
	// A limit may be exceeded by a tenth; no more of it is withheld.
	const withheld = 0.1
	for _, requested := range []float64{1.05, 1.2, 2, 4} {
		alone, among := admittedAfterMove(1, requested), admittedAfterMove(27, requested)
		if among < (1-withheld)*alone {
			t.Errorf("%g times the rate: %.0f tokens admitted, %.0f by an entry alone", requested, among, alone)
		}
	}
}

// TestLimitWhereCallsMoveAllTheTime guards against the same for a customer below its limit.
func TestLimitWhereCallsMoveAllTheTime(t *testing.T) {
	is := is.New(t)
	for _, every := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
		m := &movingCalls{requested: 0.9, entries: 27, to: func(at time.Duration) int {
			return rand.New(rand.NewPCG(1, uint64(at/every))).IntN(27)
		}}
		requested, admitted := m.run(0)
		is.Equal(admitted, requested) // no call is refused
	}
}

// admittedAfterMove returns the tokens that entries admit of a customer in the ten seconds after its
// calls, at a multiple of its rate, moved to one of them.
func admittedAfterMove(entries int, requested float64) float64 {
	const moves = 10 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	m := &movingCalls{requested: requested, entries: entries, to: func(at time.Duration) int {
		if at < moves {
			return rng.IntN(entries)
		}
		return 0
	}}
	_, admitted := m.run(moves)
	return admitted
}

// movingCalls is a customer whose calls, at a multiple of its rate, go to one entry at a time. All entries
// send heartbeats as when they are idle.
type movingCalls struct {
	requested float64
	entries   int
	to        func(at time.Duration) int
}

// run returns the tokens of the calls in the 20 seconds that are sent from a time on, and those of the
// admitted ones.
func (m *movingCalls) run(from time.Duration) (requested, admitted float64) {
	const (
		step = 5 * time.Millisecond
		end  = 20 * time.Second
		call = 1000.0
	)
	c := &runworks.RoutedCustomer{Name: "yard", TokensPerSecond: 100_000, TokenBurst: 100_000}
	o := &overload{entries: m.entries, heartbeat: 250 * time.Millisecond}
	all := make([]*Quota, m.entries)
	for i := range all {
		all[i] = running(runworks.Incarnation(fmt.Sprint(i)))
	}
	due := 0.0
	for at := time.Duration(0); at < end; at += step {
		now := begin.Add(at)
		for due += m.requested * c.TokensPerSecond * step.Seconds(); due >= call; due -= call {
			v := all[m.to(at)].Reserve(now, c, call)
			if v.Wait == 0 {
				v.Debit.Commit(now)
			}
			if at < from {
				continue
			}
			requested += call
			if v.Wait == 0 {
				admitted += call
			}
		}
		for i := range all {
			if (at/step+time.Duration(i))%(o.heartbeat/step) == 0 {
				o.send(at, all, i)
			}
		}
	}
	return requested, admitted
}
