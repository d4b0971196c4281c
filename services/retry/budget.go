package retry

import "sync"

// Budget bounds retries: each call earns a part of one, so that retries stay a
// small share of the load however many calls fail. It starts with nothing saved. Set the
// fields before use.
type Budget struct {
	// Ratio is the part of a retry that a call earns.
	Ratio float64
	// Max bounds the retries that are saved up.
	Max float64

	mu     sync.Mutex
	tokens float64
}

// Deposit notes a call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Ratio, b.Max)
}

// TryWithdraw takes one retry from the budget, if there is one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetMax changes how many retries are saved up.
func (b *Budget) SetMax(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Max = most
	b.tokens = min(b.tokens, most)
}

// Fill saves up all that may be.
func (b *Budget) Fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = b.Max
}

// SetRatio changes the part of a retry that a call earns.
func (b *Budget) SetRatio(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio = part
}
