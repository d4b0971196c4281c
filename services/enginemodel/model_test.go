package enginemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The engine of these tests: seconds of a step and of processing a token at the usual speed, and the
// tokens of an event.
const (
	stepSeconds  = 0.00423
	tokenSeconds = 1 / 64200.0
	eventTokens  = 6
)

// engine is an engine that works in steps. Its times are computed, not measured.
type engine struct {
	speed float64
	chunk int
}

// process returns the time that the engine needs for the prompts, and the longest gap of a stream
// that runs there meanwhile, if its events begin with the first step.
func (e engine) process(prompts ...int) (total, longest float64) {
	var steps []float64
	for _, tokens := range prompts {
		length := float64(tokens)
		for ; tokens > 0; tokens -= e.chunk {
			// The cost grows by a tenth for a prompt of 60,000 tokens.
			chunk := float64(min(tokens, e.chunk)) * tokenSeconds * (1 + length/600000)
			steps = append(steps, e.speed*(stepSeconds+chunk))
		}
	}
	for len(steps)%eventTokens != 0 {
		steps = append(steps, e.speed*stepSeconds)
	}
	for gap := range slices.Chunk(steps, eventTokens) {
		sum := 0.0
		for _, step := range gap {
			sum += step
		}
		total += sum
		longest = max(longest, sum)
	}
	return total, longest
}

// firstEvent and longestGap return the forecasts of a model.
func firstEvent(m *Model, now time.Time, c *Common, tokens int) float64 {
	r := m.Rates(now, c)
	return r.FirstEvent(tokens)
}

