package quota

import (
	"sync"
	"time"

	"github.com/runworks/runworks"
)

const (
	// UnreachableAfter is when an entry that said nothing counts as out of touch: some
	// reports must have been missed.
	UnreachableAfter = time.Second
	// StateTimeout is how long a new entry waits to be told what was drawn before its
	// start: some times what a record or another entry takes to be reached.
	StateTimeout = 2 * time.Second
	// untoldWait is when a caller comes back at the soonest that was refused before that.
	untoldWait = 100 * time.Millisecond
	// minMissing is how much of the window must be missing for another entry's count to be
	// worth asking for. Where all entries start at once, the first that has counted a whole
	// window would be asked by all others, which have counted theirs a moment later: a
	// hundred states of some MB kept a small host from its calls for more than three seconds.
	minMissing = 2 * time.Second
	// rateSpan is the span, in grains, from which is told how fast an entry draws.
	rateSpan = 5
	// DefaultWindow is the span over which a limit is counted.
	DefaultWindow = 8 * time.Second
)

// Quota counts what the customers used of late at all entries; set the exported
// fields before use. A limit lets through, in any window, its rate times the window
// and its burst.
//
// A call holds its tokens while it waits and draws them when it is sent: tokens that
// counted from its arrival on and were given back later would leave the window as a
// credit. What an entry drew is told by its life, so that it counts once whoever tells
// it, and a new life goes on with what the others count: a customer would get its limit
// again from each entry that begins at zero.
type Quota struct {
	// Self names this entry's life to the others.
	Self runworks.Incarnation
	// Window is DefaultWindow if zero.
	Window time.Duration
	// Started is when this entry began to count.
	Started time.Time

	mu sync.Mutex
	// epoch is where the numbers of grains begin.
	epoch time.Time
	lives map[runworks.Incarnation]*life
	// told says that what was drawn before the start is known, and complete that
	// somebody told it who counted a whole window.
	told, complete bool
	swept          time.Time
	recorder       recorder
	setOff         setOff
}

// Decision says whether a call is inside a customer's limit, and why.
type Decision struct {
	// Wait is how long until the limit has room; 0 lets the call pass.
	Wait time.Duration
	// NotReady says that the entry does not know yet what was drawn before its start.
	NotReady bool
	// Consumed is what was drawn in the window before the call, in tokens, Reserved what is set
	// aside for calls that wait, and Assumed what may have been drawn unheard or unrecorded.
	Consumed, Reserved, Assumed float64
	// Allowed is what the limit lets through in a window.
	Allowed float64
	// OtherEntries is how many other entries' words are counted in.
	OtherEntries int
	// Debit is the right of a call that passes; nil where no limit holds.
	Debit *Debit
}

