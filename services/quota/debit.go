package quota

import "time"

// Debit is a call's claim on tokens of its customer's limit. A nil Debit claims none. It belongs
// to one call and is not safe for concurrent use.
type Debit struct {
	quota    *Quota
	customer string
	tokens   float64
	// committedAt is when the call was first sent; zero while it waits.
	committedAt time.Time
	refunded    bool
}

// Tokens returns the tokens that the call is charged; 0 for a nil Debit.
func (d *Debit) Tokens() float64 {
	if d == nil {
		return 0
	}
	return d.tokens
}

// Commit turns the reservation into consumption when the call is sent. Further sends of the same
// call are not charged.
func (d *Debit) Commit(now time.Time) {
	if d == nil || d.refunded || !d.committedAt.IsZero() {
		return
	}
	q := d.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	d.committedAt = now
	own := q.ownIncarnation()
	a := own.account(d.customer)
	a.reserved -= d.tokens
	a.consumed += d.tokens
	a.recent.add(q.bucketAt(now), d.tokens)
	own.version++
	q.recorder.consumed(d.customer, d.tokens)
}

// Refund returns the tokens of a call that was not run, whether it was sent or still waits.
func (d *Debit) Refund() {
	if d == nil || d.refunded {
		return
	}
	q := d.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	d.refunded = true
	own := q.ownIncarnation()
	own.version++
	a := own.account(d.customer)
	if d.committedAt.IsZero() {
		a.reserved -= d.tokens
		return
	}
	a.consumed -= d.tokens
	a.recent.subtractAt(q.bucketAt(d.committedAt), d.tokens)
}
