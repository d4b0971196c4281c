package tests

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakPlatformSeeds is the first seed that plays only what the description of the platform has, at default settings:
	// servers continue streams where they are asked to, have a new ID at each start and reject calls for another one,
	// and no path closes a connection between two that live.
	soakPlatformSeeds = 1_250_000
	// soakPlatformFronts, soakPlatformApps and soakPlatformEngines are the numbers of processes.
	soakPlatformFronts  = 5
	soakPlatformApps    = 3
	soakPlatformEngines = 9
	// soakRecordStay is how long the record of a server that crashed stays at most.
	soakRecordStay = 3 * time.Second
	// soakHerdAfter is the time after which all fronts are killed while a server is replaced, and soakHerdTime that until they
	// start again.
	soakHerdAfter = 500 * time.Millisecond
	soakHerdTime  = 800 * time.Millisecond
)

// soakPlatformSpeeds are the intervals between events of engines.
var soakPlatformSpeeds = []time.Duration{6 * time.Millisecond, 17 * time.Millisecond, 17 * time.Millisecond}

// serverCrash is how a server crashes.
type serverCrash string

const (
	// crashResets resets its connections, and crashLosesPower leaves them silent for good.
	crashResets     serverCrash = "resets"
	crashLosesPower serverCrash = "loses power"
	// crashCloses closes its connections, which may be between two events.
	crashCloses serverCrash = "closes"
)

// platformOnly reports whether only what the description of the platform has is played.
func (s *soak) platformOnly() bool { return s.seed >= soakPlatformSeeds }

// mixesFrom reports whether a seed is one of those from first on that mix faults of the platform with others.
func (s *soak) mixesFrom(first int64) bool { return s.seed >= first && !s.platformOnly() }

// closesAtCrash reports whether servers that crash may close connections without a reset.
func (s *soak) closesAtCrash() bool { return s.seed/2%2 == 1 }

// hasPeerPaths reports whether fronts reach each other through paths.
func (s *soak) hasPeerPaths() bool { return s.goesSilent() || s.closesPaths() || s.platformOnly() }

func (s *soak) frontCount() int {
	if s.platformOnly() {
		return soakPlatformFronts
	}
	return 3
}

// appServers returns the number of servers of app, which are the first ones.
func (s *soak) appServers() int {
	if s.platformOnly() {
		return soakPlatformApps
	}
	return 2
}

func soakPlatformDelays() []time.Duration {
	out := slices.Repeat([]time.Duration{30 * time.Millisecond}, soakPlatformApps)
	return append(out, slices.Repeat(soakPlatformSpeeds, soakPlatformEngines/len(soakPlatformSpeeds))...)
}

// formOf adds to faults in which responses a server sends neither a length nor chunks: all, each other one or none.
func (s *soak) formOf(server *soakServer, faults standin.RoutedFaults) standin.RoutedFaults {
	faults.CloseDelimitedEach = (int(s.seed) + slices.Index(s.servers, server)) % 3
	return faults
}

// setForm sets the form of the responses of a server that starts.
func (s *soak) setForm(server *soakServer, p *process) {
	if !s.platformOnly() {
		return
	}
	server.proxy.accept()
	if !s.cleared {
		s.setFaults(p, s.formOf(server, standin.RoutedFaults{}))
	}
}

// platformFaults draws the times in which servers handle calls wrongly, crash, or are replaced by others of the other version.
func (s *soak) platformFaults() []soakStep {
	var steps []soakStep
	for range 10 + s.rand.IntN(8) {
		server, at := s.anyServer(), time.Duration(s.rand.Int64N(int64(s.faultTime)))
		switch n := s.rand.IntN(8); {
		case n == 0 && s.closesAtCrash():
			steps = append(steps, s.crashBehindCut(server, at)...)
		case n < 2:
			steps = append(steps, s.crash(server, at)...)
		case n == 2:
			steps = append(steps, s.replace(server, at)...)
		case n == 3:
			herd := s.killAllFronts()
			steps = append(steps, s.replace(server, at)...)
			steps = append(steps, soakStep{at: at + soakHerdAfter, name: herd.name + " beside it", do: herd.begin},
				soakStep{at: at + soakHerdAfter + soakHerdTime, name: herd.name + " beside it is over", do: herd.end})
		default:
			steps = append(steps, s.platformBreak(server, at))
		}
	}
	return steps
}

