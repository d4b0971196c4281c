package dispatch

import (
	"slices"
	"time"
)

const (
	// steadyWeight is the weight of the newest event in a server's steady pace: some
	// fifty events tell, which its calls give in a second or two.
	steadyWeight = 0.02
	// readingKept is the part of what was known of the reading of prompts that is kept at
	// each new one: some fifty prompts tell.
	readingKept = 0.98
	// breakWeight is the weight of the newest event in the part of a server's events that
	// come after a longer pause than callers allow: some hundred tell.
	breakWeight = 0.01
	// maxBreaks is how many such pauses a call may be expected to meet where it could
	// have a server that is free of them in time: 0.797 of the calls of the highest rank are
	// on time in place of 0.786 (15 paired plays of days under load).
	maxBreaks = 0.1
	// minUnreadReported is how many tokens of prompts a server has to read for the other
	// entries to be told: fewer are read before they hear it.
	minUnreadReported = 4000
	// minReadings is how many prompts have to be known before the time for one is reckoned.
	minReadings = 10
)

// readings tell how long servers take to the first event of an answer by the tokens of
// the prompt: a line through what was seen, the newest counting most.
type readings struct {
	n, x, y, xx, xy float64
}

// add takes the time to the first event for a prompt.
func (r *readings) add(tokens, seconds float64) {
	r.n = r.n*readingKept + 1
	r.x = r.x*readingKept + tokens
	r.y = r.y*readingKept + seconds
	r.xx = r.xx*readingKept + tokens*tokens
	r.xy = r.xy*readingKept + tokens*seconds
}

// line gives the seconds before the reading and for each token; ok is false as long as
// too little was seen to tell.
func (r *readings) line() (start, perToken float64, ok bool) {
	spread := r.n*r.xx - r.x*r.x
	if r.n < minReadings || spread <= 0 {
		return 0, 0, false
	}
	perToken = max((r.n*r.xy-r.x*r.y)/spread, 0)
	start = max((r.y-perToken*r.x)/r.n, 0)
	return start, perToken, true
}

// outlook is what the forecasts for a service rest on in one moment.
type outlook struct {
	// start and perToken are the seconds to the first event at the fastest server, without
	// the reading and for each token of the prompt; known is false as long as too little
	// was seen.
	start, perToken float64
	known           bool
	// fastest is the lowest steady pace of a server in seconds; 0 is not known.
	fastest float64
	// maxPause is the longest pause in seconds that callers allow; 0 is none.
	maxPause float64
	// perEvent is how many of the tokens that callers expect an event stands for; 0 is not
	// known.
	perEvent float64
}

func (s *service) outlook() *outlook {
	o := &outlook{maxPause: s.maxGap.Seconds(), perEvent: float64(s.tokensPerEvent)}
	o.start, o.perToken, o.known = s.readings.line()
	for _, one := range s.servers {
		if pace := float64(one.steady); pace > 0 && !one.Draining && (o.fastest == 0 || pace < o.fastest) {
			o.fastest = pace
		}
	}
	return o
}

// slowness is how many times as long as the fastest of its service a server takes
// between events; 1 as long as that is not known.
func (o *outlook) slowness(one *server) float64 {
	if o.fastest == 0 || one.steady == 0 {
		return 1
	}
	return float64(one.steady) / o.fastest
}

// firstEvent is in how many seconds a call's first event is expected from a server: what
// is unread there is read before. A server that takes longer between events takes as much
// longer to read; 0 as long as too little is known.
func (o *outlook) firstEvent(one *server, ask *Request) float64 {
	if !o.known || ask.PromptTokens == 0 {
		return 0
	}
	tokens := ask.PromptTokens + one.reading + one.othersReading
	return o.slowness(one) * (o.start + o.perToken*float64(tokens))
}

// pause is for how many seconds the reading of a call's prompt leaves the streams of a
// server without an event.
func (o *outlook) pause(one *server, ask *Request) float64 {
	if !o.known {
		return 0
	}
	return float64(one.steady) + o.slowness(one)*o.perToken*float64(ask.PromptTokens)
}

// breaks is how many pauses beyond what callers allow a call is expected to meet.
func (o *outlook) breaks(one *server, ask *Request) float64 {
	if o.perEvent == 0 {
		return 0
	}
	return one.breaks * float64(ask.ExpectedTokens) / o.perEvent
}

// fits says whether a call can be in time at a server, and leaves all streams there the
// pauses that callers allow. One that can wait also keeps off servers whose streams break
// them.
func (o *outlook) fits(now time.Time, one *server, ask *Request, canWait bool) bool {
	if o.maxPause > 0 && o.pause(one, ask) > o.maxPause {
		return false
	}
	left := ask.Target.Sub(now).Seconds()
	if left <= 0 {
		return true
	}
	return o.firstEvent(one, ask) <= left && (!canWait || o.breaks(one, ask) <= maxBreaks)
}

// delay is the time to a call's first event as a part of the time to its target.
func (o *outlook) delay(now time.Time, one *server, ask *Request) float64 {
	left := ask.Target.Sub(now).Seconds()
	if left <= 0 {
		return 0
	}
	return o.firstEvent(one, ask) / left
}

// fitsAny says whether some server lets a call be in time.
func (s *service) fitsAny(now time.Time, o *outlook, ask *Request, canWait bool) bool {
	return slices.ContainsFunc(s.servers, func(one *server) bool {
		return s.healthy(now, one) && !one.withheld(now) && !slices.Contains(ask.Exclude, one.life) && o.fits(now, one, ask, canWait)
	})
}

// canWait says whether a call may let a slot go and still start in time.
func (s *service) canWait(now time.Time, ask *Request) bool {
	tier := queueRank(ask, false)
	return s.startsIn(now, tier, s.waitingIn(tier)+1) < ask.Target.Sub(now).Seconds()
}
