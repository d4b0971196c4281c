package quota

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// RecordInterval is the least time between two records: what is drawn behind the last
	// one is not known if all entries end at once, and each costs a call to the store.
	RecordInterval = 400 * time.Millisecond
	// hurryEvery is the same for a customer that drew hurryPart of its limit since: one that
	// had drawn nothing for a window may draw all of it in a moment.
	hurryEvery = 100 * time.Millisecond
	hurryPart  = 1.0 / 8
	// recordTurn is how much longer an entry waits for each that comes before it, so
	// that one of them writes.
	recordTurn = 100 * time.Millisecond
	// recordPart is the part of a customer's limit that is drawn before a record is
	// due: customers far below their limits cost none.
	recordPart = 1.0 / 16
	// recordOutdated is when a record tells of a window that is long past. The times of
	// day of writer and reader may differ by seconds.
	recordOutdated = time.Minute
)

// recordLife stands for the lives of which only a record tells, added up.
const recordLife runworks.Incarnation = "record"

// recorder knows when the state is to be put on record, so that it outlasts the end of
// all entries at once.
type recorder struct {
	// limits are the customers' limits as calls met them here.
	limits map[string]metLimit
	// since is what was drawn since the last record, and writing what the record holds
	// that is being written.
	since, writing map[string]float64
	last           time.Time
	// refused says that the store did not take the last record: the next is in no hurry.
	refused bool
}

// metLimit is a customer's limit as the last call here met it.
type metLimit struct {
	// allowed is what it lets through in a window, in tokens.
	allowed float64
	// near says that little of it was left.
	near bool
}

func (r *recorder) met(customer string, v *Decision) {
	if r.limits == nil {
		r.limits = make(map[string]metLimit)
	}
	r.limits[customer] = metLimit{allowed: v.Allowed, near: v.Consumed+v.Reserved+v.Assumed >= nearPart*v.Allowed}
}

func (r *recorder) drew(customer string, tokens float64) {
	if r.since == nil {
		r.since = make(map[string]float64)
	}
	r.since[customer] += tokens
}

// recorded notes a record of another entry.
func (r *recorder) recorded(now time.Time) { r.last, r.since = now, nil }

// due says whether enough of a customer's limit was drawn since the last record, and after
// which time from then a record is to follow.
func (r *recorder) due(customer string) (every time.Duration, due bool) {
	limit, drawn := r.limits[customer].allowed, r.since[customer]
	switch {
	case limit == 0 || drawn < recordPart*limit:
		return 0, false
	case drawn >= hurryPart*limit && !r.refused:
		return hurryEvery, true
	}
	return RecordInterval, true
}

// RecordLost tells that the last record may be gone: what the customers drew in the window is
// to be put on record anew.
func (q *Quota) RecordLost(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recorder.last, q.recorder.since = now, nil
	for customer := range q.recorder.limits {
		total, _ := q.total(now, customer)
		q.recorder.drew(customer, total.sum())
	}
}

// RecordDue says whether this entry is to put its state on record now. Of the entries
// that drew on a limit the one whose life has the first name does it; another waits a
// little longer.
func (q *Quota) RecordDue(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waited := now.Sub(q.recorder.last)
	if waited < hurryEvery || !q.toldLocked(now) {
		return false
	}
	for customer := range q.recorder.since {
		every, due := q.recorder.due(customer)
		if due && waited >= every+time.Duration(q.before(now, customer))*recordTurn {
			return true
		}
	}
	return false
}

// before is how many entries that drew on a limit come before this one.
func (q *Quota) before(now time.Time, customer string) int {
	n := 0
	for id, l := range q.lives {
		if id < q.Self && !l.over && now.Sub(l.heard) <= UnreachableAfter && l.accounts[customer] != nil {
			n++
		}
	}
	return n
}

// Record gives what to put on record; Recorded tells how that went.
func (q *Quota) Record(now time.Time) runworks.LimitRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := &q.recorder
	r.last, r.writing, r.since = now, r.since, nil
	all := &life{}
	for _, l := range q.lives {
		for customer := range l.accounts {
			q.addUp(now, customer, all)
		}
	}
	out := runworks.LimitRecord{At: now, Use: q.whole(now, all)}
	if !q.completeLocked(now) {
		out.Consumed = q.drawn(now, &out.Use)
	}
	return out
}

// drawn gives what each life drew since its start, as far as the window still counts it, of
// the customers of a use.
func (q *Quota) drawn(now time.Time, use *runworks.LimitUse) map[runworks.Incarnation]map[string]float64 {
	out := make(map[runworks.Incarnation]map[string]float64)
	for id, l := range q.lives {
		for customer, a := range l.accounts {
			a.recent.trim(q.oldest(now))
			tokens := min(a.drawn, a.recent.sum())
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

// addUp puts what all lives used of a customer's limit in one, unless it is there or far
// below the limit.
func (q *Quota) addUp(now time.Time, customer string, all *life) {
	if all.accounts[customer] != nil {
		return
	}
	total, held := q.total(now, customer)
	if total.sum()+held < recordPart*q.recorder.limits[customer].allowed {
		return
	}
	a := all.of(customer)
	a.recent, a.held = *total, held
}

// RecordWritten notes whether the state of the last call of Record is on record.
func (q *Quota) RecordWritten(ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recorder.refused = !ok
	if !ok {
		for customer, tokens := range q.recorder.writing {
			q.recorder.drew(customer, tokens)
		}
		return
	}
	own := q.own()
	own.records++
	own.version++
}

// ApplyRecord takes the last record at the start; nil says that there is none. Its
// draws count as if it had been written just now, as the hosts' times of day can't be
// compared: at most as much longer as the fleet was gone.
func (q *Quota) ApplyRecord(now time.Time, r *runworks.LimitRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.told = true
	if r == nil || q.complete || now.Sub(r.At) > recordOutdated {
		return
	}
	l := q.of(recordLife)
	q.replace(now, l, &r.Use)
	l.spendHeld(q.number(now), recordSpan)
	q.setOff.take(r.Consumed)
	for id, known := range q.lives {
		q.setOff.told(id, known, l)
	}
}