// Reserve sets the tokens of a call aside on the customer's limit, if it has room.
func (q *Quota) Reserve(now time.Time, c *runworks.RoutedCustomer, tokens float64) Decision {
	if c == nil || c.TokensPerSecond <= 0 {
		return Decision{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.toldLocked(now) {
		// A record that can be read was read while the call was held: what lasts longer
		// lasts until the limit opens by itself, and callers who came back before would use
		// their tries up.
		return Decision{NotReady: true, Wait: max(untoldWait, q.Started.Add(StateTimeout).Sub(now))}
	}
	total, held := q.total(now, c.Name)
	v := Decision{Consumed: total.sum(), Reserved: held, Allowed: q.allowed(now, c)}
	v.Assumed, v.OtherEntries = q.assumed(now, c.TokensPerSecond)
	v.Assumed += q.underWay(now, c.Name)
	if !q.completeLocked(now) && v.Consumed+v.Reserved > 0 {
		// What was drawn behind the last record: as much as the rate gives until the next.
		v.Assumed += c.TokensPerSecond * RecordInterval.Seconds()
	}
	q.recorder.met(c.Name, &v)
	// A call larger than the whole limit passes when nothing else was drawn.
	if over := v.Consumed + v.Reserved + v.Assumed + min(tokens, v.Allowed) - v.Allowed; over > 0 {
		v.Wait = q.until(now, total, over)
		return v
	}
	a := q.own().of(c.Name)
	a.held += tokens
	q.own().version++
	v.Debit = &Debit{quota: q, customer: c.Name, tokens: tokens}
	return v
}

// Ready says whether this entry knows what was drawn before its start, or waited for
// it long enough.
func (q *Quota) Ready(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.toldLocked(now)
}

func (q *Quota) toldLocked(now time.Time) bool {
	return q.told || now.Sub(q.Started) >= StateTimeout
}

// allowed is what a limit lets through in the window before now. An entry that nobody
// told of what was drawn before its start opens the limit from there on at its rate.
func (q *Quota) allowed(now time.Time, c *runworks.RoutedCustomer) float64 {
	counted := now.Sub(q.Started)
	if q.told || counted >= q.window() {
		return c.TokensPerSecond*q.window().Seconds() + c.TokenBurst
	}
	return c.TokensPerSecond * counted.Seconds()
}

// total adds up what all lives drew in the window, and what they hold.
func (q *Quota) total(now time.Time, customer string) (*usage, float64) {
	oldest := q.oldest(now)
	// The counts begin at the oldest grain, whichever life comes first.
	sum := &usage{first: oldest, counts: []float64{0}}
	held := 0.0
	for _, l := range q.lives {
		a := l.accounts[customer]
		if a == nil {
			continue
		}
		a.recent.trim(oldest)
		for i, n := range a.recent.counts {
			sum.add(a.recent.first+int64(i), n)
		}
		held += a.held
	}
	return sum, held
}

// until gives how long it takes until that many tokens have left the window.
func (q *Quota) until(now time.Time, total *usage, tokens float64) time.Duration {
	for i, n := range total.counts {
		if tokens -= n; tokens <= 0 {
			leaves := q.epoch.Add(time.Duration(total.first+int64(i)+1)*grain + q.window())
			return max(leaves.Sub(now), grain)
		}
	}
	return q.window()
}

// assumed is what entries out of touch may have drawn since they were heard, and how many
// other entries there are: each keeps to an equal part of the rate when it hears nobody.
func (q *Quota) assumed(now time.Time, rate float64) (float64, int) {
	silent := 0.0
	for _, l := range q.lives {
		if quiet := now.Sub(l.heard); l.draws(now) && quiet > UnreachableAfter {
			silent += min(quiet, q.window()).Seconds()
		}
	}
	heard := q.heard(now)
	return rate / float64(heard+1) * silent, heard
}

// underWay is what the other entries have drawn since they spoke last, if they go on as in
// the half second before. Without it a customer that asks for far more than its limit would
// draw beyond it what all entries take between two heartbeats.
func (q *Quota) underWay(now time.Time, customer string) float64 {
	sum := 0.0
	from := q.number(now) - rateSpan
	for _, l := range q.lives {
		quiet := now.Sub(l.heard)
		if a := l.accounts[customer]; a != nil && l.draws(now) && quiet <= UnreachableAfter {
			sum += a.recent.since(from) / rateSpan * float64(quiet) / float64(grain)
		}
	}
	return sum
}

// heard gives how many other entries may draw.
func (q *Quota) heard(now time.Time) int {
	n := 0
	for _, l := range q.lives {
		if l.draws(now) {
			n++
		}
	}
	return n
}

// completeLocked says whether nothing of the window is missing here.
func (q *Quota) completeLocked(now time.Time) bool {
	return q.complete || now.Sub(q.Started) >= q.window()
}

// Consumed gives what is counted in the window before now, of all entries, by customer.
func (q *Quota) Consumed(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	oldest := q.oldest(now)
	out := make(map[string]float64)
	for _, l := range q.lives {
		for customer, a := range l.accounts {
			a.recent.trim(oldest)
			if sum := a.recent.sum(); sum > 0 {
				out[customer] += sum
			}
		}
	}
	return out
}

func (q *Quota) window() time.Duration {
	if q.Window == 0 {
		return DefaultWindow
	}
	return q.Window
}

// number gives the grain that a time falls in.
func (q *Quota) number(at time.Time) int64 {
	if q.epoch.IsZero() {
		q.epoch = at
	}
	since := at.Sub(q.epoch)
	number := int64(since / grain)
	if since < 0 && since%grain != 0 {
		number--
	}
	return number
}

// oldest gives the first grain of the window before now.
func (q *Quota) oldest(now time.Time) int64 {
	q.number(now) // sets the epoch
	return q.number(now.Add(-q.window()))
}

// own gives this entry's life.
func (q *Quota) own() *life { return q.of(q.Self) }

func (q *Quota) of(id runworks.Incarnation) *life {
	if q.lives == nil {
		q.lives = make(map[runworks.Incarnation]*life)
	}
	l := q.lives[id]
	if l == nil {
		l = &life{}
		q.lives[id] = l
	}
	return l
}
