package tests

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin"
)

// endingText, in a call's body, ends each server that begins to run it.
const endingText = "ends servers"

// TestPlatformRequestThatEndsServers bounds how many servers one request ends that its
// caller sends again and again, and serves the others.
//
// What users saw: within a quarter of a minute sixteen of nine servers' lives ended, one
// each second, and with each the five to seven streams that ran there. A minute later it
// began again, with twenty.
//
// The order of events: a customer sent a request that ends the process of each server that
// begins to run it. Its answer broke off; the customer sent it again under a new id, to
// whichever front. That front had never seen it, and gave it to the next server.
//
// The cause: what a request had done was known by its id alone, for the time of one attempt
// and at one front. Nothing knew it again when it came back.
//
// The evidence: of the calls that had no event yet as their server ended, one customer's,
// of one size and with one last prompt part, is there each time, and is never answered; each
// of its ids names one server that ran it.
func TestPlatformRequestThatEndsServers(t *testing.T) {
	var p *crashSite
	datadriven.RunTest(t, "testdata/platform/crashes", func(t *testing.T, d *datadriven.TestData) string {
		a := scanScript(t, d)
		if d.Cmd == "site" {
			p = newCrashSite(t, a.count)
		}
		switch d.Cmd {
		case "site", "start", "kill":
			return p.stepFronts(d.Cmd, a.fronts)
		case "store":
			p.storeDown = d.HasArg("down")
			p.setFaults(p.store, standin.StoreFaults{Down: p.storeDown})
			return "done\n"
		case "copy":
			return p.copyStore()
		case "return":
			defer p.writeAgain()
			return p.returnStore()
		case "lift":
			return p.lift(a.fronts[0])
		case "recorded":
			p.waitFor("all ends are on record", func() bool { return p.recordedEnds() == p.ended })
			return "done\n"
		case "send":
			return p.send(a.fronts, a.method, a.target, endingText, a.calls)
		case "others":
			for i := range a.calls {
				if out := p.send(a.fronts[i%len(a.fronts):][:1], a.method, a.target, fmt.Sprint("other ", i), 1); out != "answered=1 refused=0 broken=0 ended=0\n" {
					return out
				}
			}
			return "all answered\n"
		}
		t.Fatalf("no command %s", d.Cmd)
		return ""
	})
}

// crashSite is a site with servers that a request can end.
type crashSite struct {
	*platformSite
	started, calls, ended int
	storeDown             bool
	// gone are the servers that were taken off the list.
	gone []string
}

func newCrashSite(t *testing.T, servers int) *crashSite {
	t.Helper()
	p := &crashSite{platformSite: newBarePlatformSite(t)}
	p.putDocument()
	for range servers {
		p.addBoth()
	}
	return p
}

// addBoth adds a server for each service.
func (p *crashSite) addBoth() {
	p.t.Helper()
	p.add("app")
	p.add("llm")
}

// add adds a server of a service.
func (p *crashSite) add(service string) {
	p.t.Helper()
	p.started++
	p.addServer(fmt.Sprintf("%s-%d", service, p.started), "--end-on", endingText)
}

// send sends a request so many times, each under an id of its own, to the fronts in turn,
// and tells how it was answered and how many servers ended. Each of these is replaced by a
// new one, unless the store is down.
func (p *crashSite) send(fronts []string, method, target, body string, calls int) string {
	p.t.Helper()
	var answered, refused, broken, ended int
	for i := range calls {
		p.calls++
		res, _, err := p.do(fronts[i%len(fronts)], platformCall{
			id: fmt.Sprint("call-", p.calls), method: method, target: target, key: "yard-key", body: []byte(body),
		})
		switch {
		case err != nil || res.StatusCode == http.StatusBadGateway:
			broken++
		case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != "":
			refused++
		case res.StatusCode == http.StatusOK:
			answered++
		default:
			p.t.Fatal(errors.New(res.Status))
		}
		ended += p.replaceEnded()
	}
	return fmt.Sprintf("answered=%d refused=%d broken=%d ended=%d\n", answered, refused, broken, ended)
}

