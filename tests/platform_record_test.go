package tests

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// serverRecord returns a backend server's record; a generation of 0 is left out.
func serverRecord(service, address, state string, generation int64) []byte {
	record := fmt.Appendf(nil, `{"service": %q, "address": %q, "zone": "a", "slots": 8, "state": %q, "seq": 1, "version": "v1", "coldRemainingMs": 0`,
		service, address, state)
	if generation > 0 {
		record = fmt.Appendf(record, `, "born": %d`, generation)
	}
	return append(record, '}')
}

// record returns the record of a backend server of the site.
func (p *platformSite) record(name, state string, generation int64) []byte {
	service, _, _ := strings.Cut(name, "-")
	record := serverRecord(service, p.backends[name].address("standin"), state, generation)
	if hall := p.halls[name]; hall != "" {
		record = bytes.Replace(record, []byte(`"zone": "a"`), fmt.Appendf(nil, `"zone": %q`, hall), 1)
	}
	return record
}

// countLogLines returns how many lines of a front's log contain all texts.
func (p *platformSite) countLogLines(front string, texts ...string) int {
	n := 0
	for line := range strings.Lines(p.fronts[front].outputText()) {
		holds := true
		for _, text := range texts {
			holds = holds && strings.Contains(line, text)
		}
		if holds {
			n++
		}
	}
	return n
}

// TestPlatformForeignRecords checks that store records that no backend server wrote add no
// server, that each is logged and counted, and that the other servers serve on.
func TestPlatformForeignRecords(t *testing.T) {
	is := is.New(t)
	p := newPlatformSite(t, "front-1", "front-2")
	good := string(p.record("app-2", "ready", 0))
	p.backends["trap"] = startProcess(t, "trap", "standin", "routed", "--instance", "trap")
	trap := strings.Replace(good, p.backends["app-2"].address("standin"), p.backends["trap"].address("standin"), 1)
	foreign := []struct{ key, value string }{
		{"trap-1", strings.Replace(trap, `"slots": 8`, `"slots": "8"`, 1)},
		{"trap-2", strings.Replace(trap, `"state": "ready"`, `"state": "fine"`, 1)},
		{"trap-3", strings.Replace(trap, `"seq": 1, `, "", 1)},
		{"trap-4", strings.Replace(trap, `"service": "app"`, `"service": "nowhere"`, 1)},
		{"trap 5", trap},
		{"trap-6", "\xff\xfe\x00"},
		{"trap-7", strings.Replace(trap, `"slots": 8`, `"slots": 8, "born": "now"`, 1)},
		{"app-1", "{"}, // overwrites the record of a server in use
	}
	for _, one := range foreign {
		p.put("keyed.servers", one.key, []byte(one.value))
	}
	for _, front := range []string{"front-1", "front-2"} {
		for _, one := range foreign {
			p.waitFor(front+" logs "+one.key, func() bool {
				return p.countLogLines(front, "record names no backend server to use", fmt.Sprintf("%q", one.key)) == 1
			})
		}
		p.waitFor(front+" has dropped app-1", func() bool { return p.countLogLines(front, "backend server draining or removed", `"app-1"`) == 1 })
	}
	before := len(p.calls("app-1"))
	for i := range 20 {
		c := platformCall{id: fmt.Sprintf("held-%d", i), method: http.MethodGet, target: "/safe/1", key: "yard-key"}
		res, _, err := p.do([]string{"front-1", "front-2"}[i%2], c)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.Equal(len(p.calls("app-1")), before)
	is.Equal(len(p.calls("trap")), 0)
	res, err := http.Get("http://" + p.fronts["front-1"].address("operators") + "/metrics")
	is.NoErr(err)
	text, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.True(strings.Contains(string(text), fmt.Sprintf("\nrunworks_records_refused_total %d\n", len(foreign))))
	p.listServer("app-2", "draining") // the last usable server
	p.waitFor("front-1 drops app-2", func() bool { return p.countLogLines("front-1", "backend server draining or removed", `"app-2"`) == 1 })
	c := platformCall{id: "nowhere", method: http.MethodGet, target: "/safe/1", key: "yard-key"}
	answer, _, err := p.do("front-1", c)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	p.listServer("app-1", "ready") // the server rewrites its record
	c.id = "again"
	p.waitFor("app-1 is used again", func() bool {
		answer, _, err := p.do("front-1", c)
		return err == nil && answer.StatusCode == http.StatusOK
	})
	is.Equal(len(p.calls("app-1")), before+1)
}

// TestPlatformServerRestarts restarts a backend server under its id while calls run there: each
// front fails these calls at once, and sends new ones to the new incarnation, also after a late
// record of the old one.
func TestPlatformServerRestarts(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.putDocument()
	p.backends["app-1"] = startProcess(t, "app-1", "standin", "routed", "--instance", "app-1", "--delay", "1h")
	old := p.record("app-1", "ready", 1000)
	p.put("keyed.servers", "app-1", old)
	p.startFront("front-1")
	p.startFront("front-2")
	p.waitReady("front-1", 2)
	p.waitReady("front-2", 2)
	ended := make(chan int, 2)
	for _, front := range []string{"front-1", "front-2"} {
		go func() {
			res, _, err := p.do(front, platformCall{id: "lost at " + front, method: http.MethodPost, target: "/once/1", key: "yard-key"})
			if err != nil {
				ended <- 0
				return
			}
			ended <- res.StatusCode
		}()
	}
	p.waitFor("both calls run", func() bool { return len(p.calls("app-1")) == 2 })
	silent := p.backends["app-1"] // unreachable from here on, with its connections open
	p.backends["app-1"] = startProcess(t, "app-1", "standin", "routed", "--instance", "app-1")
	began := time.Now()
	p.put("keyed.servers", "app-1", p.record("app-1", "ready", 2000))
	for range 2 {
		is.Equal(<-ended, http.StatusBadGateway) // it is unknown whether they ran to the end
	}
	is.True(time.Since(began) < 3*time.Second) // their timeout is 5 s
	p.put("keyed.servers", "app-1", old)
	for _, front := range []string{"front-1", "front-2"} {
		p.waitFor("the late record is logged", func() bool { return p.countLogLines(front, "record names no backend server to use", "outdated") == 1 })
		res, _, err := p.do(front, platformCall{id: "new at " + front, method: http.MethodPost, target: "/once/2", key: "yard-key"})
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.Equal(len(p.calls("app-1")), 2)
	var calls []standin.RoutedCall
	is.True(getJSON("http://"+silent.address("standin")+"/calls", &calls))
	is.Equal(len(calls), 2)
}
