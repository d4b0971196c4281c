package enginemodel

import (
	"cmp"
	"math"
	"time"
)

const (
	// gapWeight is the weight of the newest gap. It averages over some twenty gaps: an engine with
	// eleven streams sends them within a tenth of a second, and its speed may change for half a
	// second.
	gapWeight = 0.05
	// lateWeight is the weight of the newest gap in the fraction of late ones.
	lateWeight = 0.01
	// minGaps is the number of gaps from which their mean is used.
	minGaps = 5
	// The longest gap follows the gaps while prompts are processed: quickly upwards and slowly
	// downwards, so that some nine of ten are shorter. Their maximum would follow single delays of
	// the network.
	longestUp, longestDown = 0.2, 0.02
	// minLongest is the number of such gaps from which the longest one bounds the forecast.
	minLongest = 10
)

// Activity is what an engine did during a gap between events.
type Activity int

// The activities of an engine.
const (
	// Mixed is that a part of the gap may have been used to process prompts.
	Mixed Activity = iota
	// Generating is that no prompt was processed.
	Generating
	// Processing is that prompts were processed during the whole gap, one of at least LongPrompt
	// tokens among them.
	Processing
)

// LongPrompt is the number of tokens from which a prompt needs more steps than an event has: chunks
// have up to 4,096 tokens, and events six. Shorter ones, one after the other, are no measure of the
// longest gap, as the last chunk of each is shorter.
const LongPrompt = 6 * 4096

// Common is what the engines of a service have in common. Its values are the prior of an engine of
// which less is known. Times of prompts are in units of the engine's gap between events, as a slow
// engine needs longer for both.
type Common struct {
	// Known is false while too little was observed for any forecast.
	Known bool
	// Overhead and PerToken are the gaps to the first event that do not depend on the prompts, and
	// those for each unprocessed prompt token.
	Overhead, PerToken float64
	// Gap is the gap in seconds that an engine is taken to have of which nothing was observed or
	// reported, and UsualGap the gap at a slowness of 1; 0 is unknown.
	Gap, UsualGap float64
	// Longest is the longest gap while prompts are processed, in gaps; 0 is unknown.
	Longest float64
}

// Fleet learns what the engines of a service have in common. The zero value is ready to use.
type Fleet struct {
	line    line
	samples int
	longest longest
}

// Common returns what was learned, with the gaps of the given engines.
func (f *Fleet) Common(now time.Time, engines func(yield func(*Model) bool)) Common {
	overhead, perToken, ok := f.line.fit()
	c := Common{Overhead: overhead, PerToken: perToken, Known: ok && f.samples >= minLineSamples, Longest: f.longest.bound()}
	usual, n := 0.0, 0
	var remoteOverhead, remotePerToken, weights float64
	for m := range engines {
		if w := m.remote.weight(now); w > 0 && m.remote.perToken > 0 {
			remoteOverhead += w * m.remote.overhead
			remotePerToken += w * m.remote.perToken
			weights += w
		}
		gap := m.gap(now)
		if gap == 0 {
			continue
		}
		if c.Gap == 0 || gap < c.Gap {
			c.Gap = gap
		}
		if s := m.slowness.current(now); s > 0 {
			usual += gap / s
			n++
		}
	}
	if n > 0 {
		c.UsualGap = usual / float64(n)
	}
	if !c.Known && weights > 0 {
		c.Overhead, c.PerToken, c.Known = remoteOverhead/weights, remotePerToken/weights, true
	}
	c.Known = c.Known && c.Gap > 0
	return c
}

// Model is the model of one incarnation of an engine. The zero value is ready to use.
type Model struct {
	// generating is the mean gap in seconds while no prompt is processed, and any that of all gaps.
	generating, any average
	longest         longest
	// late is the fraction of gaps that are longer than callers allow.
	late float64
	// prompts is the line from unprocessed tokens to the time to the first event, in gaps.
	prompts line
	read    int
	updated time.Time
	// remote is what another entry learned.
	remote   remote
	slowness slowness
}

// AddGaps records n consecutive gaps of one stream with their sum, of which some were longer than
// callers allow. Values that can't be are ignored, as another entry may have sent them.
func (m *Model) AddGaps(now time.Time, f *Fleet, n int, sum time.Duration, activity Activity, late int) {
	if n <= 0 || sum < 0 || late < 0 || late > n || sum/time.Duration(n) > maxTime {
		return
	}
	m.updated = now
	mean := sum.Seconds() / float64(n)
	m.late += (1 - math.Pow(1-lateWeight, float64(n))) * (float64(late)/float64(n) - m.late)
	weight := 1 - math.Pow(1-gapWeight, float64(n))
	m.any.add(mean, weight)
	switch activity {
	case Generating:
		m.slowness.observe(now, mean, m.generating.value)
		m.generating.add(mean, weight)
	case Processing:
		if base := m.gap(now); n == 1 && base > 0 {
			m.longest.add(mean / base)
			f.longest.add(mean / base)
		}
	case Mixed:
	}
}

