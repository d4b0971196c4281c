package reservation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// randomQueue returns a queue with reservations of one tier for some customers.
func randomQueue(rng *rand.Rand, now time.Time) *Queue {
	q := &Queue{MaxWaiting: 100}
	for i := range 40 {
		q.Offer(now, &Item{
			Reservation: runworks.Reservation{ID: runworks.RequestID(fmt.Sprint(i)), Tier: 3, Customer: fmt.Sprint(rng.IntN(5)), PromptTokens: 1 + rng.IntN(900)},
			Deadline:    now.Add(time.Duration(1+rng.IntN(5000)) * time.Millisecond),
		}, func(int) int { return 0 })
		if rng.IntN(4) == 0 {
			q.Pop(now, func(int) bool { return true })
		}
	}
	return q
}

// TestEachInOrderIsTheOrderOfPop guards against a call being refused by a position in the queue that it
// does not have.
func TestEachInOrderIsTheOrderOfPop(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for seed := range uint64(50) {
		q := randomQueue(rand.New(rand.NewPCG(seed, 1)), now)
		var expected []*Item
		q.EachInOrder(3, func(w *Item) { expected = append(expected, w) })
		is.Equal(len(expected), q.Len())
		for _, w := range expected {
			is.Equal(q.Pop(now, func(int) bool { return true }), w)
		}
	}
}

// TestAheadIsThePlaceOfANewReservation guards against an admission by a place that a reservation does not
// get. Only the costs of the other customers' reservations are taken as equal.
func TestAheadIsThePlaceOfANewReservation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		q := randomQueue(rng, now)
		w := &Item{
			Reservation: runworks.Reservation{ID: "new", Tier: 3, Customer: fmt.Sprint(rng.IntN(6)), PromptTokens: 100}, Deadline: now.Add(time.Minute),
			Behind: float64(rng.IntN(2) * 2000),
		}
		ahead := q.Ahead(w)
		q.Offer(now, w, func(int) int { return 0 })
		place, n := 0, 0
		q.EachInOrder(3, func(one *Item) {
			if one == w {
				place = n
			}
			n++
		})
		is.True(ahead-place <= 6 && place-ahead <= 6)
	}
}

// TestRestoredReservationKeepsItsPlace guards against a customer that falls behind as its reservation is
// taken out and put back while nothing suits it.
func TestRestoredReservationKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	all := func(int) bool { return true }
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		q := randomQueue(rng, now)
		var before, after []*Item
		q.EachInOrder(3, func(w *Item) { before = append(before, w) })
		for range 5 {
			var taken []*Item
			for range 1 + rng.IntN(10) {
				if w := q.Pop(now, all); w != nil {
					taken = append(taken, w)
				}
			}
			for _, w := range taken {
				q.Restore(w)
			}
		}
		q.EachInOrder(3, func(w *Item) { after = append(after, w) })
		is.Equal(before, after)
	}
}
