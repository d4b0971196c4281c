package tests

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/standin"
)

const (
	// A draining server receives no call from a front that a caller sent later than drainBound
	// after the front forwarded the report: a requirement of the users.
	drainBound = 2 * time.Second
	// A server that asked a front to back off receives at most backoffExtra calls from it between
	// backoffGrace after the request and the end of the back-off: a requirement of the users.
	backoffGrace = 500 * time.Millisecond
	backoffExtra = 2
	// retryAfterSlack bounds how long after the end of a back-off the Retry-After of refused
	// callers may be: it is spread.
	retryAfterSlack = time.Second
)

// TestPlatformServerDraining checks that servers that report draining in their responses receive
// no more calls, and that the other servers serve.
//
// The failure: while the store is unreachable a server's record does not show that it drains, and
// fronts that know of draining from the store alone go on sending calls, although the responses
// that they forward report it.
func TestPlatformServerDraining(t *testing.T) {
	playReports(t, "testdata/platform/server_leaves")
}

// TestPlatformServerBackoff checks that servers that reject a front's calls and ask it to back
// off receive nothing from it until then, are fully loaded again afterwards, and that callers get
// a matching Retry-After if all servers ask for back-off.
//
// The failure: a front that ignores the requested back-off tries the servers again within
// milliseconds and uses up its retry budget, so that it refuses callers although other servers
// have capacity, with a Retry-After that is too short.
func TestPlatformServerBackoff(t *testing.T) {
	playReports(t, "testdata/platform/server_rests")
}

// setDraining has servers report draining from now on, in their responses alone.
func (p *reportSite) setDraining(servers []string) string {
	p.t.Helper()
	for _, name := range servers {
		p.setFaults(p.backends[name], standin.RoutedFaults{Draining: true})
	}
	return "said\n"
}

// awaitDrainForwarded sends calls until each front has forwarded the draining report of each
// server.
func (p *reportSite) awaitDrainForwarded(fronts, servers []string, target string) string {
	p.t.Helper()
	for _, front := range fronts {
		for _, server := range servers {
			p.waitFor(fmt.Sprintf("%s has forwarded that %s drains", front, server), func() bool {
				p.callConcurrently(front, target)
				return !p.drainForwarded[frontServer{front, server}].IsZero()
			})
		}
	}
	return "passed on\n"
}

// awaitDraining waits until the fronts know that the servers drain.
func (p *reportSite) awaitDraining(fronts, servers []string) string {
	p.t.Helper()
	for _, front := range fronts {
		p.waitFor(front+" knows the draining servers", func() bool { return p.knowsDraining(front, servers) })
	}
	return "known\n"
}

// knowsDraining reports whether a front knows that the servers drain.
func (p *reportSite) knowsDraining(front string, servers []string) bool {
	var status struct {
		Servers []struct {
			ID      string `json:"id"`
			Leaving bool   `json:"leaving"`
		} `json:"servers"`
	}
	if !getJSON("http://"+p.fronts[front].address("operators")+"/status", &status) {
		return false
	}
	for _, one := range status.Servers {
		if slices.Contains(servers, one.ID) && !one.Leaving {
			return false
		}
	}
	return true
}

// lateCalls returns how many calls reached draining servers later than allowed.
func (p *reportSite) lateCalls() string {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for name := range p.backends {
		for _, one := range p.arrivals(name) {
			since := p.drainForwarded[frontServer{frontOf(one.ID), name}]
			if after := p.sent[one.ID].Sub(since); !since.IsZero() && after > drainBound {
				p.t.Logf("%s arrived at %s, sent %s after its front forwarded that the server drains", one.ID, name, after)
				late++
			}
		}
	}
	return fmt.Sprintf("late=%d\n", late)
}

// setBackoff has servers reject calls from now on and ask for back-off, or neither if it is 0.
func (p *reportSite) setBackoff(servers []string, d time.Duration) string {
	p.t.Helper()
	for _, name := range servers {
		p.setFaults(p.backends[name], standin.RoutedFaults{Backoff: d.Seconds()})
	}
	return "said\n"
}

// checkBackoffs reports for each server that asked for back-off whether all fronts complied, and
// whether it has served calls since the last time it asked.
func (p *reportSite) checkBackoffs() string {
	p.t.Helper()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(p.backends)) {
		arrivals := p.arrivals(name)
		asked, served, most := false, 0, 0
		for i, one := range arrivals {
			if one.Backoff == 0 {
				served++
				continue
			}
			asked, served = true, 0
			most = max(most, callsInBackoff(arrivals[i+1:], one))
		}
		if asked {
			p.t.Logf("%s: at most %d calls of a front in one back-off, %d served after the last", name, most, served)
			fmt.Fprintf(&out, "%s rested=%t serves=%t\n", name, most <= backoffExtra, served > 0)
		}
	}
	return out.String()
}

// callsInBackoff counts the calls that the front of a rejected call sent during the back-off.
func callsInBackoff(later []standin.RoutedArrival, asked standin.RoutedArrival) int {
	n := 0
	end := time.Duration(asked.Backoff * float64(time.Second))
	for _, one := range later {
		if since := one.At.Sub(asked.At); frontOf(one.ID) == frontOf(asked.ID) && since > backoffGrace && since < end {
			n++
		}
	}
	return n
}

// retryAfterBackoff has all servers of a service ask for back-off, once each, until a caller is
// refused; the caller has to be served when it retries after the Retry-After.
func (p *reportSite) retryAfterBackoff(front string, servers []string, target string, d time.Duration) string {
	p.t.Helper()
	p.setBackoff(servers, d)
	var r callResult
	p.waitFor("a caller is refused as all servers ask for back-off", func() bool {
		r = p.call(front, target)
		return r.status == http.StatusServiceUnavailable && r.retryAfter > d/2
	})
	p.setBackoff(servers, 0)
	pause.For(p.t.Context(), r.retryAfter)
	again := p.call(front, target)
	return fmt.Sprintf("in-time=%t served=%t\n", r.retryAfter < d+retryAfterSlack, again.status == http.StatusOK)
}
