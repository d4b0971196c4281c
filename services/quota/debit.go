package quota

import "time"

// Debit is a call's right to tokens of its customer's limit; a nil Debit needs none.
// One call uses it, one method at a time.
type Debit struct {
	quota    *Quota
	customer string
	tokens   float64
	// spent is when the call was sent first; zero while it waits.
	spent time.Time
	ended bool
}

// Tokens is what the call draws.
func (d *Debit) Tokens() float64 {
	if d == nil {
		return 0
	}
	return d.tokens
}

// Commit draws the tokens as the call is sent; a call that is sent again draws nothing
// more.
func (d *Debit) Commit(now time.Time) {
	if d == nil || d.ended || !d.spent.IsZero() {
		return
	}
	q := d.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	d.spent = now
	own := q.own()
	a := own.of(d.customer)
	a.held -= d.tokens
	a.drawn += d.tokens
	a.recent.add(q.number(now), d.tokens)
	own.version++
	q.recorder.drew(d.customer, d.tokens)
}

// Refund gives the tokens of a call back that did not run.
func (d *Debit) Refund() {
	if d == nil || d.ended {
		return
	}
	q := d.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	d.ended = true
	own := q.own()
	own.version++
	a := own.of(d.customer)
	if d.spent.IsZero() {
		a.held -= d.tokens
		return
	}
	a.drawn -= d.tokens
	a.recent.removeAt(q.number(d.spent), d.tokens)
}
