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

// way is a way in which entries share a server's limit.
type way interface {
	// send says whether an entry may send a request, and counts it if so.
	send(now time.Time, entry int) bool
	// tell lets all entries hear each other.
	tell(now time.Time)
}

// The figures of the comparison: a heartbeat, or more where there are many entries; the span
// that a limit is counted in; and how long calls press on it.
const (
	wayBeat    = 50 * time.Millisecond
	wayPerPeer = 2 * time.Millisecond
	waySpan    = 4 * time.Second
	wayLasts   = 60 * time.Second
)

var wayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// parts is the way of this package.
type parts []serverlimit.Limit

func newParts(entries int, perSecond float64) parts {
	p := make(parts, entries)
	for i := range p {
		p[i].Set(wayStart, wayStart, perSecond)
		p[i].SetShare(wayStart, serverlimit.ShareOf(perSecond, i, entries))
	}
	return p
}

func (p parts) send(now time.Time, entry int) bool {
	if !p[entry].Admits(now) {
		return false
	}
	p[entry].Consume(now)
	return true
}

func (p parts) tell(time.Time) {}

// counts is that of the customers' limits: all entries count what all sent, as far as they
// have heard of it.
type counts struct {
	entries []*quota.Quota
	limit   *runworks.RoutedCustomer
}

func newCounts(entries int, perSecond float64) *counts {
	c := &counts{limit: &runworks.RoutedCustomer{Name: "server", TokensPerSecond: perSecond}}
	for i := range entries {
		c.entries = append(c.entries, &quota.Quota{Self: runworks.Incarnation(fmt.Sprint(i)), Window: waySpan, Started: wayStart.Add(-time.Hour)})
	}
	return c
}

func (c *counts) send(now time.Time, entry int) bool {
	v := c.entries[entry].Reserve(now, c.limit, 1)
	if v.Wait > 0 {
		return false
	}
	v.Debit.Commit(now)
	return true
}

func (c *counts) tell(now time.Time) {
	for _, from := range c.entries {
		news := from.Updates(now)
		for _, to := range c.entries {
			if to != from {
				to.ApplyUpdates(now, from.Self, news)
			}
		}
	}
}

// pressOn has calls come at random to all entries, so many a second, and gives the most that
// the server got in a span and how much of its limit was used.
func pressOn(w way, entries int, perSecond, calls float64) (most int, used float64) {
	rng := rand.New(rand.NewPCG(7, uint64(entries)))
	var sent []time.Time
	now, told, first := wayStart, wayStart, 0
	for now.Sub(wayStart) < wayLasts {
		now = now.Add(time.Duration(rng.ExpFloat64() / calls * float64(time.Second)))
		if now.Sub(told) >= max(wayBeat, time.Duration(entries)*wayPerPeer) {
			w.tell(now)
			told = now
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
	return most, float64(len(sent)) / (perSecond * wayLasts.Seconds())
}

// TestWays compares ways to share a limit, by the same calls. The parts of this package keep
// it, whatever calls come. A count that all share in heartbeats, as the customers' limits
// have, leaves less of it unused, but is overdrawn where more calls come between two
// heartbeats than the limit allows; with -ways it is played too.
func TestWays(t *testing.T) {
	for _, entries := range []int{5, 28, 100} {
		for _, perSecond := range []float64{1, 2.2, 10} {
			for _, calls := range []float64{2 * perSecond, 10 * float64(entries)} {
				allowed := 1.5*waySpan.Seconds()*perSecond + 5
				most, used := pressOn(newParts(entries, perSecond), entries, perSecond, calls)
				if float64(most) > allowed {
					t.Errorf("parts: %d, %.0f allowed", most, allowed)
				}
				if !*ways {
					continue
				}
				mostCounted, usedCounted := pressOn(newCounts(entries, perSecond), entries, perSecond, calls)
				t.Logf("| %d | %g | %g | %.0f | %d | %.2f | %d | %.2f |", entries, perSecond, calls, allowed, most, used, mostCounted, usedCounted)
			}
		}
	}
}
