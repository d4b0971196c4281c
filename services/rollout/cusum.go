package rollout

import "math"

// kind is a kind of bad answer.
type kind int

const (
	failures kind = iota
	// slowFirst and slowGaps are answers with a late first event, and with long gaps.
	slowFirst
	slowGaps
)

// timings is the number of kinds that are judged by times.
const timings = 2

func (k kind) String() string {
	return [...]string{"failed", "slow at the first event", "slow between events"}[k]
}

func (k kind) limit() float64 { return [...]float64{condemnAt, slowCondemnAt, slowCondemnAt}[k] }

// alternatives are the shares of bad answers of a bad version that are tested against the null.
var alternatives = [...]float64{0.05, 0.15, 0.35, 0.7}

// cusum holds a cumulative sum of log likelihood ratios for each alternative. It starts again from 0
// whenever it is negative, so that a version that turns bad late is found as fast as one that always
// was.
type cusum [len(alternatives)]float64

// add adds bad of n answers, where a good version has at most the share null of bad ones.
func (c *cusum) add(n, bad int, null float64) {
	for i, p := range alternatives {
		if p < 2*null {
			p = min(2*null, 0.5+null/2)
		}
		c[i] = max(0, c[i]+float64(bad)*math.Log(p/null)+float64(n-bad)*math.Log((1-p)/(1-null)))
	}
}

func (c *cusum) value() float64 {
	most := 0.0
	for _, v := range c {
		most = max(most, v)
	}
	return most
}
