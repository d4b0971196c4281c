package tests

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/standin"
)

// callerPause is the time from one call of a caller to its next.
const callerPause = 25 * time.Millisecond

// wordSite is a site of separate processes with servers that say things of themselves in
// their answers.
type wordSite struct {
	*platformSite
	mu    sync.Mutex
	calls int
	// sent is when callers sent their calls, by id, and passed when a front passed on the
	// first answer by which a server said that it leaves.
	sent   map[string]time.Time
	passed map[frontServer]time.Time
	// limits are the limits that servers name, in requests a second, and from when on they
	// hold at all fronts.
	limits map[string]float64
	from   map[string]time.Time
}

// frontServer names a front and a server that it has calls at.
type frontServer struct{ front, server string }

// playWords plays a script of what servers say of themselves.
func playWords(t *testing.T, path string) {
	t.Helper()
	var p *wordSite
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		a := scanScript(t, d)
		if d.Cmd == "site" {
			p = newWordSite(t, a.servers)
		}
		if out := p.stepFronts(d.Cmd, a.fronts); out != "" {
			return out
		}
		if out := p.stepWords(d.Cmd, &a); out != "" {
			return out
		}
		t.Fatalf("no command %s", d.Cmd)
		return ""
	})
}

// stepWords does a step of a script; it gives nothing for one that it does not know.
func (p *wordSite) stepWords(step string, a *scriptArgs) string {
	p.t.Helper()
	switch step {
	case "load":
		return p.load(a.fronts, a.target, a.callers, a.lasts)
	case "limit":
		return p.limit(a.servers, a.limit)
	case "told":
		return p.told(a.fronts, a.servers, a.target, a.limit)
	case "kept":
		return p.kept()
	case "leave":
		return p.leave(a.servers)
	case "passed-on":
		return p.passedOn(a.fronts, a.servers, a.target)
	case "know":
		return p.knowLeaving(a.fronts, a.servers)
	case "late":
		return p.late()
	case "rest":
		return p.rest(a.servers, a.lasts)
	case "rested":
		return p.rested()
	case "back":
		return p.back(a.fronts[0], a.servers, a.target, a.lasts)
	}
	return ""
}

func newWordSite(t *testing.T, servers []string) *wordSite {
	t.Helper()
	p := &wordSite{
		platformSite: newBarePlatformSite(t), sent: map[string]time.Time{}, passed: map[frontServer]time.Time{},
		limits: map[string]float64{}, from: map[string]time.Time{},
	}
	p.putDocument()
	for _, name := range servers {
		p.addServer(name, "--delay", "20ms")
	}
	return p
}

// arrivals gives the calls that came to a server.
func (p *wordSite) arrivals(server string) []standin.RoutedArrival {
	p.t.Helper()
	var out []standin.RoutedArrival
	if !getJSON("http://"+p.backends[server].address("standin")+"/arrivals", &out) {
		p.t.Fatalf("%s does not tell its arrivals", server)
	}
	return out
}

// frontOf gives the front that a call was sent to.
func frontOf(id string) string {
	front, _, _ := strings.Cut(id, "/")
	return front
}

// callResult says how a caller was answered.
type callResult struct {
	status int
	// retryAfter is when to come back; 0 if that is not told.
	retryAfter time.Duration
}

// call sends one call, and notes if its answer says that its server leaves.
func (p *wordSite) call(front, target string) callResult {
	p.t.Helper()
	p.mu.Lock()
	p.calls++
	id := fmt.Sprint(front, "/", p.calls)
	p.sent[id] = time.Now()
	p.mu.Unlock()
	method := http.MethodPost
	if strings.HasPrefix(target, "/safe/") {
		method = http.MethodGet
	}
	res, _, err := p.do(front, platformCall{id: id, method: method, target: target, key: "yard-key"})
	if err != nil {
		p.t.Error(err)
		return callResult{}
	}
	if res.Header.Get(standin.HeaderRoutedDraining) != "" {
		p.mu.Lock()
		key := frontServer{front, res.Header.Get(standin.HeaderRoutedSignature)}
		if p.passed[key].IsZero() {
			p.passed[key] = time.Now()
		}
		p.mu.Unlock()
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return callResult{status: res.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// callAtOnce sends some calls for each server at once: a front prefers one server for calls
// that come one after the other.
func (p *wordSite) callAtOnce(front, target string) {
	var wg sync.WaitGroup
	for range 2 * len(p.backends) {
		wg.Go(func() { p.call(front, target) })
	}
	wg.Wait()
}

// load has callers at each of the fronts call for a while, and tells how they were answered.
func (p *wordSite) load(fronts []string, target string, callers int, lasts time.Duration) string {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	var mu sync.Mutex
	var results []callResult
	var wg sync.WaitGroup
	for _, front := range fronts {
		for range callers {
			wg.Go(func() {
				for ctx.Err() == nil {
					r := p.call(front, target)
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
					pause.For(ctx, callerPause)
				}
			})
		}
	}
	wg.Wait()
	served, refused, other := 0, 0, 0
	for _, r := range results {
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status == http.StatusServiceUnavailable && r.retryAfter > 0:
			refused++
		default:
			other++
		}
	}
	p.t.Logf("%d served, %d refused, %d answered in other ways", served, refused, other)
	return fmt.Sprintf("served=%t refused=%t other=%d\n", served > 0, refused > 0, other)
}
