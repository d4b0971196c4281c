package reservation

import (
	"sort"
	"time"

	"github.com/runworks/runworks"
)

// Source is the incarnation of the entry that made a reservation.
type Source = runworks.Incarnation

// Item is a queued reservation.
type Item struct {
	runworks.Reservation
	// Source is the entry that made the reservation.
	Source Source
	// Deadline is the end of the request's time limit on the agent's clock.
	Deadline time.Time
	// OrderDelay is added to the deadline to order the reservations of one customer.
	OrderDelay time.Duration
	// Behind is the cost by which the customer starts after the others if it has no other
	// reservation in the tier.
	Behind float64

	seq      uint64
	index    int
	customer *customer
}

// Queue holds the waiting reservations. Set the exported fields before use. It is not safe for
// concurrent use.
type Queue struct {
	// MaxWaiting limits the number of reservations.
	MaxWaiting int
	// ThresholdDuration is how long lower tiers are refused after the refusal of a reservation.
	ThresholdDuration time.Duration

	tiers []*tier
	byID  map[runworks.RequestID]*Item
	seq   uint64

	// thresholds holds, for each refused rank, the time until which lower tiers are refused.
	thresholds map[int]time.Time
}

// Verdict is the result of Offer.
type Verdict int

// Results of Offer.
const (
	// Accepted means that the reservation was queued.
	Accepted Verdict = iota
	// Full means that the limit is reached by reservations of the same or higher tiers.
	Full
	// BelowThreshold means that a reservation of a higher tier was refused within
	// ThresholdDuration.
	BelowThreshold
	// Duplicate means that the reservation is already queued.
	Duplicate
)

// RunningBelow returns how many requests of tiers lower than rank are running or claimed.
// Offer accepts that many reservations of the rank beyond the limit.
type RunningBelow func(rank int) int

// Offer queues a reservation or refuses it. If a reservation of a lower tier is dropped to
// make room, Offer returns it.
func (q *Queue) Offer(now time.Time, w *Item, busy RunningBelow) (Verdict, *Item) {
	if _, ok := q.byID[w.ID]; ok {
		return Duplicate, nil
	}
	if q.belowThreshold(now, w.Tier) {
		q.raiseThreshold(now, w.Tier)
		return BelowThreshold, nil
	}
	if len(q.byID) < q.MaxWaiting {
		q.insert(w)
		return Accepted, nil
	}
	if victim := q.newestBelow(w.Tier); victim != nil {
		q.Remove(victim.ID)
		q.insert(w)
		return Accepted, victim
	}
	if q.excess() < busy(w.Tier) {
		q.insert(w)
		return Accepted, nil
	}
	q.raiseThreshold(now, w.Tier)
	return Full, nil
}

// excess returns how many reservations wait beyond the limit.
func (q *Queue) excess() int { return len(q.byID) - q.MaxWaiting }

// raiseThreshold refuses the tiers lower than rank for ThresholdDuration from now.
func (q *Queue) raiseThreshold(now time.Time, rank int) {
	if q.thresholds == nil {
		q.thresholds = make(map[int]time.Time)
	}
	q.thresholds[rank] = now.Add(q.ThresholdDuration)
}

// belowThreshold reports whether a tier higher than rank was refused within ThresholdDuration.
func (q *Queue) belowThreshold(now time.Time, rank int) bool {
	for refused, until := range q.thresholds {
		if refused < rank && now.Before(until) {
			return true
		}
	}
	return false
}

// RecordRefusal records that a reservation of the rank was refused for another reason than the
// limit, so that the threshold applies to lower tiers too.
func (q *Queue) RecordRefusal(now time.Time, rank int) { q.raiseThreshold(now, rank) }

// Len returns the number of waiting reservations.
func (q *Queue) Len() int { return len(q.byID) }

// LenBelow returns the number of waiting reservations of tiers lower than rank.
func (q *Queue) LenBelow(rank int) int {
	n := 0
	for _, t := range q.tiers {
		if t.rank > rank {
			n += t.size
		}
	}
	return n
}

// HighestRank returns the highest rank with waiting reservations, and their number; 0
// reservations if none waits.
func (q *Queue) HighestRank() (rank, waiting int) {
	for _, t := range q.tiers {
		if t.size > 0 {
			return t.rank, t.size
		}
	}
	return 0, 0
}

// EachTier calls f with the number of waiting reservations of each rank that has any.
func (q *Queue) EachTier(f func(rank, waiting int)) {
	for _, t := range q.tiers {
		if t.size > 0 {
			f(t.rank, t.size)
		}
	}
}

// LenByRank returns the number of waiting reservations by rank.
func (q *Queue) LenByRank() map[int]int {
	out := make(map[int]int, len(q.tiers))
	q.EachTier(func(rank, waiting int) { out[rank] = waiting })
	return out
}

// Allow reports whether a request of the rank may use a slot.
type Allow func(rank int) bool

// Pop removes and returns the first reservation whose rank is allowed; nil if there is none.
// Reservations past their deadline are dropped.
func (q *Queue) Pop(now time.Time, allow Allow) *Item {
	for _, t := range q.tiers {
		if !allow(t.rank) {
			continue
		}
		for t.size > 0 {
			w := t.pop()
			delete(q.byID, w.ID)
			if now.Before(w.Deadline) {
				return w
			}
		}
	}
	return nil
}

// Remove removes a reservation by its ID; it returns nil if there is none.
func (q *Queue) Remove(id runworks.RequestID) *Item {
	w := q.byID[id]
	if w == nil {
		return nil
	}
	delete(q.byID, id)
	w.customer.tier.remove(w)
	return w
}

// RemoveSource removes all reservations of one entry.
func (q *Queue) RemoveSource(source Source) {
	for id, w := range q.byID {
		if w.Source == source {
			q.Remove(id)
		}
	}
}

// Drain removes and returns all reservations, oldest first.
func (q *Queue) Drain() []*Item {
	all := make([]*Item, 0, len(q.byID))
	for _, w := range q.byID {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	for _, w := range all {
		q.Remove(w.ID)
	}
	return all
}

func (q *Queue) insert(w *Item) {
	if q.byID == nil {
		q.byID = make(map[runworks.RequestID]*Item)
	}
	q.seq++
	w.seq = q.seq
	q.byID[w.ID] = w
	q.tier(w.Tier).add(w)
}

// tier returns the tier of a rank and creates it if it does not exist.
func (q *Queue) tier(rank int) *tier {
	i := sort.Search(len(q.tiers), func(i int) bool { return q.tiers[i].rank >= rank })
	if i < len(q.tiers) && q.tiers[i].rank == rank {
		return q.tiers[i]
	}
	t := &tier{rank: rank, customers: make(map[string]*customer)}
	q.tiers = append(q.tiers, nil)
	copy(q.tiers[i+1:], q.tiers[i:])
	q.tiers[i] = t
	return t
}

// newestBelow returns the newest reservation of the lowest non-empty tier below rank; nil if
// there is none.
func (q *Queue) newestBelow(rank int) *Item {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		if t.rank <= rank {
			return nil
		}
		if t.size > 0 {
			return t.newest()
		}
	}
	return nil
}
