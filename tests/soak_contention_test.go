package tests

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// soakContentionSeeds is the first seed with engines of three speeds that have few slots, a burst
	// of one customer, and callers that return once after a refusal, at the time that they were told.
	soakContentionSeeds = 600_000
	// soakScheduledSeeds is the first of these seeds with which one front schedules the engines for all.
	soakScheduledSeeds = 650_000
	// soakBurstCallers is the number of concurrent callers of the burst, and soakBurstPause their
	// time between two calls. The engines together have 12 slots and serve some 25 streams per
	// second, so that about half of them is refused.
	soakBurstCallers  = 100
	soakBurstPause    = 100 * time.Millisecond
	soakBurstDuration = 4 * time.Second
	// soakEventDelay is the time between two events of an engine of the usual speed.
	soakEventDelay = 60 * time.Millisecond
	// soakReturnDivisor: callers return within this part of the time that they have left.
	soakReturnDivisor = 3
	// soakStarvedShare is the part of the ratio of all calls served below which a customer or a rank
	// is starved. It applies from soakStarvedCalls calls on.
	soakStarvedShare = 0.25
	soakStarvedCalls = 40
)

// keyBurst is the key of the customer with the burst.
const keyBurst = "burst-key"

// soakCustomers holds the customers of the keys that all documents contain.
var soakCustomers = map[string]string{"yard-key": "yard", keyBusy: "busy", keyBurst: "burst"}

// contends reports whether the schedule has contention for engines.
func (s *soak) contends() bool { return s.seed >= soakContentionSeeds && s.seed < soakSilenceSeeds }

// contentionDocument returns a document with the burst's customer and fewer slots.
func (s *soak) contentionDocument(document string) string {
	if !s.contends() {
		return document
	}
	document = strings.Replace(document, `"slots": 8`, `"slots": 4`, 1)
	return strings.Replace(document, `"tenants": [`, fmt.Sprintf(`"tenants": [{"name": "burst", "apiKeys": [%q]}, `, keyBurst), 1)
}

// delays returns the delays of the servers, by their position; the first appServers are those of app.
func (s *soak) delays() []time.Duration {
	usual := 5 * time.Millisecond
	switch {
	case s.platformOnly():
		return soakPlatformDelays()
	case s.closesPaths():
		return []time.Duration{8 * usual, 8 * usual, 2 * usual, 2 * usual, 2 * usual, 2 * usual}
	case s.joinsStreams():
		return []time.Duration{usual, usual, 2 * usual, 2 * usual, 2 * usual, 2 * usual}
	case !s.contends():
		return []time.Duration{usual, usual, usual, usual, usual}
	}
	return []time.Duration{usual, usual, soakEventDelay * 55 / 100, soakEventDelay, soakEventDelay * 28 / 10}
}

// nextBurstCall draws a call of the burst; nil outside of its time.
func (s *soak) nextBurstCall(rng *rand.Rand, lane, i int) *soakCall {
	if at := time.Now(); !s.inBurst(at) {
		return nil
	}
	c := s.nextCall(rng, lane, i)
	kind := platformTargets[3+rng.IntN(2)] // the two kinds of stream
	c.method, c.target, c.key, c.events = kind.method, fmt.Sprintf(kind.target, lane*100000+i), keyBurst, kind.events
	c.repeatable = strings.HasPrefix(c.target, "/chat/long/")
	return c
}

// inBurst reports whether a time is in the burst, which begins in the first third of the schedule.
func (s *soak) inBurst(at time.Time) bool {
	from := s.began.Add(time.Duration(uint64(s.seed)%10) * s.faultTime / 30)
	return s.contends() && at.After(from) && at.Before(from.Add(soakBurstDuration))
}

// again returns the call that follows a refusal, and when; nil if the caller does not return.
func (c *soakCall) again() (*soakCall, time.Duration) {
	if c.returnAfter <= 0 || c.returnAfter > (soakTimeout-c.ended.Sub(c.sent))/soakReturnDivisor {
		return nil, 0
	}
	next := &soakCall{platformCall: c.platformCall, events: c.events, repeatable: c.repeatable, front: c.front, process: c.process, first: c}
	next.id += "-again"
	return next, c.returnAfter
}

// checkStarvation checks that no customer and no rank of the engines' calls is served less than a
// quarter as often as all of them during the burst.
func (s *soak) checkStarvation() {
	type ratio struct{ served, asked int }
	by := map[string]*ratio{}
	count := func(name string, c *soakCall) {
		if by[name] == nil {
			by[name] = &ratio{}
		}
		if c.first == nil {
			by[name].asked++
		}
		if c.status == http.StatusOK && c.err == nil {
			by[name].served++
		}
	}
	for _, c := range s.clients.calls {
		sent := c.sent
		if c.first != nil {
			sent = c.first.sent
		}
		if c.events == 0 || c.status == 0 || soakCustomers[c.key] == "" || !s.inBurst(sent) {
			continue // also calls that reached no front, or none that lived on
		}
		count("all", c)
		count("customer "+soakCustomers[c.key], c)
		count(fmt.Sprintf("streams of %d events", c.events), c)
	}
	all := by["all"]
	for name, one := range by {
		s.t.Logf("during the burst: %s: %d of %d served", name, one.served, one.asked)
		if one.asked >= soakStarvedCalls && float64(one.served)*float64(all.asked) < soakStarvedShare*float64(all.served)*float64(one.asked) {
			s.t.Errorf("%s: %d of %d calls served, of all %d of %d", name, one.served, one.asked, all.served, all.asked)
		}
	}
}

// TestSoakChecksStarvation checks that the soak's check reports a customer that is served too rarely,
// counts a caller that returned once, and reports nothing for fair shares.
func TestSoakChecksStarvation(t *testing.T) {
	for _, one := range []struct {
		everyNth int
		wrong    bool
	}{{20, true}, {3, false}} {
		caught := &errorRecorder{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, soakSeed: soakSeed{seed: soakContentionSeeds}, began: time.Now()}
		for i := range 200 {
			c := &soakCall{status: http.StatusServiceUnavailable, sent: s.began.Add(time.Second), returnAfter: time.Second, events: 7}
			c.ended, c.key = c.sent, keyBurst
			if i%2 == 0 {
				c.key = "yard-key"
			}
			again, after := c.again()
			again.sent, again.ended = c.sent.Add(after), c.sent.Add(after)
			if i%2 == 1 || i%one.everyNth == 0 {
				again.status = http.StatusOK
			}
			s.clients.calls = append(s.clients.calls, c, again)
		}
		s.checkStarvation()
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("one of %d: %q", one.everyNth, caught.errs)
		}
	}
}
