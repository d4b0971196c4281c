package agent

import "time"

const (
	// smoothing is the weight of the newest run in the moving average.
	smoothing = 0.1
	// minTimeFraction is the fraction of the expected run time that a request must have left to be
	// started. Below it, most requests would run into their time limit.
	minTimeFraction = 0.5
)

// durationEstimate is a moving average, for each rank, of the run time per token of estimated
// cost. The zero value has no samples.
type durationEstimate struct {
	perToken map[int]time.Duration
}

// add records the duration of a run. A run that hit its time limit counts with that time,
// which is a lower bound: it would have taken longer.
func (e *durationEstimate) add(rank int, cost float64, took time.Duration) {
	if e.perToken == nil {
		e.perToken = make(map[int]time.Duration)
	}
	sample := time.Duration(float64(took) / cost)
	average, ok := e.perToken[rank]
	if !ok {
		e.perToken[rank] = sample
		return
	}
	e.perToken[rank] = average + time.Duration(smoothing*float64(sample-average))
}

// fits reports whether a request of the cost can be expected to finish in the time left;
// always true for a rank without samples.
func (e *durationEstimate) fits(rank int, cost float64, left time.Duration) bool {
	expected := time.Duration(float64(e.perToken[rank]) * cost)
	return float64(left) >= minTimeFraction*float64(expected)
}
