package tests

import (
	"cmp"
	"fmt"
	"time"
)

// foreignPath is where a path closes connections; 0 if none does.
type foreignPath int

const (
	// pathToServer is that of the fronts to the second server.
	pathToServer foreignPath = iota + 1
	// pathToFront is that of callers to the second front.
	pathToFront
	// pathsBetweenFronts are those of each front to the other one.
	pathsBetweenFronts
)

const (
	// foreignMaxAge and foreignMaxBytes are the limits of paths that close each connection by itself: less than a stream lasts or has.
	foreignMaxAge   = 700 * time.Millisecond
	foreignMaxBytes = 1000
	// foreignPeerCloses is how often the paths between fronts close their connections, which are few.
	foreignPeerCloses = 20
)

// foreignPathForms returns the forms in which a path closes connections without a reset while all processes run on. CI plays
// servers that mix responses with and without chunks: cut streams and whole ones run side by side there.
func foreignPathForms() []foreignForm {
	var out []foreignForm
	add := func(name string, form foreignForm, event func(p *foreignSite)) {
		form.cuts, form.event = true, event
		mixed, old, chunks := form, form, form
		mixed.name, mixed.mixed, mixed.ci = name+", mixed", true, form.path == pathToServer
		old.name, old.http10 = name+", HTTP/1.0", true
		chunks.name, chunks.cuts = name+", chunks", form.path != pathsBetweenFronts
		out = append(out, mixed, old, chunks)
	}
	toServer := foreignForm{path: pathToServer}
	for _, gap := range []time.Duration{5 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		add(fmt.Sprintf("a path closes its connections %s apart", gap), toServer, func(p *foreignSite) { p.endOneByOne(proxyEndsBoth, gap) })
	}
	const gap = 30 * time.Millisecond
	add("a path closes its connections towards the fronts", toServer, func(p *foreignSite) { p.endOneByOne(proxyEndsAnswers, gap) })
	add("a path closes connections by age", foreignForm{path: pathToServer, maxAge: foreignMaxAge}, func(*foreignSite) {})
	add("a path closes connections by bytes", foreignForm{path: pathToServer, maxBytes: foreignMaxBytes}, func(*foreignSite) {})
	add("a path of callers closes its connections", foreignForm{path: pathToFront}, func(p *foreignSite) { p.endOneByOne(proxyEndsBoth, gap) })
	add("paths between fronts close their connections", foreignForm{path: pathsBetweenFronts}, func(p *foreignSite) {
		for range foreignPeerCloses {
			p.endOneByOne(proxyEndsBoth, gap)
		}
	})
	return out
}

// newPath starts the path to a server or front.
func (p *foreignSite) newPath(name, target string) *proxy {
	path := newProxy(p.t, target)
	path.limit(p.form.maxAge, p.form.maxBytes)
	p.paths[name] = path
	return path
}

// endOneByOne has the paths close their connections one by one.
func (p *foreignSite) endOneByOne(which proxyEnd, gap time.Duration) {
	closed := 0
	for _, path := range p.paths {
		closed += path.endOneByOne(which, func() { p.wait(gap) })
	}
	if closed == 0 {
		p.t.Error("the path had no connection to close")
	}
}

// list writes the record of a server, at the address of its path if it has one.
func (p *foreignSite) list(name string) {
	if p.form.path != pathToServer || name != p.form.server(2) {
		p.listVersion(name, p.version(name))
		return
	}
	path := p.newPath(name, p.backends[name].address("standin"))
	p.put("keyed.servers", name, serverRecord(cmp.Or(p.form.service, "llm"), path.address(), "ready", 0))
}

// startFront starts a front, and the path to it if it has one.
func (p *foreignSite) startFront(name string) {
	if p.form.path == pathsBetweenFronts {
		path := p.newPath(name, "")
		settings := p.proxiedSettings(name, newProxy(p.t, p.store.address("standin")), path)
		p.fronts[name] = startProcess(p.t, name, "runworks", "front", "--settings", p.settingsFile(name, settings))
		path.setTarget(p.fronts[name].address("fronts"))
		return
	}
	p.platformSite.startFront(name)
	if p.form.path == pathToFront && name == "front-2" {
		p.newPath(name, p.fronts[name].address("callers"))
	}
}

// callerAddress returns where callers reach a front.
func (p *foreignSite) callerAddress(front string) string {
	if path := p.paths[front]; path != nil && p.form.path == pathToFront {
		return path.address()
	}
	return p.fronts[front].address("callers")
}
