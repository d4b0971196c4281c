package tests

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/standin"
)

const (
	// A server may get limitSlack times what its limit allows in limitSpan, and limitExtra
	// requests more, from all fronts together, once they were told toldBefore before: the
	// users' rule.
	limitSlack = 1.5
	limitExtra = 5
	limitSpan  = 4 * time.Second
	toldBefore = 500 * time.Millisecond
	// callerPause is the time from one call of a caller to its next.
	callerPause = 25 * time.Millisecond
)

// TestPlatformServerLimit keeps to the limits that backend servers name, over all fronts
// together, and serves callers with what the servers take.
//
// What users saw: servers in need named a limit in their answers, and went on getting what
// they had before: 20 calls in four seconds where 8.8 were named, 13 where 4 were.
//
// The order of events: on a calm day two servers of nine began to name limits of 2.2 and 1
// calls a second. All five fronts were told within a second. Each sent on as before.
//
// The cause: no front read the limit, and none could have kept it alone: no front sent more
// than 7 calls in four seconds, and five fronts together 23.
//
// The evidence: the lines of the fronts hold the same number of calls at these servers before
// and after; no repeats, none turned away. With a line for each word of a server, each front
// tells within the second that it was told, and its calls go on.
func TestPlatformServerLimit(t *testing.T) {
	var p *serverLimitSite
	datadriven.RunTest(t, "testdata/platform/server_limits", func(t *testing.T, d *datadriven.TestData) string {
		a := scanScript(t, d)
		if d.Cmd == "site" {
			p = newServerLimitSite(t, a.servers)
		}
		switch d.Cmd {
		case "site", "start", "kill":
			return p.stepFronts(d.Cmd, a.fronts)
		case "limit":
			return p.limit(a.servers, a.limit)
		case "load":
			return p.load(a.fronts, a.target, a.callers, a.lasts)
		case "told":
			return p.told(a.fronts, a.servers, a.target, a.limit)
		case "kept":
			return p.kept()
		}
		t.Fatalf("no command %s", d.Cmd)
		return ""
	})
}

// serverLimitSite is a site with servers that name limits.
type serverLimitSite struct {
	*platformSite
	mu    sync.Mutex
	calls int
	// limits are the limits that servers name, in requests a second, and from when on they
	// hold at all fronts.
	limits map[string]float64
	from   map[string]time.Time
}

func newServerLimitSite(t *testing.T, servers []string) *serverLimitSite {
	t.Helper()
	p := &serverLimitSite{platformSite: newBarePlatformSite(t), limits: map[string]float64{}, from: map[string]time.Time{}}
	p.putDocument()
	for _, name := range servers {
		p.addServer(name, "--delay", "20ms")
	}
	return p
}

// limit has servers name a limit from now on, or none.
func (p *serverLimitSite) limit(servers []string, limit string) string {
	p.t.Helper()
	for _, name := range servers {
		p.setFaults(p.backend[name], standin.RoutedFaults{Limit: limit})
		delete(p.limits, name)
		delete(p.from, name)
		var n float64
		if _, err := fmt.Sscan(limit, &n); err == nil {
			p.limits[name] = n
		}
	}
	return "named\n"
}

// told sends calls until all fronts know what the servers say of the requests that they
// take. From half a second later on it is looked whether the servers get more.
func (p *serverLimitSite) told(fronts, servers []string, target, limit string) string {
	p.t.Helper()
	for _, front := range fronts {
		p.until(front+" is told of the limits", func() bool {
			p.callAtOnce(front, target)
			return p.knows(front, servers, limit)
		})
	}
	for _, name := range servers {
		p.from[name] = time.Now().Add(toldBefore)
	}
	return "told\n"
}

// knows says whether a front knows what servers say of the requests that they take.
func (p *serverLimitSite) knows(front string, servers []string, limit string) bool {
	var status struct {
		Servers []struct {
			ID    string `json:"id"`
			Limit struct {
				PerSecond float64 `json:"per_second"`
			} `json:"limit"`
		} `json:"servers"`
	}
	if !getJSON("http://"+p.fronts[front].address("operators")+"/status", &status) {
		return false
	}
	for _, one := range status.Servers {
		if slices.Contains(servers, one.ID) && fmt.Sprint(one.Limit.PerSecond) != limit {
			return false
		}
	}
	return true
}

// callResult says how a caller was answered.
type callResult struct {
	status     int
	retryAfter bool
	took       time.Duration
}

// call sends one call.
func (p *serverLimitSite) call(front, target string) callResult {
	p.t.Helper()
	p.mu.Lock()
	p.calls++
	id := fmt.Sprint("limited-", p.calls)
	p.mu.Unlock()
	method := http.MethodPost
	if strings.HasPrefix(target, "/safe/") {
		method = http.MethodGet
	}
	began := time.Now()
	res, _, err := p.do(front, platformCall{id: id, method: method, target: target, key: "yard-key"})
	if err != nil {
		p.t.Error(err)
		return callResult{}
	}
	return callResult{status: res.StatusCode, retryAfter: res.Header.Get("Retry-After") != "", took: time.Since(began)}
}

// callAtOnce sends some calls for each server at once: a front prefers one server for calls
// that come one after the other.
func (p *serverLimitSite) callAtOnce(front, target string) {
	var wg sync.WaitGroup
	for range 2 * len(p.backend) {
		wg.Go(func() { p.call(front, target) })
	}
	wg.Wait()
}

// load has callers at each of the fronts call for a while, and tells how they were answered.
func (p *serverLimitSite) load(fronts []string, target string, callers int, lasts time.Duration) string {
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
		case r.status == http.StatusServiceUnavailable && r.retryAfter:
			refused++
		default:
			other++
		}
	}
	p.t.Logf("%d served, %d refused, %d answered in other ways", served, refused, other)
	return fmt.Sprintf("served=%t refused=%t other=%d\n", served > 0, refused > 0, other)
}

// kept says of each server that names a limit whether it got more than it takes.
func (p *serverLimitSite) kept() string {
	p.t.Helper()
	names := make([]string, 0, len(p.limits))
	for name := range p.limits {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	for _, name := range names {
		most, all := p.most(name)
		allowed := int(limitSlack*limitSpan.Seconds()*p.limits[name] + limitExtra)
		p.t.Logf("%s: %d calls, at most %d in %s, %d allowed", name, all, most, limitSpan, allowed)
		fmt.Fprintf(&out, "%s kept=%t used=%t\n", name, most <= allowed, all > 0)
	}
	return out.String()
}

// most gives the most calls that a server got in the span of its limit since all fronts were
// told, and how many in all.
func (p *serverLimitSite) most(server string) (most, all int) {
	p.t.Helper()
	var arrivals []time.Time
	if !getJSON("http://"+p.backend[server].address("standin")+"/arrivals", &arrivals) {
		p.t.Fatalf("%s does not tell its arrivals", server)
	}
	if p.from[server].IsZero() {
		return 0, 0
	}
	return mostIn(arrivals, p.from[server], time.Now())
}
