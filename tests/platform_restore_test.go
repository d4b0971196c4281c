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

// applyBound is within which time of its acknowledgement a change is active.
const applyBound = 3 * time.Second

// TestPlatformChangesAfterStoreRestored checks that after the store was restored from an older
// copy each change becomes active at all fronts in time, and that no older state replaces newer.
func TestPlatformChangesAfterStoreRestored(t *testing.T) {
	runRestoreScript(t, "testdata/platform/store_returns")
}

// TestPlatformSuspendedHall checks that nothing goes to a hall that the operators suspended, also
// from fronts that start or lose the store meanwhile, and that it is used again once it is resumed.
func TestPlatformSuspendedHall(t *testing.T) {
	runRestoreScript(t, "testdata/platform/suspended_hall")
}

// runRestoreScript runs the script of a site whose store can be restored.
func runRestoreScript(t *testing.T, file string) {
	t.Helper()
	var p *restoreSite
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		a := scanScript(t, d)
		if d.Cmd == "site" {
			p = newRestoreSite(t, a.servers, a.halls)
		}
		for _, step := range []func(*datadriven.TestData, *scriptArgs) string{p.stepStore, p.stepRecords, p.stepChecks} {
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

// stepStore runs the steps of the store itself.
func (p *restoreSite) stepStore(d *datadriven.TestData, a *scriptArgs) string {
	switch d.Cmd {
	case "copy":
		return p.copyStore()
	case "away":
		p.setFaults(p.store, standin.StoreFaults{Down: d.HasArg("down"), Unresponsive: d.HasArg("silent")})
		p.wait(a.duration)
		return "away\n"
	case "return":
		return p.restoreStore()
	case "wait":
		p.wait(a.duration)
		return "waited\n"
	}
	return ""
}

// stepRecords writes the platform's records to the store.
func (p *restoreSite) stepRecords(d *datadriven.TestData, a *scriptArgs) string {
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
	case "suspend":
		p.put("keyed.op", "evacuate/"+a.hall, []byte(`{}`))
		return "taken\n"
	case "resume":
		p.put("keyed.op", "evacuate/"+a.hall, nil)
		return "taken\n"
	case "drop":
		for _, name := range a.servers {
			p.put("keyed.servers", name, nil)
		}
		return "taken\n"
	}
	return ""
}

// stepChecks runs the steps that check the fronts.
func (p *restoreSite) stepChecks(d *datadriven.TestData, a *scriptArgs) string {
	switch d.Cmd {
	case "in-force":
		return p.checkActive(a.fronts, a.count)
	case "servers":
		return p.awaitServers(a.fronts, a.count)
	case "used":
		return p.checkUsed(a.fronts, a.servers, a.target)
	}
	return ""
}

// restoreSite is a platform site whose store can be restored from an older copy.
type restoreSite struct {
	*platformSite
	calls int
}

// newRestoreSite starts the store and servers, which are in the halls of the same index.
func newRestoreSite(t *testing.T, servers, halls []string) *restoreSite {
	t.Helper()
	p := &restoreSite{platformSite: newBarePlatformSite(t)}
	p.halls = map[string]string{}
	for i, hall := range halls {
		p.halls[servers[i]] = hall
	}
	p.putVersion(1)
	for _, name := range servers {
		p.addServer(name)
	}
	return p
}

// putVersion writes a version of the document, which contains one key of its own, to the store.
func (p *restoreSite) putVersion(version int) {
	p.t.Helper()
	keys := fmt.Sprintf(`"yard-key", "key-of-%d"`, version)
	p.put("keyed.op", "config", []byte(strings.ReplaceAll(fmt.Sprintf(platformDocument, version), `"yard-key"`, keys)))
}

func (p *platformSite) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// checkActive checks that each front accepts the key of a version within applyBound, and rejects
// that of the version before.
func (p *restoreSite) checkActive(fronts []string, version int) string {
	p.t.Helper()
	deadline := time.Now().Add(applyBound)
	var out strings.Builder
	for _, front := range fronts {
		active := false
		for !active && time.Now().Before(deadline) {
			active = p.status(front, fmt.Sprint("key-of-", version)) == http.StatusOK && p.status(front, fmt.Sprint("key-of-", version-1)) == http.StatusUnauthorized
		}
		if !active {
			fmt.Fprintf(&out, "not at %s\n", front)
		}
	}
	if out.Len() == 0 {
		return "in force\n"
	}
	return out.String()
}

// status sends a call with a key and returns the response's status.
func (p *restoreSite) status(front, key string) int {
	p.t.Helper()
	p.calls++
	res, _, err := p.do(front, platformCall{id: fmt.Sprint("return-", p.calls), method: http.MethodGet, target: "/safe/1", key: key})
	if err != nil {
		p.t.Fatal(err)
	}
	return res.StatusCode
}

// awaitServers waits until each front has the given number of servers that it sends calls to.
func (p *restoreSite) awaitServers(fronts []string, count int) string {
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

// callsPerFront is how many calls checkUsed sends to each front: many times the number of
// servers.
const callsPerFront = 24

// checkUsed returns which of the servers receive calls from the fronts.
func (p *restoreSite) checkUsed(fronts, servers []string, target string) string {
	p.t.Helper()
	before := map[string]int{}
	for _, name := range servers {
		before[name] = len(p.platformSite.calls(name))
	}
	for _, front := range fronts {
		for range callsPerFront {
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
