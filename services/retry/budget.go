package retry

import "sync"

// Budget bounds retries: each call deposits a fraction of one, so that retries stay a small part
// of the load however many calls fail. It starts empty. Set the fields before use.
type Budget struct {
	// Ratio is the fraction of a retry that a call deposits.
	Ratio float64
	// Max bounds the balance, in retries.
	Max float64

	mu      sync.Mutex
	balance float64
}

// Deposit records a call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.Ratio, b.Max)
}

// HasRetry reports whether there is a retry in the budget.
func (b *Budget) HasRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance >= 1
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// SetMax changes the bound of the balance.
func (b *Budget) SetMax(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Max = limit
	b.balance = min(b.balance, limit)
}

// Fill sets the balance to its maximum.
func (b *Budget) Fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = b.Max
}

// SetRatio changes the fraction of a retry that a call deposits.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio = ratio
}