// AddFirstEvent records the time from the send of a call to its first event, with the prompt tokens
// that the engine had to process for it: the call's own and those sent before.
func (m *Model) AddFirstEvent(now time.Time, f *Fleet, tokens int, after time.Duration) {
	gap := m.gap(now)
	if tokens <= 0 || after <= 0 || after > maxTime || gap == 0 {
		return
	}
	m.updated = now
	m.read++
	m.prompts.add(float64(tokens), after.Seconds()/gap)
	f.line.add(float64(tokens), after.Seconds()/gap)
	f.samples++
}

// SetSlowness records that the engine reported its current processing time as a multiple of the
// usual one.
func (m *Model) SetSlowness(now time.Time, factor float64) { m.slowness.set(now, factor) }

// ReportsSlowness reports whether the engine reported its slowness.
func (m *Model) ReportsSlowness() bool { return m.slowness.factor > 0 }

// Late returns the fraction of gaps that are longer than callers allow.
func (m *Model) Late(now time.Time) float64 {
	if m.any.n < trustedSamples && m.remote.weight(now) > 0 {
		return m.remote.late
	}
	return m.late
}

// gap returns the current mean gap in seconds while no prompt is processed, as observed by this entry
// or, if that is newer or nothing was, by another; 0 if unknown.
func (m *Model) gap(now time.Time) float64 {
	own := m.ownGap(now)
	if m.remote.weight(now) > 0 && (own == 0 || m.remote.at.Sub(m.updated) > staleAfter) {
		return m.remote.gap
	}
	return own
}

// ownGap returns the gap as observed by this entry. Gaps that include some processing are used only
// where there are no others.
func (m *Model) ownGap(now time.Time) float64 {
	switch {
	case m.generating.n >= minGaps:
		return m.slowness.correct(now, m.generating.value)
	case m.any.n >= minGaps:
		return m.any.value
	}
	return 0
}

// Gap returns the mean gap in seconds while no prompt is processed: the observed one, that by the
// reported slowness, or that of the prior; 0 if unknown.
func (m *Model) Gap(now time.Time, c *Common) float64 {
	if gap := m.gap(now); gap > 0 {
		return gap
	}
	if s := m.slowness.current(now); s > 0 && c.UsualGap > 0 {
		return s * c.UsualGap
	}
	return c.Gap
}

// Rates are the values of a model at one moment, in seconds. They are computed once for many calls.
type Rates struct {
	// Gap is Model.Gap.
	Gap float64
	// Overhead is the time to a first event that does not depend on the prompts, and PerToken that for
	// each unprocessed token; both are 0 while too little is known.
	Overhead, PerToken float64
	// Longest is about the longest gap while prompts are processed; 0 is unknown. A chunk of a prompt
	// is processed between two steps, so a gap holds at most the steps of one event with a chunk each.
	// The size of a chunk is not known, so this is what was seen while prompts were processed without
	// a break.
	Longest float64
	// Late is Model.Late.
	Late float64
}

// Rates returns the values of the model.
func (m *Model) Rates(now time.Time, c *Common) Rates {
	r := Rates{Gap: m.Gap(now, c), Late: m.Late(now)}
	if !c.Known {
		return r
	}
	overhead, perToken := c.Overhead, c.PerToken
	if m.remote.perToken > 0 && m.remote.weight(now) > 0 {
		overhead, perToken = m.remote.overhead, m.remote.perToken
	}
	overhead, perToken = m.prompts.fitWithPrior(overhead, perToken)
	r.Overhead, r.PerToken = r.Gap*overhead, r.Gap*perToken
	r.Longest = r.Gap * cmp.Or(m.longest.bound(), c.Longest)
	return r
}

// FirstEvent returns in how many seconds the first event of a call is expected that is sent now,
// with the unprocessed prompt tokens including its own; 0 while too little is known.
func (r *Rates) FirstEvent(tokens int) float64 {
	return r.Overhead + r.PerToken*float64(tokens)
}

// LongestGap returns the longest gap in seconds that is expected between two events of a stream
// while the engine processes the given prompt tokens; 0 while too little is known.
func (r *Rates) LongestGap(tokens int) float64 {
	if r.PerToken == 0 {
		return 0
	}
	gap := r.Gap + r.PerToken*float64(tokens)
	if r.Longest > 0 {
		gap = min(gap, max(r.Longest, r.Gap))
	}
	return gap
}

// longest follows the longest gaps while prompts are processed, in gaps.
type longest struct{ average }

func (l *longest) add(ratio float64) {
	if ratio > l.value {
		l.average.add(ratio, longestUp)
	} else {
		l.average.add(ratio, longestDown)
	}
}

// bound returns the longest gap, or 0 while too few were seen.
func (l *longest) bound() float64 {
	if l.n < minLongest {
		return 0
	}
	return l.value
}
