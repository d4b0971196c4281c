package enginemodel

const (
	// lineDecay is the weight of the earlier samples of a line after each new one, so that a line
	// covers some fifty prompts.
	lineDecay = 0.98
	// minLineSamples is the number of prompts from which the line of a fleet is used.
	minLineSamples = 10
	// priorSamples is the number of samples for which the line of the fleet counts in that of one
	// engine: fewer prompts at one engine say little, as their lengths are long-tailed.
	priorSamples = 10
	// priorTokens is the prompt length at which the prior is anchored besides 0. It is a usual
	// length of long prompts; the anchors only have to be apart.
	priorTokens = 8000
)

// line is a linear regression over exponentially weighted samples. The cost of a prompt grows
// slightly faster than linearly with its length, which is below the error of a forecast at the
// lengths that occur.
type line struct {
	n, x, y, xx, xy float64
}

// add adds a sample.
func (l *line) add(x, y float64) {
	l.n = l.n*lineDecay + 1
	l.x = l.x*lineDecay + x
	l.y = l.y*lineDecay + y
	l.xx = l.xx*lineDecay + x*x
	l.xy = l.xy*lineDecay + x*y
}

// with returns the line with n more samples at a point.
func (l line) with(n, x, y float64) line {
	return line{n: l.n + n, x: l.x + n*x, y: l.y + n*y, xx: l.xx + n*x*x, xy: l.xy + n*x*y}
}

// minSpread is the least relative spread of the points from which a slope is derived: below it, rounding
// errors would be.
const minSpread = 1e-6

// fit returns the value at 0 and the slope; neither is negative. ok is false if the samples
// determine no line.
func (l line) fit() (start, slope float64, ok bool) {
	spread := l.n*l.xx - l.x*l.x
	if l.n == 0 || spread <= minSpread*l.n*l.xx {
		return 0, 0, false
	}
	slope = max((l.n*l.xy-l.x*l.y)/spread, 0)
	return max((l.y-slope*l.x)/l.n, 0), slope, true
}

// fitWithPrior returns the line with a prior, which counts as priorSamples at each of its anchors.
func (l line) fitWithPrior(start, slope float64) (float64, float64) {
	if s, p, ok := l.with(priorSamples, 0, start).with(priorSamples, priorTokens, start+slope*priorTokens).fit(); ok {
		return s, p
	}
	return start, slope
}

// average is an exponentially weighted moving average; it takes over the first value.
type average struct {
	value float64
	n     int
}

// add adds a value with a weight from 0 to 1.
func (a *average) add(value, weight float64) {
	if a.n == 0 {
		a.value = value
	}
	a.value += weight * (value - a.value)
	a.n++
}
