package tests

import (
	"fmt"
	"slices"
	"syscall"

	"github.com/runworks/runworks/standin"
)

// momentEvent is something that happens at a point of a stream.
type momentEvent struct {
	name string
	// act has it happen, and returns what ends its effect, if that lasts, and why it could not happen, if so.
	act func(p *momentSite, m *moment) (end func(), reason string)
	// lasts is set if it has an effect that ends, writes if it needs the store, takesNone if it keeps the store from taking
	// records, resumable if only the caller of a resumable stream does it, and closes if it ends streams by closes of living
	// servers or paths.
	lasts, writes, takesNone, resumable, closes bool
	// freezes is set if it stops the process for as long as it lasts, and starves if it does so most of the time.
	freezes, starves bool
	// ends is the process that it ends for good; with endsLate it does at the end of its effect.
	ends     momentProcess
	endsLate bool
	// at is the process that has to run.
	at momentProcess
	// spare are the arguments of a server that it needs; nil if it needs none.
	spare []string
	// version is that of this server; empty for v2.
	version string
	// routes is set if it moves the routes.
	routes bool
	// untold is what nothing tells where responses are completed at a close, so that streams may look complete; empty if there is nothing.
	untold string
	// odd is set if it sends bytes that are none of the response.
	odd bool
	// untoldInside is what nothing tells inside an event of a response that only its connection ends.
	untoldInside string
}

// movesRoute reports whether it moves the routes of streams.
func (e momentEvent) movesRoute() bool { return e.routes }

// momentProcess is a process seen from a stream.
type momentProcess string

const (
	momentFront  momentProcess = "front of the stream"
	momentOther  momentProcess = "other front"
	momentServed momentProcess = "server"
	momentStore  momentProcess = "store"
)

const momentStoreFrozen = "the store is frozen"

// momentEvents returns all events.
func momentEvents() []momentEvent {
	return slices.Concat(momentCallerEvents(), momentFrontEvents(), momentServerEvents(), momentReleaseEvents(), momentPathEvents(), momentStorePaths(), momentStoreEvents())
}

func momentCallerEvents() []momentEvent {
	return []momentEvent{
		{name: "the caller leaves and takes up at the other front", resumable: true, act: func(_ *momentSite, m *moment) (func(), string) {
			return nil, reasonUnless(m.stream.leave(), "no attempt runs")
		}},
		{name: "the caller takes up at the other front while the first attempt runs", resumable: true, act: func(_ *momentSite, m *moment) (func(), string) {
			return nil, reasonUnless(m.stream.fork(frontNumber(m.other)), "no attempt runs")
		}},
		{name: "the caller takes up twice at once", resumable: true, act: func(_ *momentSite, m *moment) (func(), string) {
			forked := m.stream.fork(frontNumber(m.front))
			return nil, reasonUnless(forked && m.stream.leave(), "no attempt runs")
		}},
	}
}

func reasonUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

// frontNumber returns the number of a front, from 0.
func frontNumber(name string) int {
	var n int
	_, _ = fmt.Sscanf(name, "front-%d", &n)
	return n - 1
}

func momentFrontEvents() []momentEvent {
	var out []momentEvent
	for _, at := range []momentProcess{momentFront, momentOther} {
		front := func(p *momentSite, m *moment) *process { return p.fronts[m.nameOf(at)] }
		out = append(out,
			momentEvent{name: fmt.Sprintf("the %s is killed", at), at: at, ends: at, act: func(p *momentSite, m *moment) (func(), string) {
				return nil, p.end(front(p, m), syscall.SIGKILL)
			}},
			momentEvent{name: fmt.Sprintf("the %s is killed and started again", at), at: at, act: func(p *momentSite, m *moment) (func(), string) {
				return nil, p.restartFront(m.nameOf(at))
			}},
			momentEvent{name: fmt.Sprintf("the %s stops at SIGTERM", at), at: at, act: func(p *momentSite, m *moment) (func(), string) {
				return nil, p.end(front(p, m), syscall.SIGTERM)
			}},
			momentEvent{name: fmt.Sprintf("the %s is frozen", at), at: at, lasts: true, freezes: true, act: func(p *momentSite, m *moment) (func(), string) {
				return p.freeze(front(p, m))
			}},
			momentEvent{name: fmt.Sprintf("the %s gets little of its processor", at), at: at, lasts: true, starves: true, act: func(p *momentSite, m *moment) (func(), string) {
				return starve(front(p, m))
			}},
			momentEvent{name: fmt.Sprintf("the %s reloads its settings", at), at: at, act: func(p *momentSite, m *moment) (func(), string) {
				return nil, p.reload(m.nameOf(at))
			}})
	}
	return out
}

// restartFront kills a front and starts it again; its callers need not wait until it is ready.
func (p *momentSite) restartFront(name string) string {
	if reason := p.end(p.fronts[name], syscall.SIGKILL); reason != "" {
		return reason
	}
	p.runFront(name)
	p.callers[name].setTarget(p.fronts[name].address("callers"))
	return ""
}

// freeze stops a process until the returned function is called.
func (p *momentSite) freeze(of *process) (func(), string) {
	if of.ended() {
		return nil, of.name + " has ended"
	}
	of.signalIfAlive(syscall.SIGSTOP)
	return func() { of.signalIfAlive(syscall.SIGCONT) }, ""
}

// starve gives a process little of its processor until the returned function is called.
func starve(of *process) (func(), string) {
	if of.ended() {
		return nil, of.name + " has ended"
	}
	return of.pulse(momentTurn, momentPeriod).stop, ""
}

