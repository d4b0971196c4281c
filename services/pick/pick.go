// Package pick chooses which agent gets the first ticket of a request.
package pick

import "github.com/runworks/runworks"

// LeastWork guesses which agent claims first: the one with the least work for
// its slots and speed, by its last report or by what this entry has there,
// whichever is more. All others get tickets too.
type LeastWork struct{}

// Pick implements runworks.Picker.
func (LeastWork) Pick(_ *runworks.Request, candidates []runworks.Candidate) int {
	best := 0
	least := work(&candidates[0])
	for i := range candidates[1:] {
		if w := work(&candidates[i+1]); w < least {
			best, least = i+1, w
		}
	}
	return best
}

// Spread implements runworks.Picker.
func (LeastWork) Spread() bool { return true }

func work(c *runworks.Candidate) float64 {
	n := max(c.Running+c.Waiting, c.Own)
	return float64(n+1) / (c.Speed * float64(max(c.Slots, 1)))
}
