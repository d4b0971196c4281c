package tests

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks/standin"
)

// returnBound is within which time of its ack a change is in force.
const returnBound = 3 * time.Second

// TestPlatformChangesAfterStoreReturns puts each change in force in time at all fronts after
// the store came back from an older copy, and nothing older in the place of what was.
func TestPlatformChangesAfterStoreReturns(t *testing.T) {
	var p *returnSite
	datadriven.RunTest(t, "testdata/platform/store_returns", func(t *testing.T, d *datadriven.TestData) string {
		a := scanScript(t, d)
		if d.Cmd == "site" {
			p = newReturnSite(t, a.servers)
		}
		for _, step := range []func(*datadriven.TestData, *scriptArgs) string{p.stepStore, p.stepRecords, p.look} {
			if out := step(d, &a); out != "" {
				return out
			}
		}
		if out := p.stepFronts(d.Cmd, a.fronts); out != "" {
			return out
		}
		t.Fatalf("no command %s", d.Cmd)
		return ""
	})
}

// stepStore does the steps of the store itself.
func (p *returnSite) stepStore(d *datadriven.TestData, a *scriptArgs) string {
	switch d.Cmd {
	case "copy":
		return p.copyStore()
	case "away":
		p.setFaults(p.store, standin.StoreFaults{Down: d.HasArg("down"), Unresponsive: d.HasArg("silent")})
		p.wait(a.lasts)
		return "away\n"
	case "return":
		return p.returnStore()
	case "wait":
		p.wait(a.lasts)
		return "waited\n"
	}
	return ""
}

// stepRecords writes what the platform writes on the store.
func (p *returnSite) stepRecords(d *datadriven.TestData, a *scriptArgs) string {
	switch d.Cmd {
	case "document":
		p.putVersion(a.count)
		return "taken\n"
	case "list":
		state := "ready"
		if d.HasArg("draining") {
			state = "draining"
		}
		for _, name := range a.servers {
			p.listServer(name, state)
		}
		return "taken\n"
	case "add":
		for _, name := range a.servers {
			p.addServer(name)
		}
		return "added\n"
	case "drop":
		for _, name := range a.servers {
			p.put("keyed.servers", name, nil)
		}
		return "taken\n"
	}
	return ""
}

// look tells what fronts do.
func (p *returnSite) look(d *datadriven.TestData, a *scriptArgs) string {
	switch d.Cmd {
	case "in-force":
		return p.inForce(a.fronts, a.count)
	case "servers":
		return p.know(a.fronts, a.count)
	case "used":
		return p.used(a.fronts, a.servers, a.target)
	}
	return ""
}

// returnSite is a site whose store can come back from an older copy.
type returnSite struct {
	*platformSite
	calls int
}

func newReturnSite(t *testing.T, servers []string) *returnSite {
	t.Helper()
	p := &returnSite{platformSite: newBarePlatformSite(t)}
	p.putVersion(1)
	for _, name := range servers {
		p.addServer(name)
	}
	return p
}

// putVersion puts a version of the document on the store, which holds one key of its own.
func (p *returnSite) putVersion(version int) {
	p.t.Helper()
	keys := fmt.Sprintf(`"yard-key", "key-of-%d"`, version)
	p.put("keyed.op", "config", []byte(strings.ReplaceAll(fmt.Sprintf(platformDocument, version), `"yard-key"`, keys)))
}

// wait lets the system run.
func (p *returnSite) wait(lasts time.Duration) {
	timer := time.NewTimer(lasts)
	defer timer.Stop()
	<-timer.C
}

// inForce says whether each front accepts the key of a version within the bound, and no
// longer that of the version before.
func (p *returnSite) inForce(fronts []string, version int) string {
	p.t.Helper()
	deadline := time.Now().Add(returnBound)
	var out strings.Builder
	for _, front := range fronts {
		now := false
		for !now && time.Now().Before(deadline) {
			now = p.status(front, fmt.Sprint("key-of-", version)) == http.StatusOK && p.status(front, fmt.Sprint("key-of-", version-1)) == http.StatusUnauthorized
		}
		if !now {
			fmt.Fprintf(&out, "not at %s\n", front)
		}
	}
	if out.Len() == 0 {
		return "in force\n"
	}
	return out.String()
}

// status sends a call with a key and gives its answer's status.
func (p *returnSite) status(front, key string) int {
	p.t.Helper()
	p.calls++
	res, _, err := p.do(front, platformCall{id: fmt.Sprint("return-", p.calls), method: http.MethodGet, target: "/safe/1", key: key})
	if err != nil {
		p.t.Fatal(err)
	}
	return res.StatusCode
}

// know waits until each front has a number of servers that it sends calls to.
func (p *returnSite) know(fronts []string, count int) string {
	p.t.Helper()
	for _, front := range fronts {
		p.waitFor(fmt.Sprintf("%s uses %d servers", front, count), func() bool {
			var status struct {
				Servers []struct {
					Leaving bool `json:"leaving"`
				} `json:"servers"`
			}
			n := 0
			if !getJSON("http://"+p.fronts[front].address("operators")+"/status", &status) {
				return false
			}
			for _, one := range status.Servers {
				if !one.Leaving {
					n++
				}
			}
			return n == count
		})
	}
	return "known\n"
}

// usedCalls is how many calls a look at who is used makes at each front: many times the servers.
const usedCalls = 24

// used says which of the servers get calls from the fronts.
func (p *returnSite) used(fronts, servers []string, target string) string {
	p.t.Helper()
	before := map[string]int{}
	for _, name := range servers {
		before[name] = len(p.platformSite.calls(name))
	}
	for _, front := range fronts {
		for range usedCalls {
			p.calls++
			c := platformCall{id: fmt.Sprint("return-", p.calls), method: http.MethodGet, target: target, key: "yard-key"}
			if _, _, err := p.do(front, c); err != nil {
				p.t.Fatal(err)
			}
		}
	}
	var out strings.Builder
	for _, name := range servers {
		fmt.Fprintf(&out, "%s=%t ", name, len(p.platformSite.calls(name)) > before[name])
	}
	return strings.TrimSpace(out.String()) + "\n"
}
