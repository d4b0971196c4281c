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
	// A server that says that it leaves gets nothing from a front that a caller sent later
	// than leaveBound after the front passed that on: the users' rule.
	leaveBound = 2 * time.Second
	// A server that asked a front for rest gets at most restExtra calls from it between
	// restBound after that and the end of the time: the users' rule.
	restBound = 500 * time.Millisecond
	restExtra = 2
	// backSlack is how much later than the rest's end those are told to come back at the
	// latest whom all servers' rest kept out: they are spread.
	backSlack = time.Second
)

// TestPlatformServerLeaves sends nothing more to servers that say in their answers that they
// leave, and keeps serving with the others.
//
// What users saw: a server had said in an answer that it leaves, and 2 to 7 s later it got
// calls from the very front that had passed that answer on.
//
// The order of events: the platform's store could not be written or read for 13 s. A server
// began to leave meanwhile, and said so in all its answers. Its record said it when the store
// was back; until then all fronts sent it calls as before.
//
// The cause: no front read the word. That a server leaves was known from the store alone.
//
// The evidence: the fronts' lines tell of the leaving 10 ms after the store took the record,
// and of calls there that were sent, as their first choice, seconds after the word.
func TestPlatformServerLeaves(t *testing.T) {
	playWords(t, "testdata/platform/server_leaves")
}

// TestPlatformServerRests sends nothing to servers that turn a front away and ask it for rest,
// has their full load back after it, and tells callers when to come back if all of them rest.
//
// What users saw: a server had asked a front for three seconds of rest, and got up to 16 calls
// from it in that time; a tenth of the callers and more were not served.
//
// The order of events: three servers of nine turned every call away for eight seconds, and
// asked for rest in each of these answers. Each front sent them the next call 30 ms later, and
// so used up what it may send once more: callers were refused, and told to come back after
// 0.2 s.
//
// The cause: no front read the word. A server that turns a call away was left out for the time
// in which a slot becomes free, whatever it asked for.
//
// The evidence: by the fronts' lines the three got 153 calls in five seconds, as first choices;
// calls were refused after one server, while six others served.
func TestPlatformServerRests(t *testing.T) {
	playWords(t, "testdata/platform/server_rests")
}

// leave has servers say from now on, in their answers alone, that they leave.
func (p *wordSite) leave(servers []string) string {
	p.t.Helper()
	for _, name := range servers {
		p.setFaults(p.backends[name], standin.RoutedFaults{Draining: true})
	}
	return "said\n"
}

// passedOn sends calls until each of the fronts has passed on the word of each of the servers.
func (p *wordSite) passedOn(fronts, servers []string, target string) string {
	p.t.Helper()
	for _, front := range fronts {
		for _, server := range servers {
			p.waitFor(fmt.Sprintf("%s has passed on that %s leaves", front, server), func() bool {
				p.callAtOnce(front, target)
				return !p.passed[frontServer{front, server}].IsZero()
			})
		}
	}
	return "passed on\n"
}

// knowLeaving waits until fronts know that servers leave.
func (p *wordSite) knowLeaving(fronts, servers []string) string {
	p.t.Helper()
	for _, front := range fronts {
		p.waitFor(front+" knows who leaves", func() bool { return p.knowsLeaving(front, servers) })
	}
	return "known\n"
}

// knowsLeaving says whether a front knows that servers leave.
func (p *wordSite) knowsLeaving(front string, servers []string) bool {
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

// late says how many calls reached servers that their fronts should not have sent there any
// more.
func (p *wordSite) late() string {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for name := range p.backends {
		for _, one := range p.arrivals(name) {
			since := p.passed[frontServer{frontOf(one.ID), name}]
			if after := p.sent[one.ID].Sub(since); !since.IsZero() && after > leaveBound {
				p.t.Logf("%s came to %s, sent %s after its front passed on that this leaves", one.ID, name, after)
				late++
			}
		}
	}
	return fmt.Sprintf("late=%d\n", late)
}

// rest has servers turn calls away from now on and ask for a time of rest, or for none.
func (p *wordSite) rest(servers []string, lasts time.Duration) string {
	p.t.Helper()
	for _, name := range servers {
		p.setFaults(p.backends[name], standin.RoutedFaults{Backoff: lasts.Seconds()})
	}
	return "said\n"
}

// rested says of each server that asked for rest whether all fronts gave it that, and whether
// it served calls since it last asked.
func (p *wordSite) rested() string {
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
			most = max(most, inRest(arrivals[i+1:], one))
		}
		if asked {
			p.t.Logf("%s: at most %d calls of a front in a rest, %d served after the last", name, most, served)
			fmt.Fprintf(&out, "%s rested=%t serves=%t\n", name, most <= restExtra, served > 0)
		}
	}
	return out.String()
}

// inRest counts the calls that the front of one that was turned away sent in the time of rest.
func inRest(later []standin.RoutedArrival, asked standin.RoutedArrival) int {
	n := 0
	end := time.Duration(asked.Backoff * float64(time.Second))
	for _, one := range later {
		if since := one.At.Sub(asked.At); frontOf(one.ID) == frontOf(asked.ID) && since > restBound && since < end {
			n++
		}
	}
	return n
}

// back has all servers of a service ask for rest, one time each, until a caller is refused; it
// comes back when it is told to, and is served.
func (p *wordSite) back(front string, servers []string, target string, lasts time.Duration) string {
	p.t.Helper()
	p.rest(servers, lasts)
	var r callResult
	p.waitFor("a caller is refused for the rest of all servers", func() bool {
		r = p.call(front, target)
		return r.status == http.StatusServiceUnavailable && r.retryAfter > lasts/2
	})
	p.rest(servers, 0)
	pause.For(p.t.Context(), r.retryAfter)
	again := p.call(front, target)
	return fmt.Sprintf("in-time=%t served=%t\n", r.retryAfter < lasts+backSlack, again.status == http.StatusOK)
}
