package dispatch

import (
	"slices"
	"time"
)

const (
	// steadyWeight is the weight of the newest event in a server's steady pace: some
	// fifty events tell, which its calls give in a second or two.
	steadyWeight = 0.02
	// prefillDecay is the part of what was known of the reading of prompts that is kept at
	// each new one: some fifty prompts tell.
	prefillDecay = 0.98
	// stallWeight is the weight of the newest event in the part of a server's events that
	// come after a longer pause than callers allow: some hundred tell.
	stallWeight = 0.01
	// maxStalls is how many such pauses a call may be expected to meet where it could
	// have a server that is free of them in time: 0.797 of the calls of the highest rank are
	// on time in place of 0.786 (15 paired plays of days under load).
	maxStalls = 0.1
	// minUnreadReported is how many tokens of prompts a server has to read for the other
	// entries to be told: fewer are read before they hear it.
	minUnreadReported = 4000
	// minPrefillSamples is how many prompts have to be known before the time for one is reckoned.
	minPrefillSamples = 10
)

// prefillModel tell how long servers take to the first event of an answer by the tokens of
// the prompt: a line through what was seen, the newest counting most.
type prefillModel struct {
	n, x, y, xx, xy float64
}

// add takes the time to the first event for a prompt.
func (r *prefillModel) add(tokens, seconds float64) {
	r.n = r.n*prefillDecay + 1
	r.x = r.x*prefillDecay + tokens
	r.y = r.y*prefillDecay + seconds
	r.xx = r.xx*prefillDecay + tokens*tokens
	r.xy = r.xy*prefillDecay + tokens*seconds
}

// fit gives the seconds before the reading and for each token; ok is false as long as
// too little was seen to tell.
func (r *prefillModel) fit() (start, perToken float64, ok bool) {
	spread := r.n*r.xx - r.x*r.x
	if r.n < minPrefillSamples || spread <= 0 {
		return 0, 0, false
	}
	perToken = max((r.n*r.xy-r.x*r.y)/spread, 0)
	start = max((r.y-perToken*r.x)/r.n, 0)
	return start, perToken, true
}

// forecast is what the forecasts for a service rest on in one moment.
type forecast struct {
	// overhead and perToken are the seconds to the first event at the fastest server, without
	// the reading and for each token of the prompt; known is false as long as too little
	// was seen.
	overhead, perToken float64
	known              bool
	// fastestPace is the lowest steady pace of a server in seconds; 0 is not known.
	fastestPace float64
	// maxGap is the longest pause in seconds that callers allow; 0 is none.
	maxGap float64
	// tokensPerEvent is how many of the tokens that callers expect an event stands for; 0 is not
	// known.
	tokensPerEvent float64
}

func (s *service) forecast() *forecast {
	f := &forecast{maxGap: s.maxGap.Seconds(), tokensPerEvent: float64(s.tokensPerEvent)}
	f.overhead, f.perToken, f.known = s.prefill.fit()
	for _, one := range s.servers {
		if pace := float64(one.steady); pace > 0 && !one.Draining && (f.fastestPace == 0 || pace < f.fastestPace) {
			f.fastestPace = pace
		}
	}
	return f
}

// slowdown is how many times as long as the fastest of its service a server takes
// between events; 1 as long as that is not known.
func (f *forecast) slowdown(one *server) float64 {
	if f.fastestPace == 0 || one.steady == 0 {
		return 1
	}
	return float64(one.steady) / f.fastestPace
}

// firstEventDelay is in how many seconds a call's first event is expected from a server: what
// is unread there is read before. A server that takes longer between events takes as much
// longer to read; 0 as long as too little is known.
func (f *forecast) firstEventDelay(one *server, req *Request) float64 {
	if !f.known || req.PromptTokens == 0 {
		return 0
	}
	tokens := req.PromptTokens + one.reading + one.othersReading
	return f.slowdown(one) * (f.overhead + f.perToken*float64(tokens))
}

// prefillGap is for how many seconds the reading of a call's prompt leaves the streams of a
// server without an event.
func (f *forecast) prefillGap(one *server, req *Request) float64 {
	if !f.known {
		return 0
	}
	return float64(one.steady) + f.slowdown(one)*f.perToken*float64(req.PromptTokens)
}

// stalls is how many pauses beyond what callers allow a call is expected to meet.
func (f *forecast) stalls(one *server, req *Request) float64 {
	if f.tokensPerEvent == 0 {
		return 0
	}
	return one.breaks * float64(req.ExpectedTokens) / f.tokensPerEvent
}

// meetsTarget says whether a call can be in time at a server, and leaves all streams there the
// pauses that callers allow. One that can wait also keeps off servers whose streams break
// them.
func (f *forecast) meetsTarget(now time.Time, one *server, req *Request, canWait bool) bool {
	if f.maxGap > 0 && f.prefillGap(one, req) > f.maxGap {
		return false
	}
	left := req.Target.Sub(now).Seconds()
	if left <= 0 {
		return true
	}
	return f.firstEventDelay(one, req) <= left && (!canWait || f.stalls(one, req) <= maxStalls)
}

// latencyScore is the time to a call's first event as a part of the time to its target.
func (f *forecast) latencyScore(now time.Time, one *server, req *Request) float64 {
	left := req.Target.Sub(now).Seconds()
	if left <= 0 {
		return 0
	}
	return f.firstEventDelay(one, req) / left
}

// anyMeetsTarget says whether some server lets a call be in time.
func (s *service) anyMeetsTarget(now time.Time, f *forecast, req *Request, canWait bool) bool {
	return slices.ContainsFunc(s.servers, func(one *server) bool {
		return s.healthy(now, one) && !one.withheld(now) && !slices.Contains(req.Exclude, one.life) && f.meetsTarget(now, one, req, canWait)
	})
}

// canWait says whether a call may let a slot go and still start in time.
func (s *service) canWait(now time.Time, req *Request) bool {
	tier := queueTier(req, false)
	return s.startDelay(now, tier, s.waitingIn(tier)+1) < req.Target.Sub(now).Seconds()
}
