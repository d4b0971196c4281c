package dispatch

import (
	"math"
	"time"

	"github.com/runworks/runworks/services/enginemodel"
)

// lastResort is how long before the last possible start of a call the forecasts decide no longer,
// several times the interval at which queues are checked: no call is refused by a forecast alone.
const lastResort = 4 * recheckInterval

// gapMargin is the fraction of the longest gap that callers allow that a forecast may reach: forecasts
// err by about a tenth.
const gapMargin = 0.9

// unreadState is since when a server has had unread prompts, or none, as far as is known.
type unreadState struct {
	unread bool
	since  time.Time
}

// trackUnread notes whether the server has unread prompts. It is called after each change of them.
func (s *server) trackUnread(now time.Time) {
	if unread := s.ownUnread+s.peerUnread > 0; unread != s.unread.unread || s.unread.since.IsZero() {
		s.unread = unreadState{unread: unread, since: now}
	}
}

// activity returns what the server did during the last while.
func (s *server) activity(now time.Time, while time.Duration) enginemodel.Activity {
	s.trackUnread(now)
	switch {
	case now.Sub(s.unread.since) < while:
		return enginemodel.Mixed
	case !s.unread.unread:
		return enginemodel.Generating
	}
	for lease := range s.leases {
		if lease.unreadTokens >= enginemodel.LongPrompt && now.Sub(lease.began) >= while {
			return enginemodel.Processing
		}
	}
	return enginemodel.Mixed
}

// recordGaps records n gaps of one stream in the model of the server.
func (s *server) recordGaps(now time.Time, n int, sum time.Duration, late int) {
	if f := s.fleet; f != nil {
		s.model.AddGaps(now, f, n, sum, s.activity(now, sum), late)
	}
}

// forecastsByEngine reports whether calls of the service are placed by the models of its engines:
// where one entry schedules for several, or where engines report how long work takes.
func (d *Dispatcher) forecastsByEngine(s *service) bool {
	return d.ForecastByEngine || s.reportsSlowness
}

// common returns what the engines of the service have in common.
func (s *service) common(now time.Time) enginemodel.Common {
	return s.fleet.Common(now, func(yield func(*enginemodel.Model) bool) {
		for _, one := range s.servers {
			if !one.Draining && !yield(&one.model) {
				return
			}
		}
	})
}

// unreadWith returns the prompt tokens that a server has to read for a call, with those before it.
func (s *server) unreadWith(req *Request) int {
	return req.PromptTokens + s.ownUnread + s.peerUnread
}

// recordSlownessLocked records the slowness that a server reported; 0 is none.
func (d *Dispatcher) recordSlownessLocked(now time.Time, one *server, slowness float64) {
	if slowness == 0 {
		return
	}
	one.model.SetSlowness(now, slowness)
	if s := d.services[one.Service]; s != nil {
		s.reportsSlowness = s.reportsSlowness || one.model.ReportsSlowness()
	}
}

// updateRates computes the values of the models of all servers for the forecast.
func (s *service) updateRates(now time.Time, f *forecast) {
	f.common = s.common(now)
	for _, one := range s.servers {
		one.rates = one.model.Rates(now, &f.common)
	}
}

// engineDelay is firstEventDelay by the model of the server.
func (f *forecast) engineDelay(one *server, req *Request) float64 {
	if req.PromptTokens == 0 {
		return 0
	}
	return one.rates.FirstEvent(one.unreadWith(req))
}

// engineLimits are the limits that a server must keep to get a call, where its model decides.
type engineLimits struct {
	// lifted is set shortly before the last possible start of the call: it goes to any server then.
	lifted bool
	// gap is the longest gap in seconds that the call may cause, and end the seconds within which it
	// must be complete; 0 is no limit.
	gap, end float64
	// events is the number of events of the answer that is allowed for.
	events float64
}

// limitsFor returns the limits for a call. Where no server could keep the longest gap that callers
// allow, or the deadline, those are the limit that come close to the best.
func (s *service) limitsFor(now time.Time, f *forecast, req *Request) engineLimits {
	if !f.byEngine || !f.common.Known || req.lastStart().Sub(now) <= lastResort {
		return engineLimits{lifted: f.byEngine && f.common.Known}
	}
	l := engineLimits{events: lengthMargin * s.expectedEvents(req)}
	bestGap, bestEnd := math.Inf(1), math.Inf(1)
	for _, one := range s.servers {
		if !s.healthy(now, one) || one.throttled(now) || !req.allows(one) {
			continue
		}
		bestGap = min(bestGap, one.rates.LongestGap(req.PromptTokens))
		bestEnd = min(bestEnd, l.events*one.rates.Gap+one.rates.FirstEvent(req.PromptTokens))
	}
	if f.maxGap > 0 {
		l.gap = max(gapMargin*f.maxGap, paceTolerance*bestGap)
	}
	if l.events > 0 {
		l.end = max(req.Deadline.Sub(now).Seconds(), paceTolerance*bestEnd)
	}
	return l
}

// allow reports whether a server is expected to keep the limits.
func (l engineLimits) allow(f *forecast, one *server, req *Request) bool {
	if l.gap > 0 && one.rates.LongestGap(one.unreadWith(req)) > l.gap {
		return false
	}
	return l.end == 0 || l.events*one.rates.Gap+f.engineDelay(one, req) <= l.end
}
