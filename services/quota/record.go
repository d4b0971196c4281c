package quota

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// RecordInterval is the least time between two records. What is consumed after the last one
	// is lost if all entries exit at once, and each record costs a call to the store.
	RecordInterval = 400 * time.Millisecond
	// urgentInterval replaces RecordInterval for a customer that consumed urgentFraction of its
	// limit since the last record: a customer that was idle for a window may consume all of its
	// limit in a moment.
	urgentInterval = 100 * time.Millisecond
	urgentFraction = 1.0 / 8
	// writerDelay is how much longer an entry waits for each entry that is ahead of it in the
	// order of writers, so that one of them writes.
	writerDelay = 100 * time.Millisecond
	// recordFraction is the part of a customer's limit that must be consumed before a record is
	// due, so that customers far below their limits cause no writes.
	recordFraction = 1.0 / 16
	// recordMaxAge is when a record's window is certainly past. It is long, as the clocks of
	// writer and reader may differ by seconds.
	recordMaxAge = time.Minute
)

// recordIncarnation holds the sum of the incarnations that are known only from a record.
const recordIncarnation runworks.Incarnation = "record"

// recorder decides when the state must be written to the store, where it survives the exit of all
// entries at once.
type recorder struct {
	// limits are the customers' limits as of the last call here.
	limits map[string]observedLimit
	// sinceLast is what was consumed since the last record, and writing what the record that is
	// being written contains.
	sinceLast, writing map[string]float64
	last               time.Time
	// failed means that the store did not accept the last record; the next is not urgent then.
	failed bool
}

// observedLimit is a customer's limit as of the last call here.
type observedLimit struct {
	// allowed is what it admits in a window, in tokens.
	allowed float64
	// near means that little of it was left.
	near bool
	// nearAt is when little of it was left last, not counting assumed consumption.
	nearAt time.Time
}

func (r *recorder) observe(now time.Time, customer string, v *Decision) {
	if r.limits == nil {
		r.limits = make(map[string]observedLimit)
	}
	limit := r.limits[customer]
	limit.allowed = v.Allowed
	limit.near = v.Consumed+v.Reserved+v.Assumed >= nearFraction*v.Allowed
	if v.Consumed+v.Reserved >= nearFraction*v.Allowed {
		limit.nearAt = now
	}
	r.limits[customer] = limit
}

func (r *recorder) consumed(customer string, tokens float64) {
	if r.sinceLast == nil {
		r.sinceLast = make(map[string]float64)
	}
	r.sinceLast[customer] += tokens
}

// otherWrote restarts the interval after a record of another entry.
func (r *recorder) otherWrote(now time.Time) { r.last, r.sinceLast = now, nil }

// due reports whether enough of a customer's limit was consumed since the last record, and the
// interval between that record and the next.
func (r *recorder) due(customer string) (interval time.Duration, due bool) {
	limit, consumed := r.limits[customer].allowed, r.sinceLast[customer]
	switch {
	case limit == 0 || consumed < recordFraction*limit:
		return 0, false
	case consumed >= urgentFraction*limit && !r.failed:
		return urgentInterval, true
	}
	return RecordInterval, true
}

// RecordLost marks the last record as possibly lost: what the customers consumed in the window
// must be written again.
func (q *Quota) RecordLost(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recorder.last, q.recorder.sinceLast = now, nil
	for customer := range q.recorder.limits {
		total, _ := q.total(now, customer)
		q.recorder.consumed(customer, total.sum())
	}
}

// RecordDue reports whether this entry must write a record now. Of the entries that consumed a
// limit the one with the lowest incarnation ID writes; the others wait longer, each by its rank.
func (q *Quota) RecordDue(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waited := now.Sub(q.recorder.last)
	if waited < urgentInterval || !q.readyLocked(now) {
		return false
	}
	for customer := range q.recorder.sinceLast {
		interval, due := q.recorder.due(customer)
		if due && waited >= interval+time.Duration(q.writersBefore(now, customer))*writerDelay {
			return true
		}
	}
	return false
}

// writersBefore returns how many entries that consumed a limit are ahead of this one in the order
// of writers.
func (q *Quota) writersBefore(now time.Time, customer string) int {
	n := 0
	for id, inc := range q.incarnations {
		if id < q.Self && !inc.ended && now.Sub(inc.lastSeen) <= UnreachableAfter && inc.accounts[customer] != nil {
			n++
		}
	}
	return n
}

// Record returns the record to write. Call RecordWritten with the result of the write.
func (q *Quota) Record(now time.Time) runworks.LimitRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := &q.recorder
	r.last, r.writing, r.sinceLast = now, r.sinceLast, nil
	all := &incarnation{}
	for _, inc := range q.incarnations {
		for customer := range inc.accounts {
			q.sumInto(now, customer, all)
		}
	}
	out := runworks.LimitRecord{At: now, Use: q.fullUse(now, all)}
	if !q.completeLocked(now) {
		out.Consumed = q.consumedBy(now, &out.Use)
	}
	return out
}

// consumedBy returns what each incarnation consumed since its start, as far as it is in the
// window, of the customers in use.
func (q *Quota) consumedBy(now time.Time, use *runworks.LimitUse) map[runworks.Incarnation]map[string]float64 {
	out := make(map[runworks.Incarnation]map[string]float64)
	for id, inc := range q.incarnations {
		for customer, a := range inc.accounts {
			a.recent.trim(q.oldestBucket(now))
			tokens := min(a.consumed, a.recent.sum())
			if _, counts := use.Customers[customer]; !counts || tokens <= 0 {
				continue
			}
			if out[id] == nil {
				out[id] = make(map[string]float64)
			}
			out[id][customer] = tokens
		}
	}
	return out
}

// sumInto adds what all incarnations used of a customer's limit to all, unless it is there
// already or far below the limit.
func (q *Quota) sumInto(now time.Time, customer string, all *incarnation) {
	if all.accounts[customer] != nil {
		return
	}
	total, reserved := q.total(now, customer)
	if total.sum()+reserved < recordFraction*q.recorder.limits[customer].allowed {
		return
	}
	a := all.account(customer)
	a.recent, a.reserved = *total, reserved
}

// RecordWritten records whether the store accepted the result of the last call of Record.
func (q *Quota) RecordWritten(ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recorder.failed = !ok
	if !ok {
		for customer, tokens := range q.recorder.writing {
			q.recorder.consumed(customer, tokens)
		}
		return
	}
	own := q.ownIncarnation()
	own.recordsWritten++
	own.version++
}

// ApplyRecord applies the last record from the store at the start; nil means that there is none.
// Its consumption counts as if the record had been written now, as the clocks of different hosts
// cannot be compared: it stays in the window longer by at most the time that all entries were
// down.
func (q *Quota) ApplyRecord(now time.Time, r *runworks.LimitRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ready = true
	if r == nil || q.complete || now.Sub(r.At) > recordMaxAge {
		return
	}
	recorded := q.incarnation(recordIncarnation)
	q.replace(now, recorded, &r.Use)
	recorded.consumeReserved(q.bucketAt(now), recordSpan)
	q.dedup.setRecorded(r.Consumed)
	for id, known := range q.incarnations {
		q.dedup.subtract(id, known, recorded)
	}
}
