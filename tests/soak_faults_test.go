package tests

import (
	"fmt"
	"sort"
	"syscall"
	"time"

	"github.com/runworks/runworks/standin"
)

// soakStep is something done at a time from the schedule's begin.
type soakStep struct {
	at   time.Duration
	name string
	do   func()
}

// soakFault is a fault with its begin and its end.
type soakFault struct {
	name       string
	begin, end func()
	// lasts is how long it lasts; zero draws it.
	lasts time.Duration
}

// schedule draws the faults: they come in series and overlap.
func (s *soak) schedule() []soakStep {
	kinds := []func() soakFault{s.stopFront, s.reload, s.changeDocument, s.drainServer}
	switch {
	case s.planned:
	case s.namesLimits(), s.saysWords():
		kinds = append(kinds, s.besideLimits()...)
	default:
		kinds = append(kinds, s.killFront, s.pauseFront, s.cutStore, s.cutServer, s.killServer, s.pauseServer, s.breakServer, s.breakStore, s.pauseStore, s.killAllFronts)
	}
	var steps []soakStep
	for range 6 + s.rand.IntN(10) {
		fault := kinds[s.rand.IntN(len(kinds))]()
		at := time.Duration(s.rand.Int64N(int64(*soakTime)))
		lasts := 100*time.Millisecond + time.Duration(s.rand.Int64N(int64(2500*time.Millisecond)))
		if fault.lasts > 0 {
			lasts = fault.lasts
		}
		steps = append(steps, soakStep{at: at, name: fault.name, do: fault.begin})
		if fault.end != nil {
			steps = append(steps, soakStep{at: at + lasts, name: fault.name + " is over", do: fault.end})
		}
	}
	if s.tellsStarts() {
		steps = append(steps, s.recordFaults()...)
	}
	if s.namesLimits() {
		steps = append(steps, s.limitFaults()...)
	}
	if s.saysWords() {
		steps = append(steps, s.wordFaults()...)
	}
	if s.storeReturns() {
		steps = append(steps, s.returnFaults()...)
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	return steps
}

func (s *soak) anyFront() *soakFront   { return s.fronts[s.rand.IntN(len(s.fronts))] }
func (s *soak) anyServer() *soakServer { return s.servers[s.rand.IntN(len(s.servers))] }

// stopFront stops a front as planned; it is started again once it has ended.
func (s *soak) stopFront() soakFault {
	f := s.anyFront()
	return soakFault{name: "planned stop of " + f.name, begin: func() {
		if f.process.Load().ended() || f.stopping {
			return
		}
		f.stopping = true
		f.process.Load().signalIfAlive(syscall.SIGTERM)
	}, end: func() { s.restart(f) }}
}

func (s *soak) reload() soakFault {
	f := s.anyFront()
	return soakFault{name: "reload of " + f.name, begin: func() { f.process.Load().signalIfAlive(syscall.SIGHUP) }}
}

func (s *soak) changeDocument() soakFault {
	return soakFault{name: "new document", begin: s.publish}
}

// drainServer lets a server say that it leaves; a new life follows at its address
// after its end.
func (s *soak) drainServer() soakFault {
	server := s.anyServer()
	return soakFault{name: "a server of " + server.service + " leaves", lasts: soakLeaves + 100*time.Millisecond, begin: func() {
		life := server.life()
		if life.ended() || !life.left.IsZero() || life.speaks || s.leaving(server.service) {
			return
		}
		s.list(server, "draining")
		life.left = time.Now()
	}, end: func() {
		life := server.life()
		if life.ranThen < 0 && !life.left.IsZero() && time.Since(life.left) > soakLeaves {
			life.ranThen = len(ranLines(life.outputText()))
		}
	}}
}

// leaving says whether a server of the service leaves already: one is to stay.
func (s *soak) leaving(service string) bool {
	for _, one := range s.servers {
		if one.service == service && (!one.life().left.IsZero() || one.life().leaves) {
			return true
		}
	}
	return false
}

func (s *soak) killFront() soakFault {
	f := s.anyFront()
	return soakFault{name: "kill of " + f.name, begin: func() {
		f.stopping = true
		f.process.Load().signalIfAlive(syscall.SIGKILL)
		s.noteLost()
	}, end: func() { s.restart(f) }}
}

func (s *soak) pauseFront() soakFault {
	f := s.anyFront()
	return soakFault{
		name:  "pause of " + f.name,
		begin: func() { f.process.Load().signalIfAlive(syscall.SIGSTOP) },
		end:   func() { f.process.Load().signalIfAlive(syscall.SIGCONT) },
	}
}

// cutting draws what a proxy does, and does it.
func (s *soak) cutting(what string, p *proxy) soakFault {
	mode := proxyMode(1 + s.rand.IntN(int(proxyIsSilent)))
	names := []string{"", "delayed", "reset", "cut for requests", "cut for answers", "silent"}
	return soakFault{name: "the way to " + what + " is " + names[mode], begin: func() { p.set(mode) }, end: func() { p.set(proxyPasses) }}
}

func (s *soak) cutStore() soakFault {
	f := s.anyFront()
	return s.storeFault(s.cutting("the store from "+f.name, f.store))
}

func (s *soak) cutServer() soakFault {
	server := s.anyServer()
	return s.cutting("a server of "+server.service, server.proxy)
}

// killServer kills a server; another life follows at the same address, while the
// record of the old one may still stand.
func (s *soak) killServer() soakFault {
	server := s.anyServer()
	stale := s.rand.IntN(2) == 0
	return soakFault{name: fmt.Sprintf("kill of a server of %s, record stays %t", server.service, stale), begin: func() {
		server.life().signalIfAlive(syscall.SIGKILL)
	}, end: func() {
		life := server.life()
		if !life.ended() {
			return
		}
		if !stale {
			s.list(server, "")
		}
		s.startServer(server)
	}}
}

func (s *soak) pauseServer() soakFault {
	server := s.anyServer()
	return soakFault{
		name:  "pause of a server of " + server.service,
		begin: func() { server.life().signalIfAlive(syscall.SIGSTOP) },
		end:   func() { server.life().signalIfAlive(syscall.SIGCONT) },
	}
}

// breakServer makes a server misbehave towards some calls.
func (s *soak) breakServer() soakFault {
	server := s.anyServer()
	n := 1 + s.rand.IntN(5)
	all := []standin.RoutedFaults{{Reject: n}, {Unsolicited: n}, {Reset: n}, {Unframed: n}, {Fail: n}, {BreakAt: 2 + s.rand.IntN(6), Breaks: n}}
	faults := all[s.rand.IntN(len(all))]
	return soakFault{name: fmt.Sprintf("a server of %s: %+v", server.service, faults), begin: func() {
		life := server.life()
		if !life.ended() {
			trySetFaults(life.process, faults)
		}
	}}
}

// breakStore makes the store misbehave.
func (s *soak) breakStore() soakFault {
	all := []standin.StoreFaults{{Down: true}, {Unresponsive: true}, {LoseResponses: 2}, {SkipWakeups: 3}}
	faults := all[s.rand.IntN(len(all))]
	return s.storeFault(soakFault{
		name:  fmt.Sprintf("the store: %+v", faults),
		begin: func() { trySetFaults(s.store, faults) },
		end:   func() { trySetFaults(s.store, standin.StoreFaults{}) },
	})
}

func (s *soak) pauseStore() soakFault {
	return s.storeFault(soakFault{
		name:  "pause of the store",
		begin: func() { s.store.signal(syscall.SIGSTOP) },
		end:   func() { s.store.signal(syscall.SIGCONT) },
	})
}
