package quota

import (
	"sync"
	"time"

	"github.com/runworks/runworks"
)

const (
	// UnreachableAfter is how long after its last message an entry is considered unreachable. By
	// then several heartbeats are missing.
	UnreachableAfter = time.Second
	// StateTimeout is how long a new entry waits to learn what was consumed before its start:
	// several times what it takes to reach the store or another entry.
	StateTimeout = 2 * time.Second
	// notReadyWait is the shortest Retry-After of a call that is refused before that.
	notReadyWait = 100 * time.Millisecond
	// minMissing is the part of the window that must be missing for another entry's state to be
	// worth requesting. When all entries start together, all would otherwise request the state of
	// the first that completes its window, a moment before they complete theirs: a hundred states
	// of some MB kept a small host from serving calls for more than three seconds.
	minMissing = 2 * time.Second
	// rateSpan is the number of buckets over which an entry's rate of consumption is measured.
	rateSpan = 5
	// DefaultWindow is the span over which a limit is counted.
	DefaultWindow = 8 * time.Second
)

// Quota counts what the customers consumed recently at all entries. Set the exported fields
// before use. In any window a limit admits its rate times the window, plus its burst.
//
// A call reserves its tokens while it waits and consumes them when it is sent. If they counted
// from its arrival and were refunded later, they would leave the window as a credit. Consumption
// is reported per incarnation, so that it counts once whoever reports it. A new incarnation
// continues from what the others count: starting at zero, each restarted entry would grant the
// customer its limit again.
type Quota struct {
	// Self identifies this entry's incarnation to the others.
	Self runworks.Incarnation
	// Window is the span over which limits are counted; 0 means DefaultWindow.
	Window time.Duration
	// Started is when this entry began to count.
	Started time.Time

	mu sync.Mutex
	// epoch is the start of bucket 0.
	epoch        time.Time
	incarnations map[runworks.Incarnation]*incarnation
	// ready means that what was consumed before the start is known, and complete that it came
	// from an entry that counted a whole window.
	ready, complete bool
	sweptAt         time.Time
	recorder        recorder
	dedup           recordDedup
}

// Decision is the result of Reserve: whether a call is within its customer's limit, and the
// figures behind it.
type Decision struct {
	// Wait is how long until the limit has enough tokens; 0 admits the call.
	Wait time.Duration
	// NotReady means that the entry does not know yet what was consumed before its start.
	NotReady bool
	// Consumed is what was consumed in the window before the call, in tokens, Reserved what is
	// reserved for waiting calls, and Assumed an estimate of what was consumed but not reported
	// or recorded.
	Consumed, Reserved, Assumed float64
	// Allowed is what the limit admits in a window, in tokens.
	Allowed float64
	// OtherEntries is how many other entries share the limit.
	OtherEntries int
	// Debit is the claim of an admitted call; nil where no limit applies.
	Debit *Debit
}

