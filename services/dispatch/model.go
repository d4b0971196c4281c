package dispatch

import (
	"slices"
	"time"

	"github.com/runworks/runworks/services/enginemodel"
)

const (
	// steadyWeight is the weight of the newest event in a server's steady pace. It averages
	// over some fifty events, which a server sends within a second or two.
	steadyWeight = 0.02
	// prefillDecay is the weight of the earlier samples of a prefillModel after each new one.
	// The model covers some fifty prompts.
	prefillDecay = 0.98
	// stallWeight is the weight of the newest event in the fraction of a server's events that
	// follow a gap longer than callers allow. It averages over some hundred events.
	stallWeight = 0.01
	// maxStalls is how many such gaps a call may be expected to meet at a server if it can wait
	// for another.
	maxStalls = 0.1
	// minUnreadReported is the number of unread prompt tokens from which a server's are reported
	// to the other entries: fewer are read before the report arrives.
	minUnreadReported = 4000
	// minSpread is the least relative spread of the lengths from which a slope is derived: below it,
	// rounding errors would be.
	minSpread = 1e-6
	// minPrefillSamples is the number of prompts from which the model is used.
	minPrefillSamples = 10
)

// prefillModel estimates the time to the first event of an answer from the prompt's length, by
// linear regression over exponentially weighted samples.
type prefillModel struct {
	n, x, y, xx, xy float64
}

// add adds a sample.
func (r *prefillModel) add(tokens, seconds float64) {
	r.n = r.n*prefillDecay + 1
	r.x = r.x*prefillDecay + tokens
	r.y = r.y*prefillDecay + seconds
	r.xx = r.xx*prefillDecay + tokens*tokens
	r.xy = r.xy*prefillDecay + tokens*seconds
}

// fit returns the seconds that do not depend on the prompt's length, and the seconds for each
// of its tokens; ok is false while there are too few samples.
func (r *prefillModel) fit() (start, perToken float64, ok bool) {
	spread := r.n*r.xx - r.x*r.x
	if r.n < minPrefillSamples || spread <= minSpread*r.n*r.xx {
		return 0, 0, false
	}
	perToken = max((r.n*r.xy-r.x*r.y)/spread, 0)
	start = max((r.y-perToken*r.x)/r.n, 0)
	return start, perToken, true
}

// forecast holds the values from which the calls of a service are forecast at one moment.
type forecast struct {
	// overhead and perToken are the seconds to the first event at the fastest server, without
	// the prompt's reading and for each token of the prompt; known is false while there are
	// too few samples.
	overhead, perToken float64
	known              bool
	// fastestPace is the lowest steady pace of a server in seconds; 0 is unknown.
	fastestPace float64
	// maxGap is the longest gap between events in seconds that callers allow; 0 is no limit.
	maxGap float64
	// tokensPerEvent is the mean number of expected tokens that one event accounts for; 0 is
	// unknown.
	tokensPerEvent float64
	// byEngine is set where the rates of the servers' models are used instead, and common is what
	// those have in common.
	byEngine bool
	common   enginemodel.Common
}

// forecast returns the values of a service, with the models of its servers where those are used.
func (d *Dispatcher) forecast(now time.Time, s *service) *forecast {
	f := s.forecast()
	if d.forecastsByEngine(s) {
		f.byEngine = true
		s.updateRates(now, f)
	}
	return f
}

func (s *service) forecast() *forecast {
	f := &forecast{maxGap: s.maxGap.Seconds(), tokensPerEvent: float64(s.tokensPerEvent)}
	f.overhead, f.perToken, f.known = s.prefill.fit()
	for _, one := range s.servers {
		if pace := float64(one.steadyGap); pace > 0 && !one.Draining && (f.fastestPace == 0 || pace < f.fastestPace) {
			f.fastestPace = pace
		}
	}
	return f
}

// slowdown returns how many times as long as at the service's fastest server the time between
// events is; 1 while that is unknown.
func (f *forecast) slowdown(one *server) float64 {
	if f.fastestPace == 0 || one.steadyGap == 0 {
		return 1
	}
	return float64(one.steadyGap) / f.fastestPace
}

// firstEventDelay returns in how many seconds a call's first event is expected from a server,
// which reads the unread prompts before it. A server is taken to read as much slower as its
// time between events is longer. The result is 0 while too little is known.
func (f *forecast) firstEventDelay(one *server, req *Request) float64 {
	if f.byEngine {
		return f.engineDelay(one, req)
	}
	if !f.known || req.PromptTokens == 0 {
		return 0
	}
	tokens := req.PromptTokens + one.ownUnread + one.peerUnread
	return f.slowdown(one) * (f.overhead + f.perToken*float64(tokens))
}

// prefillGap returns for how many seconds the reading of a call's prompt leaves the streams
// of a server without an event. It is 0 where engineLimits limits that.
func (f *forecast) prefillGap(one *server, req *Request) float64 {
	if f.byEngine {
		return 0
	}
	if !f.known {
		return 0
	}
	return float64(one.steadyGap) + f.slowdown(one)*f.perToken*float64(req.PromptTokens)
}

// stalls returns how many gaps longer than callers allow a call is expected to meet.
func (f *forecast) stalls(one *server, req *Request) float64 {
	if f.tokensPerEvent == 0 {
		return 0
	}
	late := one.lateGaps
	if f.byEngine {
		late = one.rates.Late
	}
	return late * float64(req.ExpectedTokens) / f.tokensPerEvent
}

// meetsTarget reports whether a call can meet its target at a server without exceeding the
// gaps that the streams there allow. A call that can wait also avoids servers whose streams
// exceed them.
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

// latencyScore returns the time to a call's first event as a fraction of the time to its
// target.
func (f *forecast) latencyScore(now time.Time, one *server, req *Request) float64 {
	left := req.Target.Sub(now).Seconds()
	if left <= 0 {
		return 0
	}
	return f.firstEventDelay(one, req) / left
}

// anyMeetsTarget reports whether a call can meet its target at some server.
func (s *service) anyMeetsTarget(now time.Time, f *forecast, req *Request, canWait bool) bool {
	return slices.ContainsFunc(s.servers, func(one *server) bool {
		return s.healthy(now, one) && !one.throttled(now) && req.allows(one) && f.meetsTarget(now, one, req, canWait)
	})
}

// canWait reports whether a call can leave a slot to another and still start in time.
func (s *service) canWait(now time.Time, req *Request) bool {
	tier := queueTier(req, false)
	return s.startDelay(now, tier, s.waitingIn(tier)+1) < req.Target.Sub(now).Seconds()
}