func longestGap(m *Model, now time.Time, c *Common, tokens int) float64 {
	r := m.Rates(now, c)
	return r.LongestGap(tokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// gap is the gap of a stream while no prompt is processed.
func (e engine) gap() time.Duration { return seconds(e.speed * eventTokens * stepSeconds) }

// one yields a model.
func one(m *Model) func(func(*Model) bool) { return slices.Values([]*Model{m}) }

// observe records prompts of an engine with the given mean length, and gaps between them.
func observe(m *Model, f *Fleet, now time.Time, e engine, prompts int) {
	rng := rand.New(rand.NewPCG(1, uint64(e.chunk)))
	for range prompts {
		tokens := max(1, int(6000*math.Exp(1.2*rng.NormFloat64()-0.72)))
		for range 10 {
			m.AddGaps(now, f, 1, e.gap(), Generating, 0)
		}
		after, longest := e.process(tokens)
		if tokens >= LongPrompt {
			m.AddGaps(now, f, 1, seconds(longest), Processing, 0)
		}
		m.AddFirstEvent(now, f, tokens, seconds(0.002+after)+e.gap())
	}
}

// TestForecasts guards against streams that pause for longer, and first events that come later, than
// forecast, at engines of each speed and size of chunk, whatever is ahead.
func TestForecasts(t *testing.T) {
	for _, speed := range []float64{0.55, 1, 2.8} {
		for _, chunk := range []int{2048, 4096} {
			t.Run(fmt.Sprint(speed, "-", chunk), func(t *testing.T) {
				now := time.Now()
				var m Model
				var f Fleet
				e := engine{speed: speed, chunk: chunk}
				observe(&m, &f, now, e, 1000)
				c := f.Common(now, one(&m))
				for _, prompts := range [][]int{{600}, {6000}, {600, 2000, 6000}, {20000, 600}, {40000}} {
					after, longest := e.process(prompts...)
					after += e.gap().Seconds()
					sum := 0
					for _, tokens := range prompts {
						sum += tokens
					}
					if got := firstEvent(&m, now, &c, sum); math.Abs(got-after) > 0.15*after+0.03*speed {
						t.Errorf("first event after %v: forecast %.3f s, needs %.3f s", prompts, got, after)
					}
					if got := longestGap(&m, now, &c, sum); got < 0.85*longest || got > 1.2*longest+0.08*speed {
						t.Errorf("longest gap with %v: forecast %.3f s, is %.3f s", prompts, got, longest)
					}
				}
			})
		}
	}
}

// TestNoForecastWithoutSamples guards against refusals and waits by a model that knows nothing.
func TestNoForecastWithoutSamples(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var m Model
	var f Fleet
	c := f.Common(now, one(&m))
	is.Equal(firstEvent(&m, now, &c, 50000), 0.0)
	is.Equal(longestGap(&m, now, &c, 50000), 0.0)
	m.AddFirstEvent(now, &f, 1000, time.Second) // without a known gap
	m.AddGaps(now, &f, 1, -time.Second, Generating, 0)
	m.AddGaps(now, &f, 1, time.Second, Generating, 2)
	m.AddGaps(now, &f, 2, time.Hour, Generating, 0)
	m.AddGaps(now, &f, 0, time.Second, Generating, 0)
	is.Equal(m, Model{})
}

// TestUnknownEngineIsAsTheFleet guards against long prompts at an engine of which only its reported
// slowness, or nothing, is known.
func TestUnknownEngineIsAsTheFleet(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var known, reported, unknown Model
	var f Fleet
	e := engine{speed: 1, chunk: 2048}
	known.SetSlowness(now, 1)
	observe(&known, &f, now, e, 300)
	reported.SetSlowness(now, 2.8)
	c := f.Common(now, slices.Values([]*Model{&known, &reported, &unknown}))
	base, slow, same := firstEvent(&known, now, &c, 6000), firstEvent(&reported, now, &c, 6000), firstEvent(&unknown, now, &c, 6000)
	is.True(math.Abs(slow/base-2.8) < 0.3)
	is.True(math.Abs(same/base-1) < 0.1)
	for _, factor := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		reported.SetSlowness(now, factor)
	}
	is.Equal(reported.slowness.factor, 2.8)
}

// TestSpeedChange guards against forecasts of the old speed after an engine became 2.5 times slower:
// within a tenth of a second of its streams they follow, for prompts too.
func TestSpeedChange(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var m Model
	var f Fleet
	e := engine{speed: 1, chunk: 2048}
	observe(&m, &f, now, e, 1000)
	c := f.Common(now, one(&m))
	before := firstEvent(&m, now, &c, 6000)
	e.speed = 2.5
	for range 40 {
		m.AddGaps(now, &f, 1, e.gap(), Generating, 0)
	}
	c = f.Common(now, one(&m))
	is.True(math.Abs(firstEvent(&m, now, &c, 6000)/before-2.5) < 0.4)
	_, longest := e.process(6000)
	is.True(math.Abs(longestGap(&m, now, &c, 6000)/longest-1) < 0.25)
}

// TestSlownessCorrects guards against forecasts that are late by the time that the mean of the gaps
// needs, where the reported slowness predicts the next gap, and against forecasts by a slowness that
// predicts nothing.
func TestSlownessCorrects(t *testing.T) {
	for _, predicts := range []bool{true, false} {
		t.Run(fmt.Sprint(predicts), func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			rng := rand.New(rand.NewPCG(1, 2))
			var m Model
			for range 400 {
				factor := []float64{1, 2.5}[rng.IntN(2)]
				gap := []float64{1, 2.5}[rng.IntN(2)]
				if predicts {
					gap = factor
				}
				m.SetSlowness(now, factor)
				for range 5 {
					m.AddGaps(now, &Fleet{}, 1, seconds(gap*0.025), Generating, 0)
				}
			}
			m.SetSlowness(now, 1)
			got := m.Gap(now, &Common{}) / 0.025
			is.Equal(math.Abs(got-1) < 0.05, predicts)
			m.SetSlowness(now, 2.5)
			corrected := m.Gap(now, &Common{}) / 0.025
			is.Equal(math.Abs(corrected-2.5) < 0.05, predicts)
			is.Equal(corrected == got, !predicts)
			// A report that is too old is no correction.
			is.Equal(m.Gap(now.Add(2*slownessAge), &Common{}), m.generating.value)
		})
	}
}

// TestLateFraction guards against streams that are sent to an engine whose gaps are often late.
func TestLateFraction(t *testing.T) {
	is := is.New(t)
	var m Model
	for range 100 {
		m.AddGaps(time.Now(), &Fleet{}, 10, time.Second, Mixed, 1)
	}
	is.True(math.Abs(m.Late(time.Now())-0.1) < 0.02)
}
