// Package pick chooses which agent gets the first reservation of a request.
package pick

import "github.com/runworks/runworks"

// LeastWork guesses which agent claims first: the fastest one that seems to have a free slot, and
// without one the agent with the least work for its slots and speed. All others get reservations
// too.
type LeastWork struct{}

// Pick implements runworks.Picker.
func (LeastWork) Pick(_ *runworks.Request, candidates []runworks.Candidate) int {
	best := 0
	for i := range candidates[1:] {
		if better(&candidates[i+1], &candidates[best]) {
			best = i + 1
		}
	}
	return best
}

// better reports whether a is the better guess than b.
func better(a, b *runworks.Candidate) bool {
	freeA, freeB := a.HasFreeSlot(), b.HasFreeSlot()
	switch {
	case freeA != freeB:
		return freeA
	case freeA && a.Speed != b.Speed:
		return a.Speed > b.Speed
	}
	return work(a) < work(b)
}

// Spread implements runworks.Picker.
func (LeastWork) Spread() bool { return true }

func work(c *runworks.Candidate) float64 {
	n := max(c.Running+c.Waiting, c.OwnLoad)
	return float64(n+1) / (c.Speed * float64(max(c.Slots, 1)))
}
