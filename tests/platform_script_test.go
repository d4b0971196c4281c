package tests

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks/standin"
)

// scriptArgs are the arguments of a line in a script of a platform site; what a line lacks is
// zero.
type scriptArgs struct {
	fronts, servers       []string
	method, target, limit string
	// count is how many servers there are, where these have no names.
	count, calls, callers, tokens int
	lasts                         time.Duration
}

// scanScript reads the arguments of a line.
func scanScript(t *testing.T, d *datadriven.TestData) scriptArgs {
	t.Helper()
	var a scriptArgs
	var ms int
	for key, to := range map[string]any{
		"fronts": &a.fronts, "servers": &a.servers, "method": &a.method, "target": &a.target, "limit": &a.limit,
		"count": &a.count, "calls": &a.calls, "callers": &a.callers, "tokens": &a.tokens, "ms": &ms,
	} {
		d.MaybeScanArgs(t, key, to)
	}
	a.lasts = time.Duration(ms) * time.Millisecond
	return a
}

// copyStore has the store keep a copy of what it holds.
func (p *platformSite) copyStore() string {
	p.t.Helper()
	p.post("http://"+p.store.address("standin")+"/copy", nil)
	return "copied\n"
}

// returnStore has the store come back from its copy.
func (p *platformSite) returnStore() string {
	p.t.Helper()
	p.post("http://"+p.store.address("standin")+"/return", nil)
	p.setFaults(p.store, standin.StoreFaults{})
	return "back\n"
}

// stepFronts does the steps that the scripts of all sites share: it starts fronts, as the
// first of a site until they know each other, or ends them. It gives nothing for other steps.
func (p *platformSite) stepFronts(step string, fronts []string) string {
	p.t.Helper()
	switch step {
	case "site":
		out := p.startAll(fronts)
		for _, name := range fronts {
			p.waitReady(name, len(fronts))
		}
		return out
	case "start":
		return p.startAll(fronts)
	case "kill":
		return p.killAll(fronts)
	}
	return ""
}
