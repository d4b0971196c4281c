package quota

import (
	"sync"
	"time"

	"github.com/runworks/runworks"
)

const (
	// SilentAfter is when an entry that said nothing counts as out of touch: some
	// reports must have been missed.
	SilentAfter = time.Second
	// ForgetAfter is when a silent entry counts as gone.
	ForgetAfter = 10 * time.Second
	// DefaultOverdraft is how far a bucket may be drawn below zero, as a part of
	// the tokens of a second: reports of the others are that late at most.
	DefaultOverdraft = 0.1
)

// Drawn is what one life of an entry drew since its start, by customer.
type Drawn map[string]float64

// Quota holds the buckets; set the exported fields before use.
type Quota struct {
	// Overdraft is DefaultOverdraft if zero.
	Overdraft float64

	mu      sync.Mutex
	buckets map[string]*bucket
	drawn   Drawn
	peers   map[runworks.Incarnation]*peer
}

// bucket holds what a customer may still ask for.
type bucket struct {
	level  float64
	filled time.Time
	// rate and burst are the limit in force.
	rate, burst float64
}

// peer is what another life of an entry said.
type peer struct {
	drawn Drawn
	heard time.Time
	// charged is until when its share was charged without its word.
	charged time.Time
}

// Take draws the tokens of a call on the customer's bucket. It gives zero, or
// how long until the bucket has them.
func (q *Quota) Take(now time.Time, c *runworks.RoutedCustomer, tokens float64) time.Duration {
	if c == nil || c.TokensPerSecond <= 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.fill(now, c)
	overdraft := q.Overdraft
	if overdraft == 0 {
		overdraft = DefaultOverdraft
	}
	floor := -overdraft * c.TokensPerSecond
	// A call larger than the whole bucket passes when the bucket is full.
	if short := min(tokens, b.burst) + floor - b.level; short > 0 {
		return time.Duration(short / c.TokensPerSecond * float64(time.Second))
	}
	b.level -= tokens
	if q.drawn == nil {
		q.drawn = Drawn{}
	}
	q.drawn[c.Name] += tokens
	return 0
}

// Drawn gives what this entry drew since its start.
func (q *Quota) Drawn() Drawn {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(Drawn, len(q.drawn))
	for name, n := range q.drawn {
		out[name] = n
	}
	return out
}

// Report takes what another life of an entry drew since its start. A life that
// is heard for the first time may have been drawing before: only what it draws
// from then on counts, as buckets start full.
func (q *Quota) Report(now time.Time, from runworks.Incarnation, drawn Drawn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.peers == nil {
		q.peers = make(map[runworks.Incarnation]*peer)
	}
	p := q.peers[from]
	if p == nil {
		q.peers[from] = &peer{drawn: drawn, heard: now, charged: now}
		q.sweep(now)
		return
	}
	for name, n := range drawn {
		if b := q.buckets[name]; b != nil {
			b.level -= n - p.drawn[name]
		}
	}
	p.drawn, p.heard, p.charged = drawn, now, now
}

// sweep forgets the lives that are gone.
func (q *Quota) sweep(now time.Time) {
	for life, p := range q.peers {
		if now.Sub(p.heard) > ForgetAfter {
			delete(q.peers, life)
		}
	}
}

// fill brings a customer's bucket up to now.
func (q *Quota) fill(now time.Time, c *runworks.RoutedCustomer) *bucket {
	if q.buckets == nil {
		q.buckets = make(map[string]*bucket)
	}
	b := q.buckets[c.Name]
	if b == nil {
		b = &bucket{level: c.TokenBurst, filled: now}
		q.buckets[c.Name] = b
	}
	b.rate, b.burst = c.TokensPerSecond, c.TokenBurst
	b.level = min(b.level+now.Sub(b.filled).Seconds()*b.rate, b.burst)
	b.filled = now
	q.chargeSilent(now)
	return b
}

// chargeSilent draws, for each entry that is out of touch, the equal part of the
// limit that it keeps to by itself.
func (q *Quota) chargeSilent(now time.Time) {
	part := 1 / float64(len(q.peers)+1)
	for _, p := range q.peers {
		silent := now.Sub(p.heard)
		if silent < SilentAfter || silent > ForgetAfter {
			continue
		}
		span := now.Sub(p.charged).Seconds()
		p.charged = now
		for _, b := range q.buckets {
			b.level -= span * b.rate * part
		}
	}
}
