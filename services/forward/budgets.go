package forward

import (
	"sync"

	"github.com/runworks/runworks/services/retry"
)

// Budgets bound, for each service, how often this entry sends calls once more;
// set the exported fields before use.
type Budgets struct {
	// Ratio is the part of a retry that each call earns.
	Ratio float64
	// Slack is how many retries all entries together may make beyond that.
	Slack float64

	mu       sync.Mutex
	entries  int
	services map[string]*retry.Budget
}

// SetEntries tells how many entries share the slack, this one included.
func (b *Budgets) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.entries {
		return
	}
	b.entries = n
	for _, one := range b.services {
		one.Limit(b.part())
	}
}

// SetRates changes the part of a retry that calls earn, and the slack.
func (b *Budgets) SetRates(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
	for _, one := range b.services {
		one.SetEarned(ratio)
		one.Limit(b.part())
	}
}

// part is this entry's part of the slack.
func (b *Budgets) part() float64 { return b.Slack / float64(max(b.entries, 1)) }

// Earn notes a call for a service.
func (b *Budgets) Earn(service string) { b.of(service).Earn() }

// Spend takes one retry at a service, if there is one left.
func (b *Budgets) Spend(service string) bool { return b.of(service).Spend() }

func (b *Budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.services[service]
	if one == nil {
		if b.services == nil {
			b.services = make(map[string]*retry.Budget)
		}
		one = &retry.Budget{Earned: b.Ratio}
		one.Limit(b.part())
		b.services[service] = one
	}
	return one
}
