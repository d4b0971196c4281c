package quota

import (
	"math"
	"time"

	"github.com/runworks/runworks"
)

// incarnation is what one incarnation of an entry used of the limits. This entry's own is one of
// them.
type incarnation struct {
	version        int64
	recordsWritten int64
	// lastSeen is when its last message arrived; zero if it is known only through others or a
	// record, and for this entry's own.
	lastSeen time.Time
	// ended means that it consumes nothing more.
	ended    bool
	accounts map[string]*account
	// past holds what was consumed of accounts that left the window, by customer.
	past map[string]pastUse
}

// pastUse is what an incarnation consumed up to a time, in tokens.
type pastUse struct {
	consumed float64
	at       time.Time
}

// consumedEver returns what the incarnation consumed of a customer's limit, in tokens, as far as it is
// remembered.
func (inc *incarnation) consumedEver(customer string) float64 {
	sum := inc.past[customer].consumed
	if a := inc.accounts[customer]; a != nil {
		sum += a.consumed
	}
	return sum
}

// ratioTo returns how much of a customer's limit the incarnation consumed as a multiple of what this
// entry did: of the last tokens that both consumed before a bucket, or of all that is remembered if those
// in the window are fewer. ok is false if this entry consumed nothing.
func (inc *incarnation) ratioTo(own *account, customer string, before int64, tokens float64) (ratio float64, ok bool) {
	var here, there float64
	a := inc.accounts[customer]
	for n := before - 1; n >= own.recent.first && here+there < tokens; n-- {
		here += own.recent.between(n-1, n)
		if a != nil {
			there += a.recent.between(n-1, n)
		}
	}
	if here+there < tokens {
		here, there = own.consumed-own.recent.from(before), inc.consumedEver(customer)
	}
	if here <= 0 {
		return 0, false
	}
	return there / here, true
}

// account is what an incarnation used of one customer's limit, in tokens.
type account struct {
	recent   usage
	consumed float64
	reserved float64
	// reportedAt is when this entry last sent the account to the others, and reportedConsumed and
	// reportedReserved what it sent.
	reportedAt                         time.Time
	reportedConsumed, reportedReserved float64
}

// unreported returns how many tokens changed since the last report to the others.
func (a *account) unreported() float64 {
	return math.Abs(a.consumed-a.reportedConsumed) + math.Abs(a.reserved-a.reportedReserved)
}

func (inc *incarnation) account(customer string) *account {
	if inc.accounts == nil {
		inc.accounts = make(map[string]*account)
	}
	a := inc.accounts[customer]
	if a == nil {
		a = &account{}
		inc.accounts[customer] = a
	}
	return a
}

// mayConsume reports whether another entry's incarnation may still consume. It is false for this
// entry's own, which has no lastSeen.
func (inc *incarnation) mayConsume(now time.Time) bool {
	return !inc.ended && !inc.lastSeen.IsZero() && now.Sub(inc.lastSeen) <= runworks.EntryTimeout
}

// consumeReserved converts what the incarnation may have consumed of its reservations without
// reporting it, at most what it consumed in the last span buckets, and drops the remainder.
// Counting the whole reservation would be far too much in a burst, when most of it waits for a
// server.
func (inc *incarnation) consumeReserved(number int64, span int) {
	for _, a := range inc.accounts {
		if a.reserved > 0 {
			a.recent.add(number, min(a.reserved, a.recent.last(span)))
			a.reserved = 0
		}
	}
}

// sweep drops what left the window, remembers what was consumed of it for the given time, and reports
// whether nothing remains.
func (inc *incarnation) sweep(now time.Time, oldest int64, remember time.Duration) bool {
	for customer, a := range inc.accounts {
		a.recent.trim(oldest)
		if len(a.recent.counts) == 0 && a.reserved == 0 {
			inc.remember(now, customer)
			delete(inc.accounts, customer)
		}
	}
	for customer, p := range inc.past {
		if now.Sub(p.at) > remember {
			delete(inc.past, customer)
		}
	}
	return len(inc.accounts) == 0
}

// remember keeps what the incarnation consumed of a customer's limit.
func (inc *incarnation) remember(now time.Time, customer string) {
	if inc.past == nil {
		inc.past = make(map[string]pastUse)
	}
	inc.past[customer] = pastUse{consumed: inc.consumedEver(customer), at: now}
}

// update applies a heartbeat and calls onConsumed with the tokens that are new in it. What was
// consumed since the previous heartbeat is counted in the bucket number. For a customer without
// an account that is the sender's whole window.
func (inc *incarnation) update(number int64, use *runworks.LimitUse, onConsumed func(customer string, tokens float64)) {
	for customer, reported := range use.Customers {
		known := inc.accounts[customer] != nil
		a := inc.account(customer)
		added := reported.ConsumedInWindow
		if known {
			added = min(reported.Consumed-a.consumed, reported.ConsumedInWindow)
		}
		if added > 0 {
			a.recent.add(number, added)
			onConsumed(customer, added)
		} else {
			a.recent.subtract(-added)
		}
		a.consumed, a.reserved = reported.Consumed, reported.Reserved
	}
	inc.version = use.Version
}

// replace sets the accounts to a full use, which has the times of the consumption. The ages are limited to
// maxAge: each bucket between two times takes memory.
func (inc *incarnation) replace(bucketAt func(age time.Duration) int64, maxAge time.Duration, use *runworks.LimitUse) {
	inc.accounts = make(map[string]*account, len(use.Customers))
	for customer, reported := range use.Customers {
		a := inc.account(customer)
		a.consumed, a.reserved = boundTokens(reported.Consumed), boundTokens(reported.Reserved)
		for _, r := range reported.Recent {
			ageMs := min(max(r.AgeMs, 0), maxAge.Milliseconds())
			a.recent.add(bucketAt(time.Duration(ageMs)*time.Millisecond), boundTokens(r.Tokens))
		}
	}
	inc.version = use.Version
}
