package tests

import (
	"syscall"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakTogetherSeeds is the first seed with moments in which several events come at once, and with long streams that
	// can't be resumed.
	soakTogetherSeeds = 1_220_000
	// soakMoments is the number of these moments.
	soakMoments = 3
	// soakLongCallers is the number of callers of such streams.
	soakLongCallers = 8
	// soakMomentLead is the time for which servers have sent no lengths before a moment: longer than their streams last.
	soakMomentLead = 800 * time.Millisecond
	// soakLossMoment and soakLossTime are how long a path closes new connections.
	soakLossMoment = 300 * time.Millisecond
	soakLossTime   = 2200 * time.Millisecond
)

// comeTogether reports whether several events come at once.
func (s *soak) comeTogether() bool { return s.mixesFrom(soakTogetherSeeds) }

// longCallers returns the number of callers of long streams that can't be resumed.
func (s *soak) longCallers() int {
	if s.comeTogether() || s.platformOnly() {
		return soakLongCallers
	}
	return 0
}

// togetherFaults draws the moments. In each, one server's path closes, one crashes behind a cut, one restarts under its
// ID, the path to one closes and goes on closing new connections, one front stops as planned, so that callers take its
// streams up elsewhere, and another one is paused over ends of responses and over the restart.
func (s *soak) togetherFaults() []soakStep {
	var steps []soakStep
	for n := range soakMoments {
		at := s.faultTime*time.Duration(n+1)/(soakMoments+1) + s.about(10*soakCloseSpan)
		servers, fronts := s.shuffledStreamServers(), s.rand.Perm(len(s.fronts))
		for _, server := range servers {
			steps = append(steps, soakStep{at: at - soakMomentLead, name: "a server of llm sends no lengths", do: func() {
				if inc := server.current(); !inc.ended() {
					trySetFaults(inc.process, standin.RoutedFaults{CloseDelimited: true})
				}
			}})
		}
		which := proxyEnd(s.rand.IntN(int(proxyEndsBoth) + 1))
		steps = append(steps, s.endPaths([]*proxy{servers[0].proxy}, "a server of llm", which, at+s.about(soakCloseSpan))...)
		steps = append(steps, s.crashBehindCut(servers[1], at+s.about(soakCloseSpan))...)
		steps = append(steps, s.loseServer(servers[2], at+s.about(soakCloseSpan))...)
		steps = append(steps, s.timed(s.stopOf(s.fronts[fronts[0]]), at+s.about(soakCloseSpan))...)
		steps = append(steps, s.pauseOverRestart(s.fronts[fronts[1]], servers[3], at+s.about(soakCloseSpan))...)
	}
	return steps
}

// about draws a time between -span and span.
func (s *soak) about(span time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(2*span))) - span
}

// shuffledStreamServers returns the servers of streams in random order.
func (s *soak) shuffledStreamServers() []*soakServer {
	var out []*soakServer
	for _, n := range s.rand.Perm(len(s.servers)) {
		if s.servers[n].service == "llm" {
			out = append(out, s.servers[n])
		}
	}
	return out
}

// loseServer has the path to a server close its connections, and new ones until it is over: for a moment, or for longer
// than a front asks a server at the end of a response.
func (s *soak) loseServer(server *soakServer, at time.Duration) []soakStep {
	which := proxyEnd(s.rand.IntN(int(proxyEndsBoth) + 1))
	lasts := []time.Duration{soakLossMoment, soakLossTime}[s.rand.IntN(2)]
	const name = "the way to a server of llm closes old and new connections"
	return []soakStep{{at: at, name: name, do: func() {
		server.proxy.set(proxyEndsNew)
		server.proxy.end(which)
	}}, {at: at + lasts, name: name + " is over", do: func() { server.proxy.set(proxyForwards) }}}
}

// pauseOverRestart pauses a front, restarts a server under its ID once responses have ended, and resumes the front.
func (s *soak) pauseOverRestart(f *soakFront, server *soakServer, at time.Duration) []soakStep {
	ends := time.Duration(s.rand.Int64N(int64(400 * time.Millisecond)))
	return []soakStep{
		{at: at, name: "pause of " + f.name, do: func() { f.process.Load().signalIfAlive(syscall.SIGSTOP) }},
		{at: at + ends, name: "a server of llm restarts under its id", do: func() { s.restartNow(server) }},
		{at: at + ends + 200*time.Millisecond, name: "pause of " + f.name + " is over", do: func() { f.process.Load().signalIfAlive(syscall.SIGCONT) }},
	}
}

// restartNow restarts a server under its ID.
func (s *soak) restartNow(server *soakServer) {
	inc := server.current()
	if inc.ended() || !inc.drainingSince.IsZero() {
		return
	}
	inc.signalIfAlive(syscall.SIGKILL)
	<-inc.done
	s.startIncarnation(server, inc.id)
}

// logOrder logs how many streams were out of order, by kind, and checks that paths have closed connections of streams
// where several events come at once.
func (s *soak) logOrder() {
	kinds := map[orderKind]int{}
	for _, kind := range s.orderCases {
		kinds[kind]++
	}
	cut := 0
	for _, server := range s.servers {
		for _, ids := range server.proxy.endedRequests() {
			for _, id := range ids {
				if c := s.callOf(id); c != nil && c.events > 0 {
					cut++
				}
			}
		}
	}
	s.t.Logf("%d streams out of order: %v; paths closed %d connections of streams", len(s.orderCases), kinds, cut)
	if s.comeTogether() && cut == 0 {
		s.t.Error("no path closed a connection of a stream")
	}
}
