package quota

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// overdueAfter is how long after its last message an entry that consumes has missed some. Up to then
	// its rate is the one up to now: one that the limit stopped sends nothing and consumes nothing.
	overdueAfter = 300 * time.Millisecond
	// overduePerEntry, times the number of other entries, is the same where that is longer: twice the
	// interval at which many entries send messages.
	overduePerEntry = 10 * time.Millisecond
	// reconnectTime is how long an entry that is not heard is assumed to continue at its last rate.
	// Entries that do not hear each other replace their connections within it; one that still is not
	// heard may reach no other, and keeps to an equal share of the limit's rate.
	reconnectTime = 2 * time.Second
)

// assumed returns an estimate of what the other entries consumed of a customer's limit since their last
// messages, and the number of other entries. Without it a customer that requests far more than its
// limit would exceed it by all that the entries consume between two messages.
func (q *Quota) assumed(now time.Time, c *runworks.RoutedCustomer) (float64, int) {
	others := q.otherEntries(now)
	share := c.TokensPerSecond / float64(others+1)
	overdue := max(overdueAfter, time.Duration(others)*overduePerEntry)
	sum := 0.0
	for _, inc := range q.incarnations {
		if !inc.mayConsume(now) {
			continue
		}
		silence := min(now.Sub(inc.lastSeen), q.window())
		rate := q.rateBefore(now, inc, c.Name)
		if silence > overdueAfter {
			rate = q.rateBefore(inc.lastSeen, inc, c.Name)
		}
		if silence > UnreachableAfter {
			rate = max(rate, share)
		}
		consumed := rate * min(silence, reconnectTime).Seconds()
		if silence > overdue {
			consumed = max(consumed, q.likeOwn(inc, c.Name))
		}
		sum += consumed + share*max(silence-reconnectTime, 0).Seconds()
	}
	return sum, others
}

// likeOwn returns the tokens of a customer that an entry that is not heard consumed in reconnectTime
// since its last message, if its part of the customer's calls compared with this entry's is what it was
// before. A customer that begins to call just then is known from this entry's own calls alone.
func (q *Quota) likeOwn(inc *incarnation, customer string) float64 {
	other, own := inc.accounts[customer], q.ownIncarnation().accounts[customer]
	if other == nil || own == nil {
		return 0
	}
	seen := q.bucketAt(inc.lastSeen)
	before := own.recent.between(own.recent.first-1, seen-1)
	since := own.recent.between(seen-1, seen+int64(reconnectTime/bucketWidth))
	if before == 0 {
		return 0
	}
	return since * min(other.recent.sum()/before, 2)
}

// rateBefore returns the tokens per second of a customer that another entry consumed in the last
// rateSpan buckets up to a time.
func (q *Quota) rateBefore(at time.Time, inc *incarnation, customer string) float64 {
	a := inc.accounts[customer]
	if a == nil {
		return 0
	}
	last := q.bucketAt(at)
	return a.recent.between(last-rateSpan, last) / (rateSpan * bucketWidth).Seconds()
}
