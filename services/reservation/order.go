package reservation

import (
	"container/heap"
	"slices"
)

// Ahead returns how many waiting reservations of an item's tier are expected to be served before
// it if it were queued now. Those of its own customer all count; of another customer those that
// fair queueing starts before it, at the mean cost of that customer's reservations.
func (q *Queue) Ahead(w *Item) int {
	if t := q.known(w.Tier); t != nil {
		return t.ahead(w)
	}
	return 0
}

// Backlog returns the number of a customer's waiting reservations of a tier.
func (q *Queue) Backlog(rank int, customer string) int {
	if t := q.known(rank); t != nil && t.customers[customer] != nil {
		return len(t.customers[customer].waiting)
	}
	return 0
}

// known returns the tier of a rank; nil if it does not exist.
func (q *Queue) known(rank int) *tier {
	i, ok := slices.BinarySearchFunc(q.tiers, rank, func(t *tier, rank int) int { return t.rank - rank })
	if !ok {
		return nil
	}
	return q.tiers[i]
}

func (t *tier) ahead(w *Item) int {
	start := t.virtualTime + w.behind()
	n := 0
	own := t.customers[w.Customer]
	if own != nil {
		n = len(own.waiting)
		if n > 0 {
			start = own.start + own.cost/own.weight
		} else {
			start = max(start, own.start)
		}
	}
	for _, c := range t.active {
		if c == own || c.start > start {
			continue
		}
		mean := c.cost / float64(len(c.waiting)) / c.weight
		if mean <= 0 {
			n += len(c.waiting)
			continue
		}
		n += min(len(c.waiting), int((start-c.start)/mean)+1)
	}
	return n
}

// Restore puts back a reservation that Pop returned and that is not served now. Its customer is not
// charged for it.
func (q *Queue) Restore(w *Item) {
	t := q.tier(w.Tier)
	c := t.customers[w.Customer]
	if c == nil {
		c = w.customer
		t.customers[w.Customer] = c
	}
	w.customer = c
	q.byID[w.ID] = w
	heap.Push(&c.waiting, w)
	c.cost += w.Cost()
	t.size++
	c.start -= w.Cost() / c.weight
	if c.index < 0 {
		heap.Push(&t.active, c)
		return
	}
	heap.Fix(&t.active, c.index)
}

// EachInOrder calls f with the waiting reservations of a tier in the order in which they would be
// served if none arrived.
func (q *Queue) EachInOrder(rank int, f func(w *Item)) {
	t := q.known(rank)
	if t == nil {
		return
	}
	// The copies share the items, whose positions in the heaps of the queue must not change.
	var order startHeap
	for _, c := range t.active {
		waiting := slices.Clone(c.waiting)
		slices.SortFunc(waiting, func(a, b *Item) int {
			if waitingLess(a, b) {
				return -1
			}
			return 1
		})
		order = append(order, &customer{name: c.name, weight: c.weight, start: c.start, waiting: waiting})
	}
	heap.Init(&order)
	for len(order) > 0 {
		c := order[0]
		w := c.waiting[0]
		c.start += w.Cost() / c.weight
		if c.waiting = c.waiting[1:]; len(c.waiting) == 0 {
			heap.Pop(&order)
		} else {
			heap.Fix(&order, 0)
		}
		f(w)
	}
}

// startHeap is an activeHeap that does not record the positions of the customers.
type startHeap []*customer

func (h startHeap) Len() int           { return len(h) }
func (h startHeap) Less(i, j int) bool { return activeHeap(h).Less(i, j) }
func (h startHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *startHeap) Push(x any) {
	c, _ := x.(*customer)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *startHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// behind returns Behind in virtual time.
func (w *Item) behind() float64 {
	if w.Weight > 0 {
		return w.Behind / w.Weight
	}
	return w.Behind
}