func (p *momentSite) reload(front string) string {
	if p.fronts[front].ended() {
		return front + " has ended"
	}
	p.reloads++
	p.writeSettings(front, fmt.Sprintf("%sretry_ratio: 0.%d\n", p.settings[front], 2+p.reloads))
	p.fronts[front].signalIfAlive(syscall.SIGHUP)
	return ""
}

func momentServerEvents() []momentEvent {
	return []momentEvent{
		{name: "the server is killed", at: momentServed, ends: momentServed, act: func(p *momentSite, m *moment) (func(), string) {
			return nil, p.end(m.server.process, syscall.SIGKILL)
		}},
		{name: "the server ends at SIGTERM", at: momentServed, ends: momentServed, act: func(p *momentSite, m *moment) (func(), string) {
			return nil, p.end(m.server.process, syscall.SIGTERM)
		}},
		{name: "the server is killed and started again under its ID", at: momentServed, ends: momentServed, untold: "completed at a close, nothing tells a server from its next start under its ID", act: (*momentSite).restart},
		{name: "the server is frozen", at: momentServed, lasts: true, freezes: true, act: (*momentSite).freezeServer},
		{name: "the server gets little of its processor", at: momentServed, lasts: true, starves: true, act: func(_ *momentSite, m *moment) (func(), string) {
			return starve(m.server.process)
		}},
		{name: "the server's address is taken by another version that answers 421", at: momentServed, ends: momentServed, spare: []string{}, act: (*momentSite).takeAddress},
		{name: "the server's address is taken by another version that ignores the expected instance", at: momentServed, ends: momentServed, spare: []string{"--any-instance"}, act: (*momentSite).takeAddress},
		{name: "the server sends surplus responses before those that are due", at: momentServed, lasts: true, act: serverFaults(func(f *standin.RoutedFaults) {
			f.Unsolicited, f.UnsolicitedStreams = momentFaulty, momentFaulty
		})},
		{name: "the server is full", at: momentServed, lasts: true, act: serverFaults(func(f *standin.RoutedFaults) { f.Reject = momentFaulty })},
		{name: "the server breaks its streams off", at: momentServed, closes: true, act: breakStreams("")},
		{name: "the server breaks its streams off inside what comes next", at: momentServed, closes: true, act: breakStreams(standin.OddPart)},
		{name: "the server breaks its streams off behind bytes that form no response", at: momentServed, closes: true, odd: true, act: breakStreams(standin.OddBytes)},
		{name: "the server breaks its streams off behind a surplus response", at: momentServed, closes: true, odd: true, untoldInside: "in a response that only its connection ends, nothing tells another one that begins inside an event", act: breakStreams(standin.OddSurplus)},
	}
}

// restart has a new process under the server's ID at its address.
func (p *momentSite) restart(m *moment) (func(), string) {
	if m.server.ended() {
		return nil, m.server.name + " has ended"
	}
	next := p.newServer(m.server.id, m.server.version)
	next.path, next.listed = m.server.path, m.server.listed
	next.path.setTarget(next.address("standin"))
	return nil, p.end(m.server.process, syscall.SIGKILL)
}

func (p *momentSite) freezeServer(m *moment) (func(), string) {
	end, reason := p.freeze(m.server.process)
	if reason != "" {
		return nil, reason
	}
	m.server.frozen = true
	return func() {
		end()
		m.server.frozen = false
		p.setStopsAt(m.server)
	}, ""
}

// takeAddress kills the server and has a spare one at its address. With relist its record takes the place of that of the server.
func (p *momentSite) takeAddress(m *moment) (func(), string) {
	if m.server.ended() {
		return nil, m.server.name + " has ended"
	}
	spare := p.spares[m.event]
	spare.path, spare.listed = m.server.path, m.server.listed
	spare.path.setTarget(spare.address("standin"))
	reason := p.end(m.server.process, syscall.SIGKILL)
	if p.play.relist && !p.play.pair[m.event].writes {
		p.replaceRecord(spare, m.server)
	}
	return nil, reason
}

// momentFaulty is more than the responses of a server in a play.
const momentFaulty = 1000

// serverFaults has the server have further faults.
func serverFaults(add func(f *standin.RoutedFaults)) func(p *momentSite, m *moment) (func(), string) {
	return func(p *momentSite, m *moment) (func(), string) {
		if m.server.ended() || m.server.frozen {
			return nil, m.server.name + " does not run"
		}
		faults := p.play.form.faults()
		add(&faults)
		trySetFaults(m.server.process, faults)
		return func() {
			if !m.server.ended() && !m.server.frozen {
				trySetFaults(m.server.process, p.play.form.faults())
			}
		}, ""
	}
}

// breakStreams has the server end the streams that stop at the point.
func breakStreams(odd standin.OddEnding) func(p *momentSite, m *moment) (func(), string) {
	return func(p *momentSite, m *moment) (func(), string) {
		if m.server.ended() || m.server.frozen {
			return nil, m.server.name + " does not run"
		}
		stops, point := p.stops, p.play.points[m.event]
		p.stops = slices.Clone(stops)
		for _, s := range p.streams[:momentSubjects] {
			p.stops = append(p.stops, standin.Stop{Target: s.target, Point: point, Event: momentEventOf(point), Break: true, Odd: odd})
		}
		p.setStopsAt(m.server)
		p.stops = stops
		return func() { p.setStopsAt(m.server) }, ""
	}
}
