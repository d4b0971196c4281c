package tests

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// soakCrashSeeds is the first seed with calls that share a part of their prompt which crashes servers.
	soakCrashSeeds = 900_000
	// soakCrashCallers is the number of callers that send such calls, soakCrashPause their time between
	// two of them, and soakCrashStart when they begin.
	soakCrashCallers = 2
	soakCrashPause   = 200 * time.Millisecond
	soakCrashStart   = time.Second
	// soakCrashRecord is how long the record of a server that crashed stays, and how often the platform
	// looks for servers that did.
	soakCrashRecord = 250 * time.Millisecond
	// soakCrashContact is the time from the maxCrashes-th crash from which at most soakLateCrashes calls
	// with the part may reach servers.
	soakCrashContact = 3 * time.Second
	soakLateCrashes  = 3
)

// crashesServers reports whether calls crash servers. Servers have no proxies then, as these accept
// connections for a server that exited.
func (s *soak) crashesServers() bool { return s.seed >= soakCrashSeeds && s.seed < soakMoveSeeds }

// crashFaults replaces servers that crashed, all the time.
func (s *soak) crashFaults() []soakStep {
	var steps []soakStep
	for at := soakCrashStart; at < s.faultTime; at += soakCrashRecord {
		steps = append(steps, soakStep{at: at, name: "servers that crashed are replaced", do: s.replaceCrashed})
	}
	return steps
}

func (s *soak) replaceCrashed() {
	for _, server := range s.servers {
		if server.current().ended() {
			s.putRecord(server, "")
			s.startServer(server)
		}
	}
}

// nextCrashCall draws a call with the part that crashes servers; nil before they begin.
func (s *soak) nextCrashCall(rng *rand.Rand, lane, i int) *soakCall {
	if time.Since(s.began) < soakCrashStart {
		return nil
	}
	c := s.nextCall(rng, lane, i)
	kind := platformTargets[3+rng.IntN(2)] // the two kinds of stream
	c.method, c.target, c.key, c.events = kind.method, fmt.Sprintf(kind.target, lane*100000+i), "yard-key", kind.events
	c.repeatable, c.crashes = strings.HasPrefix(c.target, "/chat/long/"), true
	c.setParts("base", crashPart)
	return c
}

// setParts gives a call a prompt that shares parts.
func (c *soakCall) setParts(parts ...string) {
	c.header = http.Header{"X-Prompt-Prefix": {strings.Join(parts, ":100,") + ":100,own-" + c.id + ":10"}}
}

// checkCrashes checks that calls with the part stop reaching servers, and that others with the rest of
// their parts are not refused for them.
func (s *soak) checkCrashes(runs map[string][]string) {
	if !s.crashesServers() {
		return
	}
	crashed := s.crashTimes(runs)
	s.t.Logf("%d calls reached a server with the part that crashes it", len(crashed))
	if len(crashed) == 0 {
		return
	}
	settled := crashed[min(len(crashed), maxCrashes)-1].Add(soakCrashContact)
	late, refused, others := 0, 0, 0
	for _, c := range s.clients.calls {
		switch {
		case !c.sent.After(settled):
		case c.crashes && len(runs[c.id]) > 0:
			late++
		case !c.crashes && c.events > 0 && s.allowedNow(c):
			others++
			if c.status == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	if late > soakLateCrashes {
		s.t.Errorf("%d calls with the part reached servers more than %s after %d had crashed", late, soakCrashContact, min(len(crashed), maxCrashes))
	}
	if 2*refused > others {
		s.t.Errorf("%d of %d other streams were refused", refused, others)
	}
}

// crashTimes returns when calls crashed servers, in order.
func (s *soak) crashTimes(runs map[string][]string) []time.Time {
	var out []time.Time
	for _, c := range s.clients.calls {
		if c.crashes && len(runs[c.id]) > 0 {
			out = append(out, c.ended)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// TestSoakChecksCrashes checks that the soak's check reports calls that go on crashing servers, and others
// that are refused for them, and nothing else.
func TestSoakChecksCrashes(t *testing.T) {
	for _, one := range []struct {
		late, refused int
		wrong         bool
	}{{soakLateCrashes, 10, false}, {soakLateCrashes + 1, 0, true}, {0, 11, true}} {
		caught := &errorRecorder{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, soakSeed: soakSeed{seed: soakCrashSeeds}, began: time.Now()}
		runs := map[string][]string{}
		add := func(at time.Duration, crashes bool, status int) {
			c := &soakCall{sent: s.began.Add(at), ended: s.began.Add(at), crashes: crashes, status: status, events: 7}
			c.id, c.key = fmt.Sprint("c", len(s.clients.calls)), "yard-key"
			if crashes {
				runs[c.id] = []string{"ran"}
			}
			s.clients.calls = append(s.clients.calls, c)
		}
		for range maxCrashes {
			add(time.Second, true, 0)
		}
		for range one.late {
			add(5*time.Second, true, 0)
		}
		for i := range 20 {
			status := http.StatusOK
			if i < one.refused {
				status = http.StatusServiceUnavailable
			}
			add(5*time.Second, false, status)
		}
		s.checkCrashes(runs)
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("%+v: %q", one, caught.errs)
		}
	}
}
