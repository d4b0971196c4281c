package tests

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silentSite is a site whose fronts reach the store and each other through proxies.
type silentSite struct {
	*platformSite
	names []string
	// stores and peers are the ways of each front to the store, and of the others to it.
	stores, peers []*proxy
}

// newSilentSite starts the site; settings are added to those of the fronts, as YAML lines.
func newSilentSite(t *testing.T, fronts int, settings string) *silentSite {
	t.Helper()
	p := &silentSite{platformSite: newBarePlatformSite(t)}
	p.extraSettings = settings
	p.putDocument()
	for _, name := range []string{"app-1", "llm-1", "llm-2"} {
		p.addServer(name)
	}
	for i := range fronts {
		name := fmt.Sprint("front-", i)
		store, peers := newProxy(t, p.store.address("standin")), newProxy(t, "")
		text := p.proxiedSettings(name, store, peers)
		p.fronts[name] = startProcess(t, name, "runworks", "front", "--settings", p.settingsFile(name, text))
		peers.setTarget(p.fronts[name].address("fronts"))
		p.names = append(p.names, name)
		p.stores, p.peers = append(p.stores, store), append(p.peers, peers)
	}
	for _, name := range p.names {
		p.waitReady(name, fronts)
	}
	return p
}

// silence makes the open connections of all fronts to the store and to each other silent.
func (p *silentSite) silence() {
	for _, one := range slices.Concat(p.stores, p.peers) {
		one.silence()
	}
}

// TestPlatformSilentConnections guards against fronts that neither learn of a change in time nor hear
// each other again once their open connections went silent.
func TestPlatformSilentConnections(t *testing.T) {
	const fronts, rounds = 4, 3
	p := newSilentSite(t, fronts, "")
	for version := int64(2); version < 2+rounds; version++ {
		silent := time.Now()
		p.silence()
		p.wait(soakReconnectBound - applyBound)
		p.put("keyed.op", "config", fmt.Appendf(nil, platformDocument, version))
		p.awaitVersion(p.names, version)
		if took := time.Since(silent); took > soakReconnectBound {
			t.Errorf("version %d was active %s after the silence", version, took)
		}
		for _, name := range p.names {
			p.waitReady(name, fronts)
		}
		if took := time.Since(silent); took > soakReconnectBound {
			t.Errorf("the fronts heard each other %s after the silence", took)
		}
	}
}

// TestPlatformSilentScheduler guards against calls that wait for a scheduler on a connection to it that
// went silent, while what the scheduler sends still arrives.
func TestPlatformSilentScheduler(t *testing.T) {
	const fronts = 3
	p := newSilentSite(t, fronts, "shared_scheduling: true")
	call := func(i int) {
		c := platformCall{id: fmt.Sprint("chat-", i), method: http.MethodPost, target: fmt.Sprintf("/chat/%d?events=3", i), key: "yard-key"}
		began := time.Now()
		res, _, err := p.do(p.names[i%fronts], c)
		if err != nil || res.StatusCode != http.StatusOK || time.Since(began) > soakReconnectBound {
			t.Errorf("%s: %v, %s", c.id, err, time.Since(began))
		}
	}
	for i := range fronts {
		call(i) // chooses the scheduler
	}
	p.peers[p.scheduler()].silence()
	var wg sync.WaitGroup
	for i := range 4 * fronts {
		wg.Go(func() { call(fronts + i) })
	}
	wg.Wait()
}

// scheduler returns the index of the front that schedules the engines' service, as the first one knows.
func (p *silentSite) scheduler() int {
	p.t.Helper()
	var status struct {
		Schedulers map[string]string `json:"schedulers"`
	}
	if !getJSON("http://"+p.fronts[p.names[0]].address("operators")+"/status", &status) {
		p.t.Fatal("the status could not be read")
	}
	i := slices.Index(p.names, status.Schedulers["llm"])
	if i < 0 {
		p.t.Fatalf("no scheduler: %v", status.Schedulers)
	}
	return i
}

// TestPlatformSilentServerConnections guards against calls that are lost one after the other on idle
// connections to a server that went silent: after the first, a new connection is used.
func TestPlatformSilentServerConnections(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.putDocument()
	p.backends["app-1"] = startProcess(t, "app-1", "standin", "routed", "--instance", "app-1", "--delay", "200ms")
	way := newProxy(t, p.backends["app-1"].address("standin"))
	p.put("keyed.servers", "app-1", serverRecord("app", way.address(), "ready", 0))
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	call := func(id string) platformCall {
		return platformCall{id: id, method: http.MethodPost, target: "/once/" + id, key: "yard-key"}
	}
	var wg sync.WaitGroup
	for i := range 4 { // leaves idle connections
		wg.Go(func() {
			if res, _, err := p.do("front-1", call(fmt.Sprint("warm-", i))); err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("call before the silence: %v", err)
			}
		})
	}
	wg.Wait()
	way.silence()
	wg.Go(func() {
		res, _, err := p.do("front-1", call("lost"))
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusGatewayTimeout)
	})
	p.waitFor("the server is unresponsive", func() bool {
		return strings.Contains(p.fronts["front-1"].outputText(), `"@message":"backend server unresponsive`)
	})
	began := time.Now()
	res, _, err := p.do("front-1", call("next"))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(time.Since(began) < time.Second)
	wg.Wait()
}

// TestPlatformReplacedServerConnections guards against calls that are lost on idle connections to a server that fell silent, once
// another one has its address.
func TestPlatformReplacedServerConnections(t *testing.T) {
	p := newBarePlatformSite(t)
	p.putDocument()
	start := func(name string) *process {
		return startProcess(t, name, "standin", "routed", "--instance", name, "--delay", "200ms")
	}
	old := start("app-1")
	p.backends["app-1"] = old
	way := newProxy(t, old.address("standin"))
	p.put("keyed.servers", "app-1", serverRecord("app", way.address(), "ready", 0))
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	callAll := func(when string) {
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				id := fmt.Sprint(when, "-", i)
				began := time.Now()
				res, _, err := p.do("front-1", platformCall{id: id, method: http.MethodPost, target: "/once/" + id, key: "yard-key"})
				if err != nil || res.StatusCode != http.StatusOK {
					t.Errorf("%s after %s: %+v, %v", id, time.Since(began), res, err)
				}
			})
		}
		wg.Wait()
	}
	callAll("before") // leaves idle connections
	way.silence()
	old.signalIfAlive(syscall.SIGKILL)
	<-old.done
	way.setTarget(start("app-2").address("standin"))
	p.put("keyed.servers", "app-1", nil)
	p.put("keyed.servers", "app-2", serverRecord("app", way.address(), "ready", 0))
	p.waitListed("app-2")
	callAll("after")
}
