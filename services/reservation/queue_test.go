package reservation

import (
	"flag"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/runworks/runworks"
)

// The seed is fixed so that CI runs are reproducible; -rapid.seed on the command line
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newItem(id string, tier int, customer string) *Item {
	return &Item{
		Reservation: runworks.Reservation{ID: runworks.RequestID(id), Tier: tier, Customer: customer, MaxTokens: 10},
		Deadline:    start.Add(time.Hour),
	}
}

func noneRunning(int) int { return 0 }

func anyRank(int) bool { return true }

// oracle is a reference implementation of the queue that uses a list.
type oracle struct {
	list    []*Item
	seq     map[runworks.RequestID]int
	refused map[int]time.Time
	next    int
}

func (o *oracle) below(rank int) []*Item {
	var out []*Item
	for _, w := range o.list {
		if w.Tier > rank {
			out = append(out, w)
		}
	}
	return out
}

func (o *oracle) remove(id runworks.RequestID) {
	for i, w := range o.list {
		if w.ID == id {
			o.list = append(o.list[:i:i], o.list[i+1:]...)
			return
		}
	}
}

// TestQueueAgainstOracle compares the queue with the reference implementation in random
// operations.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{MaxWaiting: rapid.IntRange(1, 6).Draw(t, "bound"), ThresholdDuration: time.Second}
		o := &oracle{seq: map[runworks.RequestID]int{}, refused: map[int]time.Time{}}
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				o.next++
				w := newItem(fmt.Sprint(o.next), rapid.IntRange(0, 3).Draw(t, "tier"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"))
				w.Deadline = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "left")) * time.Second)
				busy := rapid.IntRange(0, 2).Draw(t, "busy")
				offerBoth(t, q, o, now, w, busy)
			},
			"pop": func(t *rapid.T) {
				lowest := rapid.IntRange(0, 3).Draw(t, "lowest")
				popBoth(t, q, o, now, lowest)
			},
			"remove": func(t *rapid.T) {
				if len(o.list) == 0 {
					return
				}
				w := rapid.SampledFrom(o.list).Draw(t, "removed")
				if q.Remove(w.ID) == nil {
					t.Fatalf("reservation %s is not queued", w.ID)
				}
				o.remove(w.ID)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(o.list) {
					t.Fatalf("%d reservations wait, want %d", q.Len(), len(o.list))
				}
			},
		})
	})
}

// offerBoth offers a reservation to the queue and the oracle and compares the results.
func offerBoth(t *rapid.T, q *Queue, o *oracle, now time.Time, w *Item, busy int) {
	want := Accepted
	var victim *Item
	lower := o.below(w.Tier)
	floored := false
	for rank, until := range o.refused {
		floored = floored || rank < w.Tier && now.Before(until)
	}
	switch {
	case floored:
		want = BelowThreshold
	case len(o.list) < q.MaxWaiting:
	case len(lower) > 0:
		sort.Slice(lower, func(i, j int) bool {
			if lower[i].Tier != lower[j].Tier {
				return lower[i].Tier > lower[j].Tier
			}
			return o.seq[lower[i].ID] > o.seq[lower[j].ID]
		})
		victim = lower[0]
	case len(o.list)-q.MaxWaiting < busy:
	default:
		want = Full
	}
	got, dropped := q.Offer(now, w, func(int) int { return busy })
	if got != want || dropped != victim {
		t.Fatalf("offer of tier %d: verdict %d, dropped %v; want %d, %v", w.Tier, got, dropped, want, victim)
	}
	if want != Accepted {
		o.refused[w.Tier] = now.Add(q.ThresholdDuration)
		return
	}
	if victim != nil {
		o.remove(victim.ID)
	}
	o.list = append(o.list, w)
	o.seq[w.ID] = o.next
}

// popBoth pops a reservation and checks that it is of the highest allowed tier and has the
// earliest deadline of its customer.
func popBoth(t *rapid.T, q *Queue, o *oracle, now time.Time, lowest int) {
	got := q.Pop(now, func(rank int) bool { return rank <= lowest })
	var alive []*Item
	for _, w := range o.list {
		if w.Tier > lowest || now.Before(w.Deadline) {
			alive = append(alive, w)
		}
	}
	if got == nil {
		for _, w := range alive {
			if w.Tier <= lowest {
				t.Fatalf("reservation %s waits but Pop returned nil", w.ID)
			}
		}
		o.list = alive
		return
	}
	for _, w := range alive {
		if w.Tier < got.Tier || w.Tier == got.Tier && w.Customer == got.Customer && w.Deadline.Before(got.Deadline) {
			t.Fatalf("reservation %s was popped before %s", got.ID, w.ID)
		}
	}
	// Expired reservations ordered after the popped one may still be queued.
	q.dropExpired(now)
	o.list = nil
	for _, w := range alive {
		if w != got && now.Before(w.Deadline) {
			o.list = append(o.list, w)
		}
	}
}

// dropExpired removes reservations past their deadline, so that the queue and the oracle hold
// the same reservations again.
func (q *Queue) dropExpired(now time.Time) {
	for id, w := range q.byID {
		if !now.Before(w.Deadline) {
			q.Remove(id)
		}
	}
}

// TestFairShare checks that a customer of twice the weight gets twice the work, and that a
// small customer gets its share however many reservations a large one has.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	q := &Queue{MaxWaiting: 10_000}
	for i := range 1000 {
		w := newItem(fmt.Sprintf("large-%d", i), 1, "large")
		w.Weight = 2
		q.Offer(start, w, noneRunning)
	}
	for i := range 100 {
		q.Offer(start, newItem(fmt.Sprintf("small-%d", i), 1, "small"), noneRunning)
	}
	served := map[string]int{}
	for range 150 {
		served[q.Pop(start, anyRank).Customer]++
	}
	is.Equal(served["large"], 100)
	is.Equal(served["small"], 50)
}

// BenchmarkInsertAndPop measures one Offer and one Pop with 10,000 reservations waiting.
func BenchmarkInsertAndPop(b *testing.B) {
	q := &Queue{MaxWaiting: 20_000}
	all := make([]*Item, 0, 10_000+b.N)
	for i := range 10_000 + b.N {
		w := newItem(fmt.Sprint(i), i%4, fmt.Sprintf("customer-%d", i%50))
		w.Deadline = start.Add(time.Duration(1+i%1000) * time.Hour)
		all = append(all, w)
	}
	for _, w := range all[:10_000] {
		q.Offer(start, w, noneRunning)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		q.Offer(start, all[10_000+i], noneRunning)
		q.Pop(start, anyRank)
	}
}

// TestOrderDelay checks that a reservation with an order delay comes after one of the same
// customer with a later deadline.
func TestOrderDelay(t *testing.T) {
	is := is.New(t)
	q := Queue{MaxWaiting: 9}
	long := newItem("long", 1, "a")
	long.OrderDelay = time.Minute
	short := newItem("short", 1, "a")
	short.Deadline = short.Deadline.Add(time.Second)
	for _, w := range []*Item{long, short} {
		verdict, _ := q.Offer(start, w, noneRunning)
		is.Equal(verdict, Accepted)
	}
	is.Equal(q.Pop(start, anyRank).ID, short.ID)
	is.Equal(q.Pop(start, anyRank).ID, long.ID)
}
