package serverlimit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/quota"
	"github.com/runworks/runworks/services/serverlimit"
)

var ways = flag.Bool("ways", false, "play the other way as well, and print the table of docs/design/server-limits.md")

// way is a way in which entries share a server's rate limit.
type way interface {
	// send reports whether an entry may send a request, and counts it if so.
	send(now time.Time, entry int) bool
	// exchange sends each entry's updates to all others.
	exchange(now time.Time)
}

// Parameters of the comparison: the heartbeat interval, longer where there are many entries; the
// span that a limit is counted in; and the duration of the load.
const (
	wayHeartbeat = 50 * time.Millisecond
	wayPerPeer   = 2 * time.Millisecond
	waySpan      = 4 * time.Second
	wayDuration  = 60 * time.Second
)

var wayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// shares is the way of this package.
type shares []serverlimit.Limit

func newShares(entries int, perSecond float64) shares {
	p := make(shares, entries)
	for i := range p {
		p[i].Set(wayStart, wayStart, perSecond)
		p[i].SetShare(wayStart, serverlimit.ShareOf(perSecond, i, entries))
	}
	return p
}

func (p shares) send(now time.Time, entry int) bool {
	if !p[entry].Admits(now) {
		return false
	}
	p[entry].Consume(now)
	return true
}

func (p shares) exchange(time.Time) {}

// counters is the way of the customers' limits: all entries count what all sent, as far as it was
// reported.
type counters struct {
	entries []*quota.Quota
	limit   *runworks.RoutedCustomer
}

func newCounters(entries int, perSecond float64) *counters {
	c := &counters{limit: &runworks.RoutedCustomer{Name: "server", TokensPerSecond: perSecond}}
	for i := range entries {
		c.entries = append(c.entries, &quota.Quota{Self: runworks.Incarnation(fmt.Sprint(i)), Window: waySpan, Started: wayStart.Add(-time.Hour)})
	}
	return c
}

func (c *counters) send(now time.Time, entry int) bool {
	v := c.entries[entry].Reserve(now, c.limit, 1)
	if v.Wait > 0 {
		return false
	}
	v.Debit.Commit(now)
	return true
}

func (c *counters) exchange(now time.Time) {
	for _, from := range c.entries {
		updates := from.Updates(now)
		for _, to := range c.entries {
			if to != from {
				to.ApplyUpdates(now, from.Self, updates)
			}
		}
	}
}

// simulate has calls arrive at random at all entries, at a rate in calls a second. It returns the
// most that the server got in a span, and the part of its limit that was used.
func simulate(w way, entries int, perSecond, calls float64) (most int, used float64) {
	rng := rand.New(rand.NewPCG(7, uint64(entries)))
	var sent []time.Time
	now, exchangedAt, first := wayStart, wayStart, 0
	for now.Sub(wayStart) < wayDuration {
		now = now.Add(time.Duration(rng.ExpFloat64() / calls * float64(time.Second)))
		if now.Sub(exchangedAt) >= max(wayHeartbeat, time.Duration(entries)*wayPerPeer) {
			w.exchange(now)
			exchangedAt = now
		}
		if !w.send(now, rng.IntN(entries)) {
			continue
		}
		sent = append(sent, now)
		for now.Sub(sent[first]) > waySpan {
			first++
		}
		most = max(most, len(sent)-first)
	}
	return most, float64(len(sent)) / (perSecond * wayDuration.Seconds())
}

// TestWays compares ways to share a limit under the same calls. The shares of this package keep
// the limit under any load. A shared count with heartbeats, as for the customers' limits, leaves
// less of it unused, but exceeds it where more calls arrive between two heartbeats than the limit
// allows. It is run too with -ways.
func TestWays(t *testing.T) {
	for _, entries := range []int{5, 28, 100} {
		for _, perSecond := range []float64{1, 2.2, 10} {
			for _, calls := range []float64{2 * perSecond, 10 * float64(entries)} {
				allowed := 1.5*waySpan.Seconds()*perSecond + 5
				most, used := simulate(newShares(entries, perSecond), entries, perSecond, calls)
				if float64(most) > allowed {
					t.Errorf("shares: %d, %.0f allowed", most, allowed)
				}
				if !*ways {
					continue
				}
				mostCounted, usedCounted := simulate(newCounters(entries, perSecond), entries, perSecond, calls)
				t.Logf("| %d | %g | %g | %.0f | %d | %.2f | %d | %.2f |", entries, perSecond, calls, allowed, most, used, mostCounted, usedCounted)
			}
		}
	}
}
