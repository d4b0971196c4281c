package agent

import "time"

const (
	// learnPart is the weight of the newest run in a learned rate.
	learnPart = 0.1
	// leastTime is the share of the expected time that a request must have left to
	// be begun; below it, most such requests would be cut by their limit.
	leastTime = 0.5
)

// estimate learns, for each rank, how long runs take for each token of their
// estimated cost; the zero value knows nothing.
type estimate struct {
	perToken map[int]time.Duration
}

// learn takes a run in. One that was cut counts with the time it had, as it
// would have taken longer.
func (e *estimate) learn(rank int, cost float64, took time.Duration) {
	if e.perToken == nil {
		e.perToken = make(map[int]time.Duration)
	}
	newest := time.Duration(float64(took) / cost)
	known, ok := e.perToken[rank]
	if !ok {
		e.perToken[rank] = newest
		return
	}
	e.perToken[rank] = known + time.Duration(learnPart*float64(newest-known))
}

// fits says whether a request of a cost is worth beginning with the time left;
// without a learned rate it is.
func (e *estimate) fits(rank int, cost float64, left time.Duration) bool {
	expected := time.Duration(float64(e.perToken[rank]) * cost)
	return float64(left) >= leastTime*float64(expected)
}
