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

// callerPause is the time between two calls of one caller.
const callerPause = 25 * time.Millisecond

// reportSite is a platform site with servers that attach reports to their responses.
type reportSite struct {
	*platformSite
	mu    sync.Mutex
	calls int
	// sent holds when callers sent their calls, by id.
	sent map[string]time.Time
	// drainForwarded holds when a front forwarded the first response by which a server reports
	// draining.
	drainForwarded map[frontServer]time.Time
	// limits are the rate limits that servers report, in requests per second.
	limits map[string]float64
	// limitFrom is from when on all fronts have to enforce a limit.
	limitFrom map[string]time.Time
}

type frontServer struct{ front, server string }

// playReports plays a script of server reports.
func playReports(t *testing.T, path string) {
	t.Helper()
	var p *reportSite
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		a := scanScript(t, d)
		if d.Cmd == "site" {
			p = newReportSite(t, a.servers)
		}
		if out := p.stepFronts(d.Cmd, a.fronts); out != "" {
			return out
		}
		if out := p.stepReports(d.Cmd, &a); out != "" {
			return out
		}
		t.Fatalf("no command %s", d.Cmd)
		return ""
	})
}

// stepReports runs a step of a script; it returns an empty string for an unknown step.
func (p *reportSite) stepReports(step string, a *scriptArgs) string {
	p.t.Helper()
	switch step {
	case "load":
		return p.load(a.fronts, a.target, a.callers, a.duration)
	case "limit":
		return p.setLimit(a.servers, a.limit)
	case "told":
		return p.awaitLimits(a.fronts, a.servers, a.target, a.limit)
	case "kept":
		return p.checkLimits()
	case "leave":
		return p.setDraining(a.servers)
	case "passed-on":
		return p.awaitDrainForwarded(a.fronts, a.servers, a.target)
	case "know":
		return p.awaitDraining(a.fronts, a.servers)
	case "late":
		return p.lateCalls()
	case "rest":
		return p.setBackoff(a.servers, a.duration)
	case "rested":
		return p.checkBackoffs()
	case "back":
		return p.retryAfterBackoff(a.fronts[0], a.servers, a.target, a.duration)
	}
	return ""
}

func newReportSite(t *testing.T, servers []string) *reportSite {
	t.Helper()
	p := &reportSite{
		platformSite: newBarePlatformSite(t), sent: map[string]time.Time{}, drainForwarded: map[frontServer]time.Time{},
		limits: map[string]float64{}, limitFrom: map[string]time.Time{},
	}
	p.putDocument()
	for _, name := range servers {
		p.addServer(name, "--delay", "20ms")
	}
	return p
}

// arrivals returns the calls that arrived at a server, including those that did not run.
func (p *reportSite) arrivals(server string) []standin.RoutedArrival {
	p.t.Helper()
	var out []standin.RoutedArrival
	if !getJSON("http://"+p.backends[server].address("standin")+"/arrivals", &out) {
		p.t.Fatalf("%s: no arrivals", server)
	}
	return out
}

// frontOf returns the front that a call was sent to.
func frontOf(id string) string {
	front, _, _ := strings.Cut(id, "/")
	return front
}

// callResult is how a call was answered.
type callResult struct {
	status int
	// retryAfter is the Retry-After of the response; 0 without one.
	retryAfter time.Duration
}

// call sends one call, and records whether its response reports that its server drains.
func (p *reportSite) call(front, target string) callResult {
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
		if p.drainForwarded[key].IsZero() {
			p.drainForwarded[key] = time.Now()
		}
		p.mu.Unlock()
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return callResult{status: res.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// callConcurrently sends two concurrent calls per server: a front prefers one server for
// sequential calls.
func (p *reportSite) callConcurrently(front, target string) {
	var wg sync.WaitGroup
	for range 2 * len(p.backends) {
		wg.Go(func() { p.call(front, target) })
	}
	wg.Wait()
}

// load runs callers at each of the fronts for a while, and returns how they were answered.
func (p *reportSite) load(fronts []string, target string, callers int, d time.Duration) string {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
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
	p.t.Logf("%d served, %d refused, %d answered otherwise", served, refused, other)
	return fmt.Sprintf("served=%t refused=%t other=%d\n", served > 0, refused > 0, other)
}
