package tests

import (
	"fmt"
	"strings"
	"syscall"

	"github.com/runworks/runworks/standin"
)

func momentStoreEvents() []momentEvent {
	routes := func(service string) func(p *momentSite, _ *moment) (func(), string) {
		return func(p *momentSite, _ *moment) (func(), string) {
			p.putRoutes(service)
			return nil, ""
		}
	}
	return []momentEvent{
		{name: momentStoreFrozen, at: momentStore, lasts: true, takesNone: true, act: func(p *momentSite, _ *moment) (func(), string) {
			end, reason := p.freeze(p.store)
			if reason != "" {
				return nil, reason
			}
			p.storeAway = true
			return func() {
				end()
				p.storeAway = p.store.ended()
			}, ""
		}},
		{name: "the store is killed", at: momentStore, ends: momentStore, takesNone: true, act: func(p *momentSite, _ *moment) (func(), string) {
			p.storeAway = true
			return nil, p.end(p.store, syscall.SIGKILL)
		}},
		{name: "the store refuses calls", at: momentStore, writes: true, lasts: true, act: storeFaults(standin.StoreFaults{Down: true})},
		{name: "the store does not answer", at: momentStore, writes: true, lasts: true, act: storeFaults(standin.StoreFaults{Unresponsive: true})},
		{name: "the store loses answers", at: momentStore, writes: true, lasts: true, act: storeFaults(standin.StoreFaults{LoseResponses: momentLost, SkipWakeups: momentLost})},
		{name: "the store goes back to its records from before the streams", at: momentStore, writes: true, act: func(p *momentSite, _ *moment) (func(), string) {
			p.post("http://"+p.store.address("standin")+"/return", nil)
			return nil, ""
		}},
		{name: "the server's record is removed", writes: true, act: func(p *momentSite, m *moment) (func(), string) {
			p.put("keyed.servers", m.server.listed, nil)
			return nil, ""
		}},
		{name: "a document moves the routes", writes: true, routes: true, act: routes("alt")},
		{name: "a document shares the routes out", writes: true, routes: true, act: routes("both")},
		{name: "a document leaves the customer less than it asks", writes: true, lasts: true, act: func(p *momentSite, _ *moment) (func(), string) {
			p.limited = true
			p.putRoutes(p.service)
			return func() {
				p.limited = false
				p.putRoutes(p.service)
			}, ""
		}},
		{name: "a server of another version is listed", writes: true, spare: []string{}, act: func(p *momentSite, m *moment) (func(), string) {
			spare := p.spares[m.event]
			spare.path = newProxy(p.t, spare.address("standin"))
			p.putRecord(spare, "ready")
			return nil, ""
		}},
	}
}

// momentLost is how many answers the store loses, and how many appends wake no reader.
const momentLost = 3

// storeFaults has the store have faults.
func storeFaults(faults standin.StoreFaults) func(p *momentSite, m *moment) (func(), string) {
	return func(p *momentSite, _ *moment) (func(), string) {
		p.setFaults(p.store, faults)
		return func() {
			if !p.storeAway {
				p.setFaults(p.store, standin.StoreFaults{})
			}
		}, ""
	}
}

// momentStorePaths are the paths of the fronts to the store.
func momentStorePaths() []momentEvent {
	var out []momentEvent
	for _, at := range []momentProcess{momentFront, momentOther} {
		one := momentPaths{name: fmt.Sprintf("the path of the %s to the store", at), paths: func(p *momentSite, m *moment) []momentPath {
			return []momentPath{{p.stores[m.nameOf(at)], false}}
		}}
		forward := func(path momentPath) { path.set(proxyForwards) }
		out = append(out,
			one.event("resets all connections", true, false, func(path momentPath) { path.set(proxyResets) }, forward),
			one.event("falls silent", false, false, func(path momentPath) { path.silence() }, func(momentPath) {}),
			one.event("holds data back", true, false, func(path momentPath) { path.hold(true, true) }, forward),
			one.event("holds back responses", true, false, func(path momentPath) { path.hold(false, true) }, forward))
	}
	return out
}

// putRoutes writes the next document, in which all routes have their servers at a service, or at shares of both.
func (p *momentSite) putRoutes(service string) {
	p.documents++
	p.service = service
	text := fmt.Sprintf(platformDocument, p.documents)
	const llm = `"service": "llm"`
	text = strings.ReplaceAll(text, `"service": "app"`, llm)
	switch service {
	case "both":
		text = strings.ReplaceAll(text, llm, `"backends": [{"service": "llm", "weight": 1}, {"service": "alt", "weight": 1}]`)
	default:
		text = strings.ReplaceAll(text, llm, fmt.Sprintf(`"service": %q`, service))
	}
	text = strings.Replace(text, `{"name": "llm", `, `{"name": "alt", "maxConns": 100, "healthPath": "/health", "engine": {"slots": 8}}, {"name": "llm", `, 1)
	if p.limited {
		text = strings.Replace(text, `"plainTokens": 200}`, `"plainTokens": 200, "ratePerS": 1}`, 1)
	}
	p.put("keyed.op", "config", []byte(strings.ReplaceAll(text, "yard-key", p.key())))
}
