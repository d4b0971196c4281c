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
	// In each limitSpan, all fronts together may send a server limitFactor times what its limit
	// allows plus limitExtra requests, from limitGrace after they learned the limit: a
	// requirement of the users.
	limitFactor = 1.5
	limitExtra  = 5
	limitSpan   = 4 * time.Second
	limitGrace  = 500 * time.Millisecond
)

// TestPlatformServerLimit checks that all fronts together keep to the rate limits that backend
// servers report, and serve callers up to them.
//
// The failure: fronts that ignore the reported limit, or that apply it each on its own, send an
// overloaded server several times its limit. Each front's own rate may be within the limit while
// their sum is not.
func TestPlatformServerLimit(t *testing.T) {
	playReports(t, "testdata/platform/server_limits")
}

// setLimit has servers report a rate limit from now on, or none.
func (p *reportSite) setLimit(servers []string, limit string) string {
	p.t.Helper()
	for _, name := range servers {
		p.setFaults(p.backends[name], standin.RoutedFaults{Limit: limit})
		delete(p.limits, name)
		delete(p.limitFrom, name)
		var n float64
		if _, err := fmt.Sscan(limit, &n); err == nil {
			p.limits[name] = n
		}
	}
	return "named\n"
}

// awaitLimits sends calls until all fronts know the servers' limits. The limits are checked from
// limitGrace later on.
func (p *reportSite) awaitLimits(fronts, servers []string, target, limit string) string {
	p.t.Helper()
	for _, front := range fronts {
		p.waitFor(front+" knows the limits", func() bool {
			p.callConcurrently(front, target)
			return p.knowsLimit(front, servers, limit)
		})
	}
	for _, name := range servers {
		p.limitFrom[name] = time.Now().Add(limitGrace)
	}
	return "told\n"
}

// knowsLimit reports whether a front knows the servers' limit.
func (p *reportSite) knowsLimit(front string, servers []string, limit string) bool {
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

// checkLimits reports for each server with a limit whether it received no more than allowed.
func (p *reportSite) checkLimits() string {
	p.t.Helper()
	names := make([]string, 0, len(p.limits))
	for name := range p.limits {
		names = append(names, name)
	}
	slices.Sort(names)
	var out strings.Builder
	for _, name := range names {
		most, all := p.maxArrivals(name)
		allowed := int(limitFactor*limitSpan.Seconds()*p.limits[name] + limitExtra)
		p.t.Logf("%s: %d calls, at most %d in %s, %d allowed", name, all, most, limitSpan, allowed)
		fmt.Fprintf(&out, "%s kept=%t used=%t\n", name, most <= allowed, all > 0)
	}
	return out.String()
}

// maxArrivals returns the most calls that a server received in one limitSpan since all fronts
// know its limit, and how many in all.
func (p *reportSite) maxArrivals(server string) (most, all int) {
	p.t.Helper()
	if p.limitFrom[server].IsZero() {
		return 0, 0
	}
	var arrivals []time.Time
	for _, one := range p.arrivals(server) {
		arrivals = append(arrivals, one.At)
	}
	return maxInSpan(arrivals, p.limitFrom[server], time.Now())
}
