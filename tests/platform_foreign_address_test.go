package tests

import (
	"bytes"
	"fmt"
	"syscall"
)

// foreignAddressForms returns the forms in which a server of another version takes the address of one that is killed amid its
// streams, and does not look at the instance that a call expects.
func foreignAddressForms() []foreignForm {
	var out []foreignForm
	add := func(name string, form foreignForm) {
		form.cuts, form.path = true, pathToServer
		byDefault, old, mixed, chunks := form, form, form, form
		byDefault.name, byDefault.http10, byDefault.ci = name+", HTTP/1.0, default settings", true, true
		old.name, old.http10, old.completeAtClose = name+", HTTP/1.0", true, true
		mixed.name, mixed.mixed, mixed.ci = name+", mixed", true, true
		chunks.name = name + ", chunks"
		out = append(out, byDefault, old, mixed, chunks)
	}
	add("an address is taken by another version", foreignForm{event: (*foreignSite).takeAddress})
	add("an address is taken by another version, the record stays", foreignForm{event: (*foreignSite).takeAddressUnlisted})
	add("an address is taken by a nameless server", foreignForm{event: (*foreignSite).takeAddressUnnamed})
	add("an address is taken by another version, the store is frozen", foreignForm{before: (*foreignSite).freezeStore, event: (*foreignSite).takeAddressInSilence})
	return out
}

// takeAddress kills the second server, has one of another version at its address, and replaces its record.
func (p *foreignSite) takeAddress() {
	p.takeAddressUnlisted()
	p.listSuccessor()
}

// takeAddressUnlisted is takeAddress without the records.
func (p *foreignSite) takeAddressUnlisted() { p.startSuccessor("--any-instance") }

// takeAddressUnnamed is takeAddress by a server that names itself in the responses to status requests alone.
func (p *foreignSite) takeAddressUnnamed() {
	p.startSuccessor("--any-instance", "--nameless")
	p.listSuccessor()
}

// startSuccessor starts a server of another version at the address of the second one, which it kills.
func (p *foreignSite) startSuccessor(args ...string) {
	p.startUnlisted(p.form.server(3), "127.0.0.1:0", "v2", args...)
	p.paths[p.form.server(2)].setTarget(p.backends[p.form.server(3)].address("standin"))
	p.killServer()
}

func (p *foreignSite) listSuccessor() { p.listSuccessorVersion("v2") }

func (p *foreignSite) listSuccessorVersion(version string) {
	record := serverRecord("llm", p.paths[p.form.server(2)].address(), "ready", 0)
	p.put("keyed.servers", p.form.server(3), bytes.Replace(record, []byte(`"version": "v1"`), fmt.Appendf(nil, `"version": %q`, version), 1))
	p.put("keyed.servers", p.form.server(2), nil)
}

func (p *foreignSite) freezeStore() { p.store.signal(syscall.SIGSTOP) }

// takeAddressInSilence is takeAddress while the store does not respond, and for some time after that.
func (p *foreignSite) takeAddressInSilence() {
	p.takeAddressUnlisted()
	p.wait(foreignFreeze)
	p.store.signal(syscall.SIGCONT)
	p.listSuccessor()
}

// foreignStartForms returns the forms in which a server is killed amid its streams and started again at its address under a
// new ID, as each start of the platform's servers has. It answers calls for another instance as misdirected.
func foreignStartForms() []foreignForm {
	var out []foreignForm
	add := func(name string, form foreignForm) {
		form.cuts = true
		byDefault, old, chunks := form, form, form
		byDefault.name, byDefault.http10 = name+", HTTP/1.0, default settings", true
		old.name, old.http10, old.completeAtClose, old.ci = name+", HTTP/1.0", true, true, true
		chunks.name = name + ", chunks"
		out = append(out, byDefault, old, chunks)
	}
	add("a server is killed and started again under a new ID", foreignForm{event: (*foreignSite).renewServer})
	add("a server is killed and started again under a new ID, its record late", foreignForm{event: (*foreignSite).renewServerLate})
	add("a server is killed as its next start has its address", foreignForm{path: pathToServer, event: (*foreignSite).renewServerAtOnce})
	return out
}

// renewServer kills the second server, starts it again at its address under a new ID, and replaces its record.
func (p *foreignSite) renewServer() {
	p.startUnderNewID()
	p.listRenewed()
}

// renewServerLate is renewServer with the record replaced some time after the start.
func (p *foreignSite) renewServerLate() {
	p.startUnderNewID()
	p.wait(foreignFreeze)
	p.listRenewed()
}

func (p *foreignSite) startUnderNewID() {
	last := p.backends[p.form.server(2)]
	p.killServer()
	last.waitExit()
	p.startUnlisted(p.form.server(3), last.address("standin"), p.version(p.form.server(2)))
}

func (p *foreignSite) listRenewed() {
	p.list(p.form.server(3))
	p.put("keyed.servers", p.form.server(2), nil)
}

// renewServerAtOnce is renewServerLate without a moment at which nothing listens at the address.
func (p *foreignSite) renewServerAtOnce() {
	p.startUnlisted(p.form.server(3), "127.0.0.1:0", p.version(p.form.server(2)))
	p.paths[p.form.server(2)].setTarget(p.backends[p.form.server(3)].address("standin"))
	p.killServer()
	p.wait(foreignFreeze)
	p.listSuccessorVersion(p.version(p.form.server(2)))
}
