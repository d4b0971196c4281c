package reservation

import "container/heap"

// tier is the queue of one rank. It serves the customers by start-time fair queueing.
type tier struct {
	rank      int
	size      int
	customers map[string]*customer
	active    activeHeap
	// virtualTime is the start time of the reservation served last, in tokens divided by weight.
	virtualTime float64
}

// customer holds the waiting reservations of one customer in one tier.
type customer struct {
	tier   *tier
	name   string
	weight float64
	start  float64
	// cost is the sum of the costs of the waiting reservations.
	cost    float64
	index   int
	waiting waitingHeap
}

func (t *tier) add(w *Item) {
	c := t.customers[w.Customer]
	if c == nil {
		c = &customer{tier: t, name: w.Customer, index: -1}
		t.customers[w.Customer] = c
	}
	c.weight = w.Weight
	if c.weight <= 0 {
		c.weight = 1
	}
	w.customer = c
	heap.Push(&c.waiting, w)
	c.cost += w.Cost()
	t.size++
	if c.index < 0 {
		c.start = max(c.start, t.virtualTime+w.behind())
		heap.Push(&t.active, c)
	}
}

// pop removes the reservation with the earliest deadline of the customer with the earliest
// start time.
func (t *tier) pop() *Item {
	c := t.active[0]
	w, _ := heap.Pop(&c.waiting).(*Item)
	c.cost -= w.Cost()
	t.size--
	t.virtualTime = c.start
	c.start += w.Cost() / c.weight
	t.reorder(c)
	return w
}

func (t *tier) remove(w *Item) {
	c := w.customer
	heap.Remove(&c.waiting, w.index)
	c.cost -= w.Cost()
	t.size--
	t.reorder(c)
}

// reorder updates the position of a customer in the heap after its reservations changed. A
// customer with no reservations left is removed from the heap.
func (t *tier) reorder(c *customer) {
	if len(c.waiting) > 0 {
		heap.Fix(&t.active, c.index)
		return
	}
	heap.Remove(&t.active, c.index)
	c.index = -1
	t.dropIdle()
}

// dropIdle deletes idle customers whose start time is not after the virtual time: they would
// start at the virtual time anyway.
func (t *tier) dropIdle() {
	const slack = 64
	if len(t.customers) < 2*len(t.active)+slack {
		return
	}
	for name, c := range t.customers {
		if c.index < 0 && c.start <= t.virtualTime {
			delete(t.customers, name)
		}
	}
}

func (t *tier) newest() *Item {
	var newest *Item
	for _, c := range t.active {
		for _, w := range c.waiting {
			if newest == nil || w.seq > newest.seq {
				newest = w
			}
		}
	}
	return newest
}

// activeHeap orders customers by their start time.
type activeHeap []*customer

func (h activeHeap) Len() int { return len(h) }

func (h activeHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}

func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	c, _ := x.(*customer)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// waitingHeap orders reservations by deadline plus order delay.
type waitingHeap []*Item

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool { return waitingLess(h[i], h[j]) }

// waitingLess reports whether a reservation comes before another one of its customer.
func waitingLess(a, b *Item) bool {
	mine, other := a.Deadline.Add(a.OrderDelay), b.Deadline.Add(b.OrderDelay)
	if !mine.Equal(other) {
		return mine.Before(other)
	}
	return a.seq < b.seq
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	w, _ := x.(*Item)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
