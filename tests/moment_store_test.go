package tests

func momentStoreEvents() []momentEvent {
	routes := func(service string) func(p *momentSite, _ *moment) (func(), string) {
		return func(p *momentSite, _ *moment) (func(), string) {
			p.putRoutes(service)
			return nil, ""
		}
	}
	return []momentEvent{
		{name: momentStoreFrozen, lasts: true, act: func(p *momentSite, _ *moment) (func(), string) {
			end, reason := p.freeze(p.store)
			p.storeAway = true
			return func() {
				end()
				p.storeAway = false
			}, reason
		}},
		{name: "the server's record is removed", writes: true, act: func(p *momentSite, m *moment) (func(), string) {
			p.put("keyed.servers", m.server.listed, nil)
			return nil, ""
		}},
		{name: "a document moves the routes", writes: true, routes: true, act: routes("alt")},
		{name: "a document shares the routes out", writes: true, routes: true, act: routes("both")},
		{name: "a server of another version is listed", writes: true, spare: []string{}, act: func(p *momentSite, m *moment) (func(), string) {
			spare := p.spares[m.event]
			spare.path = newProxy(p.t, spare.address("standin"))
			p.putRecord(spare, "ready")
			return nil, ""
		}},
	}
}
