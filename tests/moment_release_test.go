package tests

import (
	"bytes"
	"strings"
	"syscall"
)

// momentReleaseEvents returns what happens to servers and their records in planned work.
func momentReleaseEvents() []momentEvent {
	var out []momentEvent
	for _, version := range []string{"v1", "v2"} {
		out = append(out, momentEvent{name: "a release replaces the server by one of " + version, at: momentServed, ends: momentServed, endsLate: true, lasts: true, writes: true, spare: []string{}, version: version, act: (*momentSite).release})
	}
	return append(out,
		momentEvent{name: "the server's record goes and the server ends later", at: momentServed, ends: momentServed, endsLate: true, lasts: true, writes: true, act: (*momentSite).leaveUnsaid},
		momentEvent{name: "the server's record is away for a while", writes: true, lasts: true, act: (*momentSite).loseRecord},
		momentEvent{name: "the server is killed and its record goes late", at: momentServed, ends: momentServed, lasts: true, writes: true, act: func(p *momentSite, m *moment) (func(), string) {
			return func() { p.put("keyed.servers", m.server.listed, nil) }, p.end(m.server.process, syscall.SIGKILL)
		}},
		momentEvent{name: "the server's address is taken by another version whose record comes late", at: momentServed, ends: momentServed, lasts: true, writes: true, spare: []string{}, act: func(p *momentSite, m *moment) (func(), string) {
			if _, reason := p.takeAddress(m); reason != "" {
				return nil, reason
			}
			return func() { p.replaceRecord(p.spares[m.event], m.server) }, ""
		}},
	)
}

// release lists the server that takes the place of another one, which drains and ends with the effect.
func (p *momentSite) release(m *moment) (func(), string) {
	if m.server.ended() || m.server.frozen {
		return nil, m.server.name + " does not run"
	}
	spare := p.spares[m.event]
	spare.path = newProxy(p.t, spare.address("standin"))
	p.putRecord(spare, "ready")
	p.putRecord(m.server, "draining")
	return func() { p.leave(m.server) }, ""
}

// leaveUnsaid removes the record of a server that does not say that it drains.
func (p *momentSite) leaveUnsaid(m *moment) (func(), string) {
	if m.server.ended() || m.server.frozen {
		return nil, m.server.name + " does not run"
	}
	p.put("keyed.servers", m.server.listed, nil)
	return func() { p.leave(m.server) }, ""
}

// leave has a server end as planned, and its record go.
func (p *momentSite) leave(s *momentServer) {
	_ = p.end(s.process, syscall.SIGTERM)
	p.put("keyed.servers", s.listed, nil)
	p.put("keyed.servers", s.id, nil)
}

// loseRecord removes the record of a server that writes it again with the end of the effect, if it runs then.
func (p *momentSite) loseRecord(m *moment) (func(), string) {
	if m.server.ended() {
		return nil, m.server.name + " has ended"
	}
	p.put("keyed.servers", m.server.listed, nil)
	return func() {
		if !m.server.ended() {
			p.putRecord(m.server, "ready")
		}
	}, ""
}

// replaceRecord has the record of a server take the place of that of another one.
func (p *momentSite) replaceRecord(next, old *momentServer) {
	if p.storeAway {
		return
	}
	p.putRecord(next, "ready")
	p.put("keyed.servers", old.listed, nil)
	next.listed = next.id
}

// putRecord writes the record of a server.
func (p *momentSite) putRecord(s *momentServer, state string) {
	service, _, _ := strings.Cut(s.id, "-")
	record := serverRecord(service, s.path.address(), state, 0)
	p.put("keyed.servers", s.id, bytes.Replace(record, []byte(`"version": "v1"`), []byte(`"version": "`+s.version+`"`), 1))
}

// put writes a record to the store, unless it takes none.
func (p *momentSite) put(topic, key string, value []byte) {
	if !p.storeAway {
		p.platformSite.put(topic, key, value)
	}
}