// writeAgain puts on the store what was written there of the servers.
func (p *crashSite) writeAgain() {
	p.t.Helper()
	for name := range p.backends {
		p.listServer(name, "ready")
	}
	for _, name := range p.gone {
		p.put("keyed.servers", name, nil)
	}
}

// lift has a front let all requests go that are held, and waits until all fronts do.
func (p *crashSite) lift(front string) string {
	p.t.Helper()
	operators := "http://" + p.fronts[front].address("operators")
	var status struct {
		Suspects []runworks.Suspect `json:"suspects"`
	}
	if !getJSON(operators+"/status", &status) {
		p.t.Fatalf("%s does not tell its status", front)
	}
	for _, s := range status.Suspects {
		req, err := http.NewRequest(http.MethodDelete, operators+"/quarantine/"+string(s.Fingerprint), nil)
		if err != nil {
			p.t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			p.t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			p.t.Fatalf("lift %s: %s", s.Fingerprint, res.Status)
		}
	}
	p.ended = 0
	p.waitFronts()
	return "lifted\n"
}

// replaceEnded takes the servers that ended off the list and starts new ones; it says how
// many ended.
func (p *crashSite) replaceEnded() int {
	p.t.Helper()
	n := 0
	for name, one := range p.backends {
		c, err := net.Dial("tcp", one.address("standin"))
		if err == nil {
			_ = c.Close()
			continue
		}
		one.waitExit()
		n++
		delete(p.backends, name)
		if !p.storeDown {
			p.put("keyed.servers", name, nil)
			p.gone = append(p.gone, name)
			p.add(name[:len("app")])
		}
	}
	if n > 0 {
		p.ended += n
		p.waitFronts()
	}
	return n
}

// waitFronts waits until all fronts know what ended, which takes some ms on a busy host, and
// just the servers that there are.
func (p *crashSite) waitFronts() {
	p.t.Helper()
	for name, one := range p.fronts {
		select {
		case <-one.done:
			continue
		default:
		}
		p.waitFor(name+" knows what ended", func() bool { return p.knownEnds(one) == p.ended })
		if !p.storeDown {
			p.waitFor(name+" knows the servers", func() bool { return p.knowsServers(one) })
		}
	}
}

// knownEnds gives how many servers a front knows to have ended under requests.
func (p *crashSite) knownEnds(front *process) int {
	var status struct {
		Suspects []runworks.Suspect `json:"suspects"`
	}
	n := 0
	if getJSON("http://"+front.address("operators")+"/status", &status) {
		for _, s := range status.Suspects {
			n += len(s.Exits)
		}
	}
	return n
}

// recordedEnds gives how many servers are on the store's record as ended under requests.
func (p *crashSite) recordedEnds() int {
	var page struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
		HasMore bool `json:"hasMore"`
	}
	if !getJSON("http://"+p.store.address("standin")+"/-/log-newest?topic=keyed.suspects&part=0", &page) {
		return -1
	}
	if page.HasMore {
		p.t.Fatal("the record has more pages than this reads")
	}
	ends := map[string]bool{}
	for _, item := range page.Items {
		var s runworks.Suspect
		if err := json.Unmarshal(item.Value, &s); err != nil {
			p.t.Fatal(err)
		}
		for _, e := range s.Exits {
			ends[e.Server] = true
		}
	}
	return len(ends)
}

// knowsServers says whether a front gives calls to just the servers that there are.
func (p *crashSite) knowsServers(front *process) bool {
	var status struct {
		Servers []struct {
			ID      string `json:"id"`
			Leaving bool   `json:"leaving"`
		} `json:"servers"`
	}
	if !getJSON("http://"+front.address("operators")+"/status", &status) {
		return false
	}
	n := 0
	for _, one := range status.Servers {
		if one.Leaving {
			continue
		}
		if p.backends[one.ID] == nil {
			return false
		}
		n++
	}
	return n == len(p.backends)
}
