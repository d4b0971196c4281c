package tests

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// momentArrives is within which time a byte arrives that no path holds back.
const momentArrives = 300 * time.Millisecond

// momentPath is a path seen from a stream.
type momentPath struct {
	*proxy
	// back is set if the stream's requests go the way of the proxy's responses.
	back bool
}

// hold holds data back, or only what goes in the direction of requests or responses.
func (p momentPath) hold(requests, responses bool) {
	switch {
	case requests && responses:
		p.set(proxyBlocksBoth)
	case requests != p.back:
		p.set(proxyBlocksRequests)
	default:
		p.set(proxyBlocksAnswers)
	}
}

// momentPaths is a kind of path: those that it consists of, and what its two directions are called.
type momentPaths struct {
	name                string
	requests, responses string
	// closes is set if its closes end streams like those of a living server.
	closes bool
	paths  func(p *momentSite, m *moment) []momentPath
}

func momentPathEvents() []momentEvent {
	var out []momentEvent
	for _, one := range []momentPaths{
		{"the path to the server", "requests", "responses", true, func(_ *momentSite, m *moment) []momentPath { return []momentPath{{m.server.path, false}} }},
		{"the path between the fronts", "what the stream's front sends", "what the other front sends", false, func(p *momentSite, m *moment) []momentPath {
			return []momentPath{{p.peers[m.other], false}, {p.peers[m.front], true}}
		}},
		{"the path of callers to the front", "requests", "responses", false, func(p *momentSite, m *moment) []momentPath { return []momentPath{{p.callers[m.front], false}} }},
	} {
		nothing := func(momentPath) {}
		forward := func(path momentPath) { path.set(proxyForwards) }
		out = append(out,
			one.event("closes its connections", false, one.closes, func(path momentPath) { path.end(proxyEndsBoth) }, nothing),
			one.event("resets its connections", false, false, func(path momentPath) { path.set(proxyResets); forward(path) }, nothing),
			one.event("falls silent", false, false, func(path momentPath) { path.silence() }, nothing),
			one.event("refuses new connections", true, false, func(path momentPath) { path.refuse() }, func(path momentPath) { path.accept() }),
			one.event("holds data back", true, false, func(path momentPath) { path.hold(true, true) }, forward),
			one.event("holds back "+one.requests, true, false, func(path momentPath) { path.hold(true, false) }, forward),
			one.event("holds back "+one.responses, true, false, func(path momentPath) { path.hold(false, true) }, forward))
	}
	return out
}

// event returns an event that does something with each of the paths, and undoes it.
func (one momentPaths) event(what string, lasts, closes bool, do, undo func(momentPath)) momentEvent {
	return momentEvent{name: one.name + " " + what, lasts: lasts, closes: closes, act: func(p *momentSite, m *moment) (func(), string) {
		open, paths := 0, one.paths(p, m)
		for _, path := range paths {
			if path.proxy == nil {
				return nil, "the server is reached by no path"
			}
			open += path.open()
			do(path)
		}
		return func() {
			for _, path := range paths {
				undo(path)
			}
		}, reasonUnless(open > 0, "the path has no connection")
	}}
}

// TestMomentPathHoldsOneDirection guards against cuts of one direction that hold the other one, both or none.
func TestMomentPathHoldsOneDirection(t *testing.T) {
	for _, one := range []struct {
		name                          string
		back                          bool
		requests, responses           bool
		forthArrives, backwardArrives bool
	}{
		{"requests", false, true, false, false, true},
		{"responses", false, false, true, true, false},
		{"requests, the other way", true, true, false, true, false},
		{"responses, the other way", true, false, true, false, true},
		{"both", false, true, true, false, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			path := newProxy(t, l.Addr().String())
			from, err := net.Dial("tcp", path.address())
			is.NoErr(err)
			defer func() { _ = from.Close() }()
			to, err := l.Accept()
			is.NoErr(err)
			defer func() { _ = to.Close() }()
			momentPath{path, one.back}.hold(one.requests, one.responses)
			is.Equal(arrives(t, from, to), one.forthArrives)
			is.Equal(arrives(t, to, from), one.backwardArrives)
		})
	}
}

// arrives reports whether a byte that is written to a connection is read from another one soon.
func arrives(t *testing.T, from, to net.Conn) bool {
	t.Helper()
	if _, err := from.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := to.SetReadDeadline(time.Now().Add(momentArrives)); err != nil {
		t.Fatal(err)
	}
	n, err := to.Read(make([]byte, 1))
	return n == 1 && err == nil
}
