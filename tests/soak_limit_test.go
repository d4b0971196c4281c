package tests

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"
)

const (
	// soakLoadCallers is the number of callers that keep the customer busy at its limit, each
	// with a call of soakLoadTokens every soakLoadPause plus the time of its response.
	soakLoadCallers = 2
	soakLoadTokens  = 100
	soakLoadPause   = 20 * time.Millisecond
	// soakLimit is what the document lets that customer consume in soakLimitWindow, the fronts'
	// default.
	soakLimit       = 8000
	soakLimitWindow = 8 * time.Second
	// soakLimitExcess is what may be consumed above the limit once the customer reached it: what
	// it consumes between two records, lost if all fronts are killed at once (0.5 s at 1,000
	// tokens per second), and what the callers request between heartbeats.
	soakLimitExcess = 1500
	// soakRecordLag is how long after a fault of the store all fronts may be without a record.
	soakRecordLag = 3 * time.Second
)

// keyBusy is the key of the customer that calls at its limit.
const keyBusy = "busy-key"

// nextLoadCall draws the next call of the customer that calls at its limit.
func (s *soak) nextLoadCall(rng *rand.Rand, lane, i int) *soakCall {
	c := s.nextCall(rng, lane, i)
	c.method, c.target, c.key, c.body, c.events, c.repeatable = http.MethodGet, fmt.Sprintf("/safe/press/%d/%d", lane, i), keyBusy, nil, 0, true
	c.header = http.Header{"X-Token-Counts": {strconv.Itoa(soakLoadTokens) + ",0"}}
	return c
}

// killAllFronts kills all fronts at once; afterwards only the store knows what was consumed.
func (s *soak) killAllFronts() soakFault {
	return soakFault{name: "kill of all fronts", begin: func() {
		for _, f := range s.fronts {
			f.stopping = true
			f.process.Load().signalIfAlive(syscall.SIGKILL)
		}
		s.noteUsageLost()
	}, end: func() {
		for _, f := range s.fronts {
			s.restart(f)
		}
	}}
}

// storeFault adds the bookkeeping of store faults to a fault.
func (s *soak) storeFault(f soakFault) soakFault {
	begin, end := f.begin, f.end
	f.begin = func() {
		s.storeFaults++
		begin()
	}
	f.end = func() {
		s.storeFaults--
		s.lastStoreFault = time.Now()
		end()
	}
	return f
}

// noteUsageLost sets usageLost if the consumption may be unknown: no front is left, and the store
// may have no recent record.
func (s *soak) noteUsageLost() {
	for _, f := range s.fronts {
		if !f.stopping {
			return
		}
	}
	s.usageLost = s.usageLost || s.storeFaults > 0 || time.Since(s.lastStoreFault) < soakRecordLag
}

// checkLimit checks that the customer that calls at its limit got no more than that in any window
// since it first reached the limit, by the calls that were sent and answered in the window.
func (s *soak) checkLimit() {
	if s.usageLost {
		s.t.Log("all fronts were killed during a fault of the store: the limit is not checked")
		return
	}
	calls, reached := s.loadCalls()
	for _, first := range calls {
		if first.sent.Before(reached) {
			continue
		}
		tokens := 0
		for _, c := range calls {
			if !c.sent.Before(first.sent) && c.ended.Sub(first.sent) < soakLimitWindow {
				tokens += soakLoadTokens
			}
		}
		if tokens > soakLimit+soakLimitExcess {
			s.t.Errorf("%d tokens of one customer ran in %s from %.2f s, its limit is %d", tokens, soakLimitWindow, first.sent.Sub(s.began).Seconds(), soakLimit)
			return
		}
	}
}

// loadCalls returns the served calls of the customer that calls at its limit, and when one was
// refused first.
func (s *soak) loadCalls() (served []*soakCall, reached time.Time) {
	for _, c := range s.clients.calls {
		switch {
		case c.key != keyBusy:
		case c.status == http.StatusOK:
			served = append(served, c)
		case c.status == http.StatusTooManyRequests && (reached.IsZero() || c.sent.Before(reached)):
			reached = c.sent
		}
	}
	return served, reached
}

// TestSoakChecksLimit checks that the soak's check of a limit reports calls above it, and nothing
// for as many calls over a longer time.
func TestSoakChecksLimit(t *testing.T) {
	for _, one := range []struct {
		every time.Duration
		wrong bool
	}{{80 * time.Millisecond, true}, {90 * time.Millisecond, false}} {
		caught := &errorRecorder{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, began: time.Now()}
		for i := range 200 {
			sent := s.began.Add(time.Duration(i) * one.every)
			c := &soakCall{status: http.StatusOK, sent: sent, ended: sent.Add(time.Millisecond)}
			c.key = keyBusy
			s.clients.calls = append(s.clients.calls, c)
		}
		s.checkLimit()
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("a call every %s: %q", one.every, caught.errs)
		}
	}
}
