package enginemodel

import (
	"math"
	"time"
)

const (
	// slownessAge is how long a reported slowness is used: it changes many times per second.
	slownessAge = 250 * time.Millisecond
	// minPairs is the number of gaps with a reported slowness from which it may correct forecasts,
	// and errorWeight the weight of the newest pair in the errors.
	minPairs    = 30
	errorWeight = 0.03
	// minImprovement is the fraction of the error without slowness that the error with it must stay
	// below: the two differ by some hundredths where slowness predicts nothing.
	minImprovement = 0.9
	// minFactor and maxFactor bound a plausible slowness.
	minFactor, maxFactor = 0.01, 100
)

// slowness is the reported slowness of an engine, and how well it predicts its gaps.
type slowness struct {
	factor float64
	at     time.Time
	// scaled is the mean of the gaps divided by the slowness at their time. withError and
	// withoutError are the mean errors of forecasts by it and by the mean gap.
	scaled                  average
	withError, withoutError average
}

// set sets the reported slowness.
func (s *slowness) set(now time.Time, factor float64) {
	if math.IsNaN(factor) || factor < minFactor || factor > maxFactor {
		return
	}
	s.factor, s.at = factor, now
}

// current returns the reported slowness, or 0 if there is no recent one.
func (s *slowness) current(now time.Time) float64 {
	if s.factor == 0 || now.Sub(s.at) > slownessAge {
		return 0
	}
	return s.factor
}

// observe records a gap, before which the mean gap was mean.
func (s *slowness) observe(now time.Time, gap, mean float64) {
	factor := s.current(now)
	if factor == 0 {
		return
	}
	if s.scaled.n > 0 {
		s.withError.add(math.Abs(gap-s.scaled.value*factor), errorWeight)
		s.withoutError.add(math.Abs(gap-mean), errorWeight)
	}
	s.scaled.add(gap/factor, gapWeight)
}

// correct returns the current gap where the mean is given: by the reported slowness if that proved
// to be better.
func (s *slowness) correct(now time.Time, mean float64) float64 {
	factor := s.current(now)
	if factor == 0 || s.withError.n < minPairs || s.withError.value > minImprovement*s.withoutError.value {
		return mean
	}
	return factor * s.scaled.value
}