// Reserve reserves a call's tokens on the limit of customer c if it has enough. A nil customer or
// one without a rate has no limit.
func (q *Quota) Reserve(now time.Time, c *runworks.RoutedCustomer, tokens float64) Decision {
	if c == nil || c.TokensPerSecond <= 0 {
		return Decision{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.readyLocked(now) {
		// A readable record was read while the call was held, so what takes longer lasts until
		// StateTimeout. Callers with a shorter Retry-After would use up their attempts before.
		return Decision{NotReady: true, Wait: max(notReadyWait, q.Started.Add(StateTimeout).Sub(now))}
	}
	total, reserved := q.total(now, c.Name)
	v := Decision{Consumed: total.sum(), Reserved: reserved, Allowed: q.allowed(now, c)}
	var passing float64
	v.Assumed, passing, v.OtherEntries = q.assumed(now, c, tokens)
	if !q.completeLocked(now) && v.Consumed+v.Reserved > 0 {
		// What was consumed after the last record: up to the rate times the record interval.
		v.Assumed += c.TokensPerSecond * RecordInterval.Seconds()
	}
	q.recorder.observe(now, c.Name, &v)
	// A call larger than the whole limit is admitted when nothing else was consumed.
	if over := v.Consumed + v.Reserved + v.Assumed + min(tokens, v.Allowed) - v.Allowed; over > 0 {
		v.Wait = q.waitFor(now, total, over)
		if over <= passing {
			v.Wait = min(v.Wait, overdueAfter)
		}
		return v
	}
	a := q.ownIncarnation().account(c.Name)
	a.reserved += tokens
	q.ownIncarnation().version++
	v.Debit = &Debit{quota: q, customer: c.Name, tokens: tokens}
	return v
}

// Ready reports whether this entry knows what was consumed before its start, or waited
// StateTimeout for it.
func (q *Quota) Ready(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.readyLocked(now)
}

func (q *Quota) readyLocked(now time.Time) bool {
	return q.ready || now.Sub(q.Started) >= StateTimeout
}

// allowed returns what a limit admits in the window before now. An entry that did not learn what
// was consumed before its start opens the limit from there on at its rate.
func (q *Quota) allowed(now time.Time, c *runworks.RoutedCustomer) float64 {
	counted := now.Sub(q.Started)
	if q.ready || counted >= q.window() {
		return c.TokensPerSecond*q.window().Seconds() + c.TokenBurst
	}
	return c.TokensPerSecond * counted.Seconds()
}

// total returns the sum of what all incarnations consumed in the window, and of what they
// reserve.
func (q *Quota) total(now time.Time, customer string) (*usage, float64) {
	oldest := q.oldestBucket(now)
	// The buckets start at the oldest one, in whichever order the incarnations are read.
	sum := &usage{first: oldest, counts: []float64{0}}
	reserved := 0.0
	for _, inc := range q.incarnations {
		a := inc.accounts[customer]
		if a == nil {
			continue
		}
		a.recent.trim(oldest)
		for i, n := range a.recent.counts {
			sum.add(a.recent.first+int64(i), n)
		}
		reserved += a.reserved
	}
	return sum, reserved
}

// waitFor returns how long it takes until that many tokens have left the window.
func (q *Quota) waitFor(now time.Time, total *usage, tokens float64) time.Duration {
	for i, n := range total.counts {
		if tokens -= n; tokens <= 0 {
			leaves := q.epoch.Add(time.Duration(total.first+int64(i)+1)*bucketWidth + q.window())
			return max(leaves.Sub(now), bucketWidth)
		}
	}
	return q.window()
}

// otherEntries returns how many other entries may consume.
func (q *Quota) otherEntries(now time.Time) int {
	n := 0
	for _, inc := range q.incarnations {
		if inc.mayConsume(now) {
			n++
		}
	}
	return n
}

// completeLocked reports whether nothing of the window is missing here.
func (q *Quota) completeLocked(now time.Time) bool {
	return q.complete || now.Sub(q.Started) >= q.window()
}

// Consumed returns the tokens that all entries consumed in the window before now, by customer.
func (q *Quota) Consumed(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	oldest := q.oldestBucket(now)
	out := make(map[string]float64)
	for _, inc := range q.incarnations {
		for customer, a := range inc.accounts {
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

// bucketAt returns the number of the bucket that a time falls in.
func (q *Quota) bucketAt(at time.Time) int64 {
	if q.epoch.IsZero() {
		q.epoch = at
	}
	since := at.Sub(q.epoch)
	number := int64(since / bucketWidth)
	if since < 0 && since%bucketWidth != 0 {
		number--
	}
	return number
}

// oldestBucket returns the number of the first bucket of the window before now.
func (q *Quota) oldestBucket(now time.Time) int64 {
	q.bucketAt(now) // sets the epoch
	return q.bucketAt(now.Add(-q.window()))
}

func (q *Quota) ownIncarnation() *incarnation { return q.incarnation(q.Self) }

func (q *Quota) incarnation(id runworks.Incarnation) *incarnation {
	if q.incarnations == nil {
		q.incarnations = make(map[runworks.Incarnation]*incarnation)
	}
	inc := q.incarnations[id]
	if inc == nil {
		inc = &incarnation{}
		q.incarnations[id] = inc
	}
	return inc
}
