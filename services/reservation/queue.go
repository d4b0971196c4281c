package reservation

import (
	"sort"
	"time"

	"github.com/runworks/runworks"
)

// Source names the entry, by its incarnation, that placed a ticket.
type Source = runworks.Incarnation

// Item is a ticket that waits, with who placed it and when it lapses.
type Item struct {
	runworks.Reservation
	// Source is the entry that placed the ticket.
	Source Source
	// Deadline is the end of the request's time limit on the agent's clock.
	Deadline time.Time
	// OrderDelay is how much later than by its deadline the ticket stands in its customer's
	// order.
	OrderDelay time.Duration

	seq      uint64
	index    int
	customer *customer
}

// Queue holds waiting tickets; set the exported fields before use. It takes no
// lock: its owner does.
type Queue struct {
	// MaxWaiting bounds the number of tickets.
	MaxWaiting int
	// ThresholdDuration is how long no lower tier is taken after a tier was refused.
	ThresholdDuration time.Duration

	tiers []*tier
	byID  map[runworks.RequestID]*Item
	seq   uint64

	// floors holds, for each refused rank, until when lower tiers are barred.
	floors map[int]time.Time
}

// Verdict says what became of a ticket that was offered.
type Verdict int

// The verdicts on an offered ticket.
const (
	// Accepted means that the ticket waits now.
	Accepted Verdict = iota
	// Full means that the bound is reached by tickets of this tier or higher ones.
	Full
	// BelowThreshold means that a higher tier was refused a moment ago.
	BelowThreshold
	// Duplicate means that the ticket waits already.
	Duplicate
)

// RunningBelow gives how many requests of lower tiers than rank are running or about
// to; Offer takes that many tickets of the rank beyond the bound.
type RunningBelow func(rank int) int

// Offer takes a ticket or refuses it. A ticket of a lower tier may be dropped
// for it; the dropped one is given back.
func (q *Queue) Offer(now time.Time, w *Item, busy RunningBelow) (Verdict, *Item) {
	if _, ok := q.byID[w.ID]; ok {
		return Duplicate, nil
	}
	if q.floored(now, w.Tier) {
		q.raiseFloor(now, w.Tier)
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
	if q.overBound() < busy(w.Tier) {
		q.insert(w)
		return Accepted, nil
	}
	q.raiseFloor(now, w.Tier)
	return Full, nil
}

// overBound gives how many tickets wait beyond the bound.
func (q *Queue) overBound() int { return len(q.byID) - q.MaxWaiting }

// raiseFloor bars the tiers below rank from now on for the floor time.
func (q *Queue) raiseFloor(now time.Time, rank int) {
	if q.floors == nil {
		q.floors = make(map[int]time.Time)
	}
	q.floors[rank] = now.Add(q.ThresholdDuration)
}

// floored says whether a higher tier than rank was refused a moment ago.
func (q *Queue) floored(now time.Time, rank int) bool {
	for refused, until := range q.floors {
		if refused < rank && now.Before(until) {
			return true
		}
	}
	return false
}

// RecordRefusal records that a ticket of the rank was refused for another reason than
// the bound, so that the floor holds for it too.
func (q *Queue) RecordRefusal(now time.Time, rank int) { q.raiseFloor(now, rank) }

// Len gives the number of waiting tickets.
func (q *Queue) Len() int { return len(q.byID) }

// LenBelow gives the number of waiting tickets of lower tiers than rank.
func (q *Queue) LenBelow(rank int) int {
	n := 0
	for _, t := range q.tiers {
		if t.rank > rank {
			n += t.size
		}
	}
	return n
}

// HighestRank gives the highest rank that waits and how many tickets it has; 0 tickets if
// none waits.
func (q *Queue) HighestRank() (rank, waiting int) {
	for _, t := range q.tiers {
		if t.size > 0 {
			return t.rank, t.size
		}
	}
	return 0, 0
}

// EachTier tells f the number of waiting tickets of each rank that has some.
func (q *Queue) EachTier(f func(rank, waiting int)) {
	for _, t := range q.tiers {
		if t.size > 0 {
			f(t.rank, t.size)
		}
	}
}

// LenByRank gives the number of waiting tickets for each rank.
func (q *Queue) LenByRank() map[int]int {
	out := make(map[int]int, len(q.tiers))
	q.EachTier(func(rank, waiting int) { out[rank] = waiting })
	return out
}

// Allow says whether a slot may be used for a rank.
type Allow func(rank int) bool

// Pop takes the first ticket whose rank may start; nil if there is none.
// Tickets past their deadline are let go on the way.
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

// Remove takes a ticket out by its id; nil if it does not wait here.
func (q *Queue) Remove(id runworks.RequestID) *Item {
	w := q.byID[id]
	if w == nil {
		return nil
	}
	delete(q.byID, id)
	w.customer.tier.remove(w)
	return w
}

// RemoveSource takes out all tickets of one entry.
func (q *Queue) RemoveSource(source Source) {
	for id, w := range q.byID {
		if w.Source == source {
			q.Remove(id)
		}
	}
}

// Drain takes out all tickets and gives them, so that they can be given back.
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

// tier finds the tier of a rank, or makes it in its place.
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

// newestBelow finds the newest ticket of the lowest tier below rank.
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
