package quota

import (
	"math"
	"time"

	"github.com/runworks/runworks"
)

// life is what one life of an entry used of the limits, this entry's own included.
type life struct {
	version int64
	records int64
	// heard is when it spoke last; zero if only others told of it, or a record, and for
	// this entry's own.
	heard time.Time
	// over says that it draws nothing more.
	over     bool
	accounts map[string]*account
}

// account is what a life used of one customer's limit.
type account struct {
	recent usage
	drawn  float64
	held   float64
	// told is when this entry told the others of it last, and toldDrawn and toldHeld
	// what.
	told                time.Time
	toldDrawn, toldHeld float64
}

// untold is how much changed since the others were told.
func (a *account) untold() float64 {
	return math.Abs(a.drawn-a.toldDrawn) + math.Abs(a.held-a.toldHeld)
}

func (l *life) of(customer string) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[customer]
	if a == nil {
		a = &account{}
		l.accounts[customer] = a
	}
	return a
}

// draws says whether another entry's life may go on drawing; this entry's own is never
// heard.
func (l *life) draws(now time.Time) bool {
	return !l.over && !l.heard.IsZero() && now.Sub(l.heard) <= runworks.EntryTimeout
}

// spendHeld counts as drawn what of the held tokens the life may have drawn unheard, and
// lets go of the rest: as much as it drew in the last span of that many grains. All that
// it held would be far too much in a burst, in which most of it waits for a server.
func (l *life) spendHeld(number int64, span int) {
	for _, a := range l.accounts {
		if a.held > 0 {
			a.recent.add(number, min(a.held, a.recent.last(span)))
			a.held = 0
		}
	}
}

// sweep forgets what left the window; it says whether nothing is left.
func (l *life) sweep(oldest int64) bool {
	for customer, a := range l.accounts {
		a.recent.trim(oldest)
		if len(a.recent.counts) == 0 && a.held == 0 {
			delete(l.accounts, customer)
		}
	}
	return len(l.accounts) == 0
}

// update takes a heartbeat's word and tells drew of what is new in it. What was drawn
// since the one before counts as drawn now; of a customer that was not counted yet that
// is all in the teller's window.
func (l *life) update(number int64, use *runworks.LimitUse, drew func(customer string, tokens float64)) {
	for customer, told := range use.Customers {
		known := l.accounts[customer] != nil
		a := l.of(customer)
		more := told.ConsumedInWindow
		if known {
			more = min(told.Consumed-a.drawn, told.ConsumedInWindow)
		}
		if more > 0 {
			a.recent.add(number, more)
			drew(customer, more)
		} else {
			a.recent.remove(-more)
		}
		a.drawn, a.held = told.Consumed, told.Reserved
	}
	l.version = use.Version
}

// replace takes a whole state's word, with the times of the draws.
func (l *life) replace(numberAt func(age time.Duration) int64, use *runworks.LimitUse) {
	l.accounts = make(map[string]*account, len(use.Customers))
	for customer, told := range use.Customers {
		a := l.of(customer)
		a.drawn, a.held = told.Consumed, told.Reserved
		for _, r := range told.Recent {
			a.recent.add(numberAt(time.Duration(r.AgeMs)*time.Millisecond), r.Tokens)
		}
	}
	l.version = use.Version
}