// platformBreak has a server handle some calls wrongly.
func (s *soak) platformBreak(server *soakServer, at time.Duration) soakStep {
	n := 1 + s.rand.IntN(12)
	all := []standin.RoutedFaults{
		{Reject: n}, {Unsolicited: n, UnsolicitedStreams: n}, {Reset: n}, {Unframed: n}, {Fail: n},
		{BreakAt: 1 + s.rand.IntN(soakOrderEvents), Breaks: n}, {BreakAt: 1 + s.rand.IntN(soakOrderEvents), Breaks: n},
	}
	faults := s.formOf(server, all[s.rand.IntN(len(all))])
	return soakStep{at: at, name: fmt.Sprintf("a server of %s: %+v", server.service, faults), do: func() {
		if inc := server.current(); !inc.ended() {
			trySetFaults(inc.process, faults)
		}
	}}
}

// crash has a server crash, and one of the other version start at its address under a new ID. Its record goes before or
// after that.
func (s *soak) crash(server *soakServer, at time.Duration) []soakStep {
	kinds := []serverCrash{crashResets, crashLosesPower}
	if s.closesAtCrash() {
		kinds = append(kinds, crashCloses)
	}
	kind := kinds[s.rand.IntN(len(kinds))]
	var inc *soakIncarnation
	name := fmt.Sprintf("a server of %s crashes and %s", server.service, kind)
	starts, goes := at+s.about(soakRecordStay/2)+soakRecordStay/2, at+s.about(soakRecordStay/2)+soakRecordStay/2
	return []soakStep{
		{at: at, name: name, do: func() {
			if now := server.current(); !now.ended() {
				inc = now
				server.end(kind)
			}
		}},
		{at: goes, name: name + ", its record goes", do: func() {
			if inc != nil {
				s.put("keyed.servers", inc.id, nil)
			}
		}},
		{at: starts, name: name + ", a new one starts", do: func() { s.startAfter(server, inc) }},
	}
}

// replace has a server drain, without a word if its record just goes, and then end, and one of the other version start at its
// address under a new ID.
func (s *soak) replace(server *soakServer, at time.Duration) []soakStep {
	state := []string{"draining", ""}[s.rand.IntN(2)]
	var inc *soakIncarnation
	name := fmt.Sprintf("a server of %s is replaced, record %q", server.service, state)
	ends := at + soakDrainBound + time.Duration(s.rand.Int64N(int64(time.Second)))
	return []soakStep{
		{at: at, name: name, do: func() {
			if now := server.current(); !now.ended() && now.drainingSince.IsZero() && !s.hasDraining(server.service) {
				inc = now
				inc.drainingSince = time.Now()
				s.putRecord(server, state)
			}
		}},
		{at: ends, name: name + ", it ends", do: func() {
			if inc != nil && !inc.ended() {
				s.putRecord(server, "")
				server.end(crashResets)
			}
		}},
		{at: ends + s.about(250*time.Millisecond) + 250*time.Millisecond, name: name + ", a new one starts", do: func() { s.startAfter(server, inc) }},
	}
}

// startAfter starts a server at the address of one that ended, unless that has happened.
func (s *soak) startAfter(server *soakServer, ended *soakIncarnation) {
	if ended == nil || server.current() != ended || !ended.ended() {
		return
	}
	server.proxy.set(proxyForwards)
	s.startServer(server)
}

// end ends a server's process. New connections are refused then, unless it loses power.
func (s *soakServer) end(kind serverCrash) {
	switch kind {
	case crashResets:
		s.proxy.set(proxyResets)
	case crashLosesPower:
		s.proxy.silence()
		s.proxy.set(proxyBlocksBoth)
	}
	inc := s.current()
	inc.signalIfAlive(syscall.SIGKILL)
	<-inc.done
	if kind != crashLosesPower {
		s.proxy.refuse()
	}
}

// cutFront cuts a front off from the store and from the other fronts.
func (s *soak) cutFront() soakFault {
	f := s.anyFront()
	return s.storeFault(soakFault{name: f.name + " is cut off", begin: func() {
		f.store.set(proxyBlocksBoth)
		f.peers.set(proxyBlocksBoth)
	}, end: func() {
		f.store.set(proxyForwards)
		f.peers.set(proxyForwards)
	}})
}
