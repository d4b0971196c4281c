package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSharesStayWithinTheLimit adds and removes entries at random. Each reads the list at its own
// times and late, up to the bound, and a removed one keeps running until it reads that. At every
// moment the shares of all must add up to the limit at most.
func TestSharesStayWithinTheLimit(t *testing.T) {
	const (
		settle = 5 * time.Second
		step   = 100 * time.Millisecond
		most   = 4 * time.Second // how late an entry reads a change
	)
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a seed is wanted
	for range 50 {
		live := []string{"a", "b"}
		entries := map[string]*Shares{}
		reads := map[string]time.Time{}
		history := []entryList{{from: begin.Add(-time.Hour), entries: slices.Clone(live)}}
		largest := 0
		for at := begin; at.Before(begin.Add(2 * time.Minute)); at = at.Add(step) {
			if random.IntN(60) == 0 {
				live = change(random, live)
				history = append(history, entryList{from: at, entries: slices.Clone(live)})
			}
			for _, name := range live {
				if entries[name] == nil {
					entries[name] = &Shares{Name: name, MaxLag: settle}
				}
			}
			sum := 0
			for name, s := range entries {
				if !at.Before(reads[name]) {
					lag := time.Duration(random.IntN(2)) * time.Duration(random.Int64N(int64(most-time.Second)))
					s.Observe(at, listAt(history, at.Add(-lag)))
					reads[name] = at.Add(time.Second)
				}
				sum += s.at(at).splitInt(7)
			}
			if sum > 7 {
				t.Fatalf("%d of 7 in use at %s by %v", sum, at.Sub(begin), live)
			}
			largest = max(largest, sum)
			for name, s := range entries {
				if !slices.Contains(live, name) && !s.Ready(at) {
					delete(entries, name) // it has read that it is removed
				}
			}
		}
		if largest < 7 {
			t.Errorf("the whole limit was never used: %d of 7", largest)
		}
	}
}

// change adds or removes an entry.
func change(random *rand.Rand, live []string) []string {
	if len(live) > 1 && random.IntN(2) == 0 {
		i := random.IntN(len(live))
		return slices.Delete(slices.Clone(live), i, i+1)
	}
	out := append(slices.Clone(live), fmt.Sprintf("n%06d", random.IntN(1_000_000)))
	slices.Sort(out)
	return out
}

// listAt returns the list as of a time.
func listAt(history []entryList, at time.Time) []string {
	var out []string
	for _, h := range history {
		if h.from.After(at) {
			break
		}
		out = h.entries
	}
	return out
}

// TestLimits checks how many requests a customer's limits admit.
func TestLimits(t *testing.T) {
	two := share{entries: 2, index: 0}
	tests := []struct {
		name     string
		customer runworks.Customer
		share    share
		want     int
	}{
		{"no limit", runworks.Customer{Name: "c"}, two, 20},
		{"at once", runworks.Customer{Name: "c", Concurrency: 5}, two, 3},
		{"rate", runworks.Customer{Name: "c", RatePerSecond: 8}, two, 4},
		{"no share yet", runworks.Customer{Name: "c", Concurrency: 5}, share{entries: 2, none: true}, 0},
		{"no share and no limit", runworks.Customer{Name: "c"}, share{entries: 2, none: true}, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var l limits
			taken := 0
			for range 20 {
				_, failure := l.acquire(begin, &test.customer, test.share)
				if failure == nil {
					taken++
					continue
				}
				is.Equal(failure.Outcome, runworks.OutcomeNotRun)
				is.True(failure.RetryAfter > 0) // a Retry-After
			}
			is.Equal(taken, test.want)
		})
	}
}

// TestReleaseTwice checks that a request that is released twice counts once.
func TestReleaseTwice(t *testing.T) {
	is := is.New(t)
	var l limits
	customer := &runworks.Customer{Name: "c", Concurrency: 1}
	alone := share{entries: 1}
	release, failure := l.acquire(begin, customer, alone)
	is.True(failure == nil)
	_, failure = l.acquire(begin, customer, alone)
	is.True(failure != nil)
	release()
	release()
	_, failure = l.acquire(begin, customer, alone)
	is.True(failure == nil)
	_, failure = l.acquire(begin, customer, alone)
	is.True(failure != nil)
}
