package tests

import (
	"syscall"
	"testing"
)

// TestPlatformCutFrontGuessesVersionBesideRestart guards against a front that is cut off while the only other one restarts, has nobody
// whose silence it could notice, and continues streams of a new version at the one that it knew before.
func TestPlatformCutFrontGuessesVersionBesideRestart(t *testing.T) {
	p := &overlapSite{platformSite: newBarePlatformSite(t)}
	p.putDocument()
	p.startVersion("v1", "llm-1", "llm-2")
	store := newProxy(t, p.store.address("standin"))
	paths := map[string]*proxy{"front-1": newProxy(t, ""), "front-2": newProxy(t, "")}
	start := func(name string, store *proxy) {
		p.fronts[name] = startProcess(t, name, "runworks", "front", "--settings", p.settingsFile(name, p.proxiedSettings(name, store, paths[name])))
		paths[name].setTarget(p.fronts[name].address("fronts"))
	}
	direct := newProxy(t, p.store.address("standin"))
	start("front-1", direct)
	start("front-2", store)
	p.waitReady("front-1", 2)
	p.waitReady("front-2", 2)
	p.fronts["front-1"].signal(syscall.SIGKILL)
	p.fronts["front-1"].waitExit()
	paths["front-1"].refuse()
	paths["front-1"].set(proxyResets)
	p.waitReady("front-2", 1)
	p.wait(overlapFreeze)
	p.startUnlisted("v2", "llm-3", "llm-4")
	store.set(proxyBlocksBoth)
	for _, path := range paths {
		path.set(proxyBlocksBoth)
	}
	paths["front-1"].accept()
	p.listVersion("llm-3", "v2")
	p.listVersion("llm-4", "v2")
	start("front-1", direct)
	p.waitListed("llm-4")
	lines := p.beginLines(24)
	p.resumeLines(lines, "front-2", func() {})
	t.Logf("statuses %v", p.checkLines(lines))
}
