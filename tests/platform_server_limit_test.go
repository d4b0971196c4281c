package tests

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

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
	playWords(t, "testdata/platform/server_limits")
}

// limit has servers name a limit from now on, or none.
func (p *wordSite) limit(servers []string, limit string) string {
	p.t.Helper()
	for _, name := range servers {
		p.setFaults(p.backends[name], standin.RoutedFaults{Limit: limit})
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
func (p *wordSite) told(fronts, servers []string, target, limit string) string {
	p.t.Helper()
	for _, front := range fronts {
		p.waitFor(front+" is told of the limits", func() bool {
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
func (p *wordSite) knows(front string, servers []string, limit string) bool {
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

// kept says of each server that names a limit whether it got more than it takes.
func (p *wordSite) kept() string {
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
func (p *wordSite) most(server string) (most, all int) {
	p.t.Helper()
	if p.from[server].IsZero() {
		return 0, 0
	}
	var arrivals []time.Time
	for _, one := range p.arrivals(server) {
		arrivals = append(arrivals, one.At)
	}
	return mostIn(arrivals, p.from[server], time.Now())
}
