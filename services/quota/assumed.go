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
	// sampleFraction, of what a limit's rate admits in a window, and sampleCalls, as multiples of one
	// call, are the tokens from which the ratio of two entries is derived. Older ones say nothing where
	// a customer's calls moved, and fewer calls are a matter of chance.
	sampleFraction = 1.0 / 32
	sampleCalls    = 5
	// maxRatio bounds that ratio, as one of an entry that hardly consumed anything is arbitrary.
	maxRatio = 2
)

// assumed returns an estimate of what the other entries consumed of a customer's limit since their last
// messages, and the number of other entries. Without it a customer that requests far more than its
// limit would exceed it by all that the entries consume between two messages. passing is the part of the
// estimate that the next messages correct, overdueAfter from now at the latest. tokens are those of the
// call in question.
func (q *Quota) assumed(now time.Time, c *runworks.RoutedCustomer, tokens float64) (sum, passing float64, others int) {
	others = q.otherEntries(now)
	share := c.TokensPerSecond / float64(others+1)
	// What a limit's rate admits may all come to this entry, unless the customer requested more.
	sparedRate := c.TokensPerSecond
	if now.Sub(q.recorder.limits[c.Name].nearAt) <= q.window() {
		sparedRate = share
	}
	sample := max(sampleFraction*c.TokensPerSecond*q.window().Seconds(), sampleCalls*tokens)
	overdue := max(overdueAfter, time.Duration(others)*overduePerEntry)
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
			consumed = max(consumed, q.likeOwn(inc, c.Name, sample, 0, true))
		} else {
			spared := sparedRate * (silence + bucketWidth).Seconds()
			like := q.likeOwn(inc, c.Name, sample, spared, false)
			passing += max(like-consumed, 0)
			consumed = max(consumed, like)
		}
		sum += consumed + share*max(silence-reconnectTime, 0).Seconds()
	}
	return sum, passing, others
}

// likeOwn returns the tokens of a customer that another entry consumed in reconnectTime since its last
// message, if its part of the customer's calls compared with this entry's is what it was before: when a
// burst leaves the window, all entries admit calls at the same moment. Only what this entry consumed
// beyond spared counts. Of a customer that begins to call just then an overdue entry is assumed to have
// an equal part.
func (q *Quota) likeOwn(inc *incarnation, customer string, sample, spared float64, overdue bool) float64 {
	own := q.ownIncarnation().accounts[customer]
	if own == nil {
		return 0
	}
	seen, last := q.bucketAt(inc.lastSeen), q.bucketAt(inc.lastSeen.Add(reconnectTime))
	since := own.recent.between(seen-1, last)
	if since <= spared {
		return 0
	}
	if ratio, ok := inc.ratioTo(own, customer, seen, sample); ok {
		return (since - spared) * min(ratio, maxRatio)
	}
	if overdue {
		return own.recent.between(seen, last)
	}
	return 0
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
