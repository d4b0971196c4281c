package tests

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// soakOldServerSeeds is the first seed with servers of streams that respond in HTTP/1.0, send the events of all streams in
	// common steps and end at once when they are stopped, and with callers that share no code with the fronts.
	soakOldServerSeeds = 1_230_000
	// soakOldServerStep is the time between two steps.
	soakOldServerStep = 50 * time.Millisecond
	// soakForeignCallers is the number of foreign callers that send calls of all kinds.
	soakForeignCallers = 4
)

// hasOldServers reports whether servers respond in HTTP/1.0.
func (s *soak) hasOldServers() bool { return s.mixesFrom(soakOldServerSeeds) }

// hasOldCallers reports whether callers request in HTTP/1.0 and wait for their response. Fronts are not killed then.
func (s *soak) hasOldCallers() bool { return s.hasOldServers() && s.seed/2%2 == 0 }

// oldServerArgs returns the flags of a server that responds in HTTP/1.0: each server of streams does, or some do.
func (s *soak) oldServerArgs(server *soakServer) []string {
	if !s.hasOldServers() || server.service != "llm" {
		return nil
	}
	for n, one := range s.servers {
		if one == server && s.seed%3 != 0 && rand.New(rand.NewPCG(uint64(s.seed), uint64(5000+n))).IntN(2) == 0 {
			return nil
		}
	}
	return []string{"--http10", "--step", soakOldServerStep.String()}
}

// foreignTransport returns a foreign caller; some request in HTTP/1.0.
func (s *soak) foreignTransport(lane int) *foreignCaller {
	return &foreignCaller{old: s.hasOldCallers() && lane%4 == 1}
}

// streamTransport returns the transport of a caller that takes up streams, and what releases it. Half of them are foreign.
func (s *soak) streamTransport(lane int) (transport http.RoundTripper, done func()) {
	if (s.hasOldServers() || s.platformOnly()) && lane%2 == 1 {
		return s.foreignTransport(lane), func() {}
	}
	common := newSoakTransport()
	return common, common.CloseIdleConnections
}

// startForeignCallers starts the foreign callers that send calls of all kinds.
func (s *soak) startForeignCallers() {
	if !s.hasOldServers() && !s.platformOnly() {
		return
	}
	for n := range soakForeignCallers {
		s.startOtherCaller(soakCallers+soakLoadCallers+soakHalfCallers+n, s.foreignTransport(n), func(*soakCall) {})
	}
}

// oldServerFaults draws the times in which servers of streams end and are started again: one alone, or several in a series.
func (s *soak) oldServerFaults() []soakStep {
	var steps []soakStep
	for range 4 + s.rand.IntN(3) {
		at := time.Duration(s.rand.Int64N(int64(s.faultTime)))
		for n, server := range s.shuffledStreamServers()[:1+s.rand.IntN(3)] {
			next := at + time.Duration(n)*(200*time.Millisecond+s.about(200*time.Millisecond))
			steps = append(steps, s.timed(s.endServer(server), next)...)
		}
	}
	return steps
}

// endServer stops a server, which ends at once, or kills it; then one is started under its ID or another one.
func (s *soak) endServer(server *soakServer) soakFault {
	sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[s.rand.IntN(2)]
	same, stays := s.rand.IntN(2) == 0, s.rand.IntN(2) == 0
	var ended *soakIncarnation
	return soakFault{name: fmt.Sprintf("a server of llm ends (%s), starts under its id %t, record stays %t", sig, same, stays), begin: func() {
		if inc := server.current(); !inc.ended() && inc.drainingSince.IsZero() {
			ended = inc
			inc.signalIfAlive(syscall.SIGCONT)
			inc.signalIfAlive(sig)
			<-inc.done
		}
	}, end: func() {
		if ended == nil || server.current() != ended {
			return
		}
		if !stays {
			s.putRecord(server, "")
		}
		if same {
			s.startIncarnation(server, ended.id)
		} else {
			s.startServer(server)
		}
	}}
}
