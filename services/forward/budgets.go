package forward

import (
	"sync"
	"time"

	"github.com/runworks/runworks/services/retry"
)

// Budgets bound, for each service, how often this entry sends calls once more;
// set the exported fields before use.
type Budgets struct {
	// Ratio is the part of a retry that each call earns.
	Ratio float64
	// Slack is how many retries all entries together may make beyond that in a Window.
	Slack float64
	// Started is when this entry began, and Window the span over which retries are
	// counted. An entry saves up none of the slack until it has lived through one: its
	// last life may have spent it, and each restart would let it be spent once more (five
	// lives of one of two entries spent 100 retries of 10, in a test).
	Started time.Time
	Window  time.Duration

	mu       sync.Mutex
	opened   bool
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
		one.SetMax(b.part())
	}
}

// Configure changes the part of a retry that calls earn, and the slack.
func (b *Budgets) Configure(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
	for _, one := range b.services {
		one.SetRatio(ratio)
		one.SetMax(b.part())
	}
}

// part is this entry's part of the slack.
func (b *Budgets) part() float64 { return b.Slack / float64(max(b.entries, 1)) }

// RecordCall notes a call for a service.
func (b *Budgets) RecordCall(service string) { b.of(service).Deposit() }

// TakeRetry takes one retry at a service, if there is one left.
func (b *Budgets) TakeRetry(service string) bool { return b.of(service).TryWithdraw() }

func (b *Budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	one := b.services[service]
	if one == nil {
		if b.services == nil {
			b.services = make(map[string]*retry.Budget)
		}
		one = &retry.Budget{Ratio: b.Ratio}
		one.SetMax(b.part())
		if b.opened {
			one.Fill()
		}
		b.services[service] = one
	}
	return one
}

// open saves up this entry's part of the slack once it has lived through a window.
func (b *Budgets) open() {
	if b.opened || time.Since(b.Started) < b.Window {
		return
	}
	b.opened = true
	for _, one := range b.services {
		one.Fill()
	}
}
