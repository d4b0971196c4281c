package returns

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func demand(rank, waiting int, left time.Duration) Demand {
	return Demand{Rank: rank, Waiting: waiting, PerSecond: 10, TimeLeft: left}
}

// TestTimesInSequence guards against refused callers that all return at the same time, or in another order
// than that in which they were refused.
func TestTimesInSequence(t *testing.T) {
	is := is.New(t)
	var b Book
	now := time.Now()
	after, basis := b.Give(now, demand(1, 4, 15*time.Second))
	is.Equal(after, 500*time.Millisecond)
	is.Equal(basis, Queue)
	for i := range 20 {
		after, basis = b.Give(now, demand(1, 4, 15*time.Second))
		is.Equal(after.Round(time.Millisecond), time.Duration(6+i)*100*time.Millisecond)
		is.Equal(basis, Promised)
	}
	// The queue is empty now, and still the next caller returns after those refused before, of whom 15
	// return within 1.5 s and six may be on their way.
	now = now.Add(time.Second)
	after, _ = b.Give(now, demand(1, 0, 15*time.Second))
	is.Equal(after.Round(time.Millisecond), 2200*time.Millisecond)
	// A faster rate brings no later caller forward.
	next, _ := b.Give(now, Demand{Rank: 1, PerSecond: 1000, TimeLeft: 15 * time.Second})
	is.True(next > after)
}

// TestHigherRankReturnsEarlier guards against a rank that waits for what was promised to lower ones.
func TestHigherRankReturnsEarlier(t *testing.T) {
	is := is.New(t)
	var b Book
	now := time.Now()
	for range 10 {
		b.Give(now, demand(1, 0, 15*time.Second))
	}
	high, _ := b.Give(now, demand(0, 0, 15*time.Second))
	low, _ := b.Give(now, demand(2, 0, 15*time.Second))
	is.Equal(high, 100*time.Millisecond)
	is.Equal(low.Round(time.Millisecond), 1200*time.Millisecond) // both ranks above come first
}

// TestTimeThatCannotBeKept guards against a place that is kept for a caller who will not wait for it: the
// caller is told how long it can wait, and the next one gets the place.
func TestTimeThatCannotBeKept(t *testing.T) {
	is := is.New(t)
	var b Book
	now := time.Now()
	after, basis := b.Give(now, demand(0, 30, 3*time.Second))
	is.Equal(after, time.Second)
	is.Equal(basis, Spread)
	is.Equal(b.size, 0)
	after, basis = b.Give(now, demand(0, 30, 15*time.Second))
	is.Equal(after.Round(time.Millisecond), 3100*time.Millisecond)
	is.Equal(basis, Queue)
	after, basis = b.Give(now, Demand{TimeLeft: time.Second})
	is.Equal(after, time.Duration(0)) // nothing is known of the rate
	is.Equal(basis, Spread)
}

// TestPromiseCountsUntilHalfASecondAfterItsTime guards against capacity that is kept for callers who do
// not come.
func TestPromiseCountsUntilHalfASecondAfterItsTime(t *testing.T) {
	is := is.New(t)
	var b Book
	now := time.Now()
	after, _ := b.Give(now, demand(1, 0, 15*time.Second))
	is.Equal(b.Due(now.Add(after-1), 2), 0)
	is.Equal(b.Due(now.Add(after+promiseGrace-1), 0), 0) // of a lower rank
	is.Equal(b.Due(now.Add(after+promiseGrace-1), 2), 1)
	is.Equal(b.Due(now.Add(after+promiseGrace+1), 2), 0)
	is.Equal(b.size, 0)
}

// TestPromisesAreBounded guards against memory that grows with the number of refused calls.
func TestPromisesAreBounded(t *testing.T) {
	is := is.New(t)
	var b Book
	now := time.Now()
	for range 2 * maxPromises {
		b.Give(now, Demand{PerSecond: 1e6, TimeLeft: time.Hour})
	}
	is.Equal(b.size, maxPromises)
	is.Equal(len(b.promised[0]), maxPromises)
}
