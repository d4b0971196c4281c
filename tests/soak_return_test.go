package tests

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakReturns is from which seed on the store comes back from older copies.
	soakReturns = 500_000
	// soakApplied is within which time of its ack a change is in force, or of when the operator
	// wrote it again, if the store lost it.
	soakApplied = 3 * time.Second
)

// storeReturns says whether the store comes back from older copies.
func (s *soak) storeReturns() bool { return s.seed >= soakReturns }

// storeKey names a record on the store.
type storeKey struct{ topic, key string }

// storeReturn is a return of the store from an older copy.
type storeReturn struct {
	// away is when the store went away, and written when all that the platform writes there was
	// written again.
	away, written time.Time
}

// returnFaults draws returns of the store from copies made some seconds before: it may be away
// for a moment, and what the platform wrote is written again a moment later.
func (s *soak) returnFaults() []soakStep {
	var steps []soakStep
	for range 2 + s.rand.IntN(3) {
		copied := time.Duration(s.rand.Int64N(int64(*soakTime)))
		away := copied + time.Duration(s.rand.Int64N(int64(3*time.Second)))
		back := away + time.Duration(s.rand.Int64N(int64(1200*time.Millisecond)))
		written := back + time.Duration(s.rand.Int64N(int64(1800*time.Millisecond)))
		faults := []standin.StoreFaults{{}, {Down: true}, {Unresponsive: true}}[s.rand.IntN(3)]
		r := &storeReturn{}
		fault := s.storeFault(soakFault{begin: func() {
			r.away = time.Now()
			s.returns = append(s.returns, r)
			trySetFaults(s.store, faults)
		}, end: func() {
			s.writeAgain()
			r.written = time.Now()
		}})
		steps = append(steps,
			soakStep{at: copied, name: "the store is copied", do: func() { s.onStore(s.copyStore) }},
			soakStep{at: away, name: fmt.Sprintf("the store goes away: %+v", faults), do: fault.begin},
			soakStep{at: back, name: "the store comes back from its copy", do: func() { s.onStore(s.returnStore) }},
			soakStep{at: written, name: "the platform has written again", do: fault.end})
	}
	return steps
}

// onStore does something to the store, which wakes for it.
func (s *soak) onStore(do func() string) {
	s.store.signal(syscall.SIGCONT)
	do()
}

// writeAgain writes the newest of all records again that the platform wrote.
func (s *soak) writeAgain() {
	for at, value := range s.written {
		s.put(at.topic, at.key, value)
	}
}

// applied gives when a version had to be in force at all fronts in touch.
func (s *soak) applied(version int) time.Time {
	acked := s.published[version]
	for _, r := range s.returns {
		if acked.Add(soakApplied).After(r.away) && acked.Before(r.written) {
			acked = r.written
		}
	}
	return acked.Add(soakApplied)
}

// checkVersions checks that calls with keys that come and go were handled by a version that had
// to be in force, or by a newer one.
func (s *soak) checkVersions() {
	if !s.storeReturns() || !s.planned {
		return
	}
	looked := 0
	for _, c := range s.clients.calls {
		turn, ok := strings.CutPrefix(c.key, "turn-")
		if !ok || c.err != nil || c.status != http.StatusOK && c.status != http.StatusUnauthorized {
			continue
		}
		key, err := strconv.Atoi(turn)
		if err != nil {
			s.t.Fatal(err)
		}
		oldest, newest := 1, 1
		for version, at := range s.published {
			if c.sent.After(s.applied(version)) {
				oldest = max(oldest, version)
			}
			if at.Before(c.ended) {
				newest = max(newest, version)
			}
		}
		looked++
		accepts := func(version int) bool { return key == version || key == version-1 }
		may := map[bool]bool{}
		for version := oldest; version <= newest; version++ {
			may[accepts(version)] = true
		}
		if !may[c.status == http.StatusOK] {
			s.t.Errorf("%s at %s with key %q got %d at %.2f s, by a version older than %d (newest %d)",
				c.id, c.front, c.key, c.status, c.sent.Sub(s.began).Seconds(), oldest, newest)
		}
	}
	s.t.Logf("%d returns of the store, %d calls with turning keys", len(s.returns), looked)
}

// checkOrder checks that no front's life went back to an older version.
func (s *soak) checkOrder() {
	for _, f := range s.fronts {
		last := 0
		for line := range strings.Lines(f.process.Load().outputText()) {
			_, rest, ok := strings.Cut(line, `"routing active"`)
			if !ok {
				continue
			}
			_, number, _ := strings.Cut(rest, `"routing_version":`)
			number = number[:strings.IndexAny(number, ",}")]
			version, err := strconv.Atoi(number)
			if err != nil {
				s.t.Fatal(err)
			}
			if version <= last {
				s.t.Errorf("%s went from version %d to %d", f.name, last, version)
			}
			last = version
		}
	}
}

// TestSoakCatchesOlderVersions shows the soak's check of versions find calls that were handled
// by an older one, and nothing while a change may still be on its way.
func TestSoakCatchesOlderVersions(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	for _, one := range []struct {
		key    int
		sent   float64
		status int
		wrong  bool
	}{
		{1, 4, http.StatusOK, false}, {1, 4, http.StatusUnauthorized, false}, // version 3 may be in force or not
		{1, 6, http.StatusOK, true}, {1, 6, http.StatusUnauthorized, false},
		{3, 6, http.StatusOK, false}, {3, 6, http.StatusUnauthorized, true},
		{2, 12, http.StatusOK, false}, {2, 14.5, http.StatusOK, true}, // version 4 was lost, and written again at 11 s
		{9, 6, http.StatusServiceUnavailable, false},
	} {
		caught := &catcher{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, began: began, seed: soakReturns, planned: true}
		s.published = map[int]time.Time{1: at(0), 2: at(1), 3: at(2), 4: at(9)}
		s.returns = []*storeReturn{{away: at(10), written: at(11)}}
		c := &soakCall{status: one.status, sent: at(one.sent), ended: at(one.sent)}
		c.key = fmt.Sprint("turn-", one.key)
		s.clients.calls = []*soakCall{c}
		s.checkVersions()
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("%+v: %q", one, caught.errs)
		}
	}
	if !slices.IsSorted([]int{soakTellsStarts, soakNamesLimits, soakSaysWords, soakReturns}) {
		t.Error("the ranges of seeds overlap")
	}
}
