package dispatch

import "time"

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
	// have a server that is free of them in time.
	maxBreaks = 0.1
	// minReadingTold is how many tokens of prompts a server has to read for the other
	// entries to be told: fewer are read before they hear it.
	minReadingTold = 4000
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

// forecast is what is expected of a call at a server.
type forecast struct {
	// first is the time to its first event, and pause the longest time that the reading
	// of its prompt keeps the streams of the server without an event; in seconds.
	first, pause float64
}

// slowness is how many times as long as the fastest of its service a server takes
// between events; 1 as long as that is not known.
func (s *service) slowness(one *server) float64 {
	fastest := 0.0
	for _, other := range s.servers {
		if pace := float64(other.steady); pace > 0 && !other.Leaving && (fastest == 0 || pace < fastest) {
			fastest = pace
		}
	}
	if fastest == 0 || one.steady == 0 {
		return 1
	}
	return float64(one.steady) / fastest
}

// forecast reckons what a call brings at a server; zero as long as too little is known.
// A server that takes longer between events takes as much longer to read.
func (s *service) forecast(one *server, ask *Ask) forecast {
	start, perToken, ok := s.readings.line()
	if !ok || ask.PromptTokens == 0 {
		return forecast{}
	}
	slowness := s.slowness(one)
	reading := perToken * float64(ask.PromptTokens) * slowness
	queued := perToken * float64(one.reading+one.othersReading) * slowness
	return forecast{first: start*slowness + queued + reading, pause: float64(one.steady) + reading}
}

// fits says whether a call meets its target at a server and keeps the pause of all
// streams there within what callers allow.
func (s *service) fits(now time.Time, one *server, ask *Ask) bool {
	f := s.forecast(one, ask)
	if s.maxPause > 0 && f.pause > s.maxPause.Seconds() {
		return false
	}
	left := ask.Target.Sub(now).Seconds()
	if left <= 0 {
		return true
	}
	return f.first <= left && (s.breaks(one, ask) <= maxBreaks || !s.canWait(now, ask))
}

// breaks is how many pauses beyond what callers allow a call is expected to meet.
func (s *service) breaks(one *server, ask *Ask) float64 {
	if s.perEvent == 0 {
		return 0
	}
	return one.breaks * float64(ask.ExpectedTokens) / float64(s.perEvent)
}

// canWait says whether a call may let a slot go and still start in time.
func (s *service) canWait(now time.Time, ask *Ask) bool {
	tier := queueRank(ask, false)
	return s.startsIn(tier, s.waitingIn(tier)+1) < ask.Target.Sub(now).Seconds()
}

// delay is the time to a call's first event as a part of the time to its target.
func (s *service) delay(now time.Time, one *server, ask *Ask) float64 {
	left := ask.Target.Sub(now).Seconds()
	if left <= 0 {
		return 0
	}
	return s.forecast(one, ask).first / left
}
