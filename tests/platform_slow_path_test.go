package tests

import (
	"testing"
)

// slowPath is a path whose parts each delay what they carry by proxyDelay.
type slowPath []*proxy

func newSlowPath(t *testing.T, target string) slowPath {
	const parts = 4
	path := slowPath{newProxy(t, target)}
	for len(path) < parts {
		path = append(path, newProxy(t, path[len(path)-1].address()))
	}
	return path
}

func (s slowPath) first() *proxy { return s[len(s)-1] }

func (s slowPath) delay() {
	for _, one := range s {
		one.set(proxyDelays)
	}
}

// TestPlatformFrontBehindSlowPathGuessesVersion guards against a front that hears late of a version, as its paths from the store and
// the other front are slow, and continues streams of it at the one that it knew before.
func TestPlatformFrontBehindSlowPathGuessesVersion(t *testing.T) {
	p := &overlapSite{platformSite: newBarePlatformSite(t)}
	p.putDocument()
	p.startVersion("v1", "llm-1", "llm-2")
	store, peers := newSlowPath(t, p.store.address("standin")), newSlowPath(t, "")
	p.startFront("front-1")
	p.fronts["front-2"] = startProcess(t, "front-2", "runworks", "front", "--settings", p.settingsFile("front-2", p.proxiedSettings("front-2", store.first(), peers.first())))
	peers[0].setTarget(p.fronts["front-2"].address("fronts"))
	p.waitReady("front-1", 2)
	p.waitReady("front-2", 2)
	p.startUnlisted("v2", "llm-3", "llm-4")
	store.delay()
	peers.delay()
	p.wait(2 * overlapFreeze)
	p.listStarted("v2", "llm-3", "llm-4")
	lines := p.beginLines(24)
	p.resumeLines(lines, "front-2", func() {})
	t.Logf("statuses %v", p.checkLines(lines))
}
