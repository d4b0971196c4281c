package forward

import (
	"sync"
	"time"

	"github.com/runworks/runworks/services/retry"
)

// Budgets bounds this entry's retries for each service. Set the exported fields before use.
type Budgets struct {
	// Ratio is the number of retries that each call adds to the budget.
	Ratio float64
	// Slack is how many retries all entries together may make beyond that in a Window.
	Slack float64
	// Started is when this entry started, and Window the span over which retries are counted. The
	// entry gets its share of the slack only after one Window: its previous incarnation may have
	// used it, and each restart would allow it again. Without this, five incarnations of one of two
	// entries made 100 retries where 10 were allowed.
	Started time.Time
	Window  time.Duration

	mu       sync.Mutex
	filled   bool
	entries  int
	services map[string]*retry.Budget
	// rests bound, by service, the retries that ask for the rest of a stream which may be whole.
	rests map[string]*retry.Budget
}

// restShare is the share of the retries that may ask for the rest of a stream which may be whole. If all
// streams are of that form, calls that are known to have failed need the others.
const restShare = 0.5

// maxRests bounds how many such retries may be made at once after a time without any, beside their share of the slack.
const maxRests = 8

// SetEntries sets the number of entries that share the slack, this one included.
func (b *Budgets) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.entries {
		return
	}
	b.entries = n
	for _, rb := range b.services {
		rb.SetMax(b.share())
	}
	for _, rb := range b.rests {
		rb.SetMax(b.maxRests())
	}
}

// Configure changes Ratio and Slack.
func (b *Budgets) Configure(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack = ratio, slack
	for _, rb := range b.services {
		rb.SetRatio(ratio)
		rb.SetMax(b.share())
	}
	for _, rb := range b.rests {
		rb.SetRatio(restShare * ratio)
		rb.SetMax(b.maxRests())
	}
}

// share returns this entry's share of the slack.
func (b *Budgets) share() float64 { return b.Slack / float64(max(b.entries, 1)) }

// maxRests returns the bound of the retries that may ask for rests at once.
func (b *Budgets) maxRests() float64 { return min(maxRests, max(1, restShare*b.share())) }

// RecordCall adds a call's share of a retry to the service's budget.
func (b *Budgets) RecordCall(service string) {
	b.budget(service).Deposit()
	b.restBudget(service).Deposit()
}

// HasRetry reports whether the service's budget has a retry.
func (b *Budgets) HasRetry(service string) bool { return b.budget(service).HasRetry() }

// TakeRetry takes one retry from the service's budget and reports whether there was one.
func (b *Budgets) TakeRetry(service string) bool { return b.budget(service).TryWithdraw() }

// HasRest reports whether a retry may ask for the rest of a stream that may be whole.
func (b *Budgets) HasRest(service string) bool {
	return b.restBudget(service).HasRetry() && b.HasRetry(service)
}

// TakeRest takes such a retry from the service's budget and reports whether there was one.
func (b *Budgets) TakeRest(service string) bool {
	return b.restBudget(service).TryWithdraw() && b.TakeRetry(service)
}

func (b *Budgets) restBudget(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	rb := b.rests[service]
	if rb == nil {
		if b.rests == nil {
			b.rests = make(map[string]*retry.Budget)
		}
		rb = &retry.Budget{Ratio: restShare * b.Ratio, Max: b.maxRests()}
		rb.Fill() // what all retries together may be, the service's budget bounds
		b.rests[service] = rb
	}
	return rb
}

func (b *Budgets) budget(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fillAfterWindow()
	rb := b.services[service]
	if rb == nil {
		if b.services == nil {
			b.services = make(map[string]*retry.Budget)
		}
		rb = &retry.Budget{Ratio: b.Ratio}
		rb.SetMax(b.share())
		if b.filled {
			rb.Fill()
		}
		b.services[service] = rb
	}
	return rb
}

// fillAfterWindow fills the budgets with this entry's share of the slack once it has run for a
// Window.
func (b *Budgets) fillAfterWindow() {
	if b.filled || time.Since(b.Started) < b.Window {
		return
	}
	b.filled = true
	for _, rb := range b.services {
		rb.Fill()
	}
}
