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
	// soakRestoreSeeds is the first seed with which the store is restored from older copies.
	soakRestoreSeeds = 500_000
	// soakApplyBound is within which time of its acknowledgement a change is active, or of when
	// the operator wrote it again, if the store lost it.
	soakApplyBound = 3 * time.Second
)

// restoresStore reports whether the store is restored from older copies.
func (s *soak) restoresStore() bool {
	return s.seed >= soakRestoreSeeds && s.seed < soakContentionSeeds
}

// storeKey identifies a record on the store.
type storeKey struct{ topic, key string }

// storeRestore is a restore of the store from an older copy.
type storeRestore struct {
	// began is when the fault started, and rewritten when all records of the platform had been
	// written again.
	began, rewritten time.Time
}

// restoreFaults draws restores of the store from copies made some seconds before: the store may
// be unreachable for a moment before, and the records of the platform are written again a moment
// later.
func (s *soak) restoreFaults() []soakStep {
	var steps []soakStep
	for range 2 + s.rand.IntN(3) {
		copied := time.Duration(s.rand.Int64N(int64(s.faultTime)))
		away := copied + time.Duration(s.rand.Int64N(int64(3*time.Second)))
		back := away + time.Duration(s.rand.Int64N(int64(1200*time.Millisecond)))
		written := back + time.Duration(s.rand.Int64N(int64(1800*time.Millisecond)))
		faults := []standin.StoreFaults{{}, {Down: true}, {Unresponsive: true}}[s.rand.IntN(3)]
		r := &storeRestore{}
		fault := s.storeFault(soakFault{begin: func() {
			r.began = time.Now()
			s.restores = append(s.restores, r)
			trySetFaults(s.store, faults)
		}, end: func() {
			s.rewriteRecords()
			r.rewritten = time.Now()
		}})
		steps = append(steps,
			soakStep{at: copied, name: "the store is copied", do: func() { s.onStore(s.copyStore) }},
			soakStep{at: away, name: fmt.Sprintf("the store fails: %+v", faults), do: fault.begin},
			soakStep{at: back, name: "the store is restored from its copy", do: func() { s.onStore(s.restoreStore) }},
			soakStep{at: written, name: "the platform rewrites its records", do: fault.end})
	}
	return steps
}

// onStore calls do after it has resumed a paused store.
func (s *soak) onStore(do func() string) {
	s.store.signal(syscall.SIGCONT)
	do()
}

// rewriteRecords writes the newest of all records of the platform again.
func (s *soak) rewriteRecords() {
	for at, value := range s.written {
		s.put(at.topic, at.key, value)
	}
}

// applyDeadline returns when a version had to be active at all fronts that can reach the store.
func (s *soak) applyDeadline(version int) time.Time {
	acked := s.publishedAt[version]
	for _, r := range s.restores {
		if acked.Add(soakApplyBound).After(r.began) && acked.Before(r.rewritten) {
			acked = r.rewritten
		}
	}
	return s.afterSilences(acked.Add(soakApplyBound))
}

// checksVersions reports whether only planned work and faults with a known bound for changes are played.
func (s *soak) checksVersions() bool {
	return s.planned && (s.restoresStore() || s.goesSilent())
}

// checkVersions checks that calls with keys that change with the version were handled by a
// version that had to be active, or by a newer one.
func (s *soak) checkVersions() {
	if !s.checksVersions() {
		return
	}
	checked := 0
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
		for version, at := range s.publishedAt {
			if c.sent.After(s.applyDeadline(version)) {
				oldest = max(oldest, version)
			}
			if at.Before(c.ended) {
				newest = max(newest, version)
			}
		}
		checked++
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
	s.t.Logf("%d restores of the store, %d silences, %d calls with changing keys", len(s.restores), len(s.silences), checked)
}

// checkVersionOrder checks that no front process went back to an older version.
func (s *soak) checkVersionOrder() {
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

// TestSoakChecksVersions checks that the soak's check of versions reports calls that were handled
// by an older one, and nothing while a change may still be propagating.
func TestSoakChecksVersions(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	for _, one := range []struct {
		key    int
		sent   float64
		status int
		wrong  bool
	}{
		{1, 4, http.StatusOK, false}, {1, 4, http.StatusUnauthorized, false}, // version 3 may be active or not
		{1, 6, http.StatusOK, true}, {1, 6, http.StatusUnauthorized, false},
		{3, 6, http.StatusOK, false}, {3, 6, http.StatusUnauthorized, true},
		{2, 12, http.StatusOK, false}, {2, 14.5, http.StatusOK, true}, // version 4 was lost, and written again at 11 s
		{9, 6, http.StatusServiceUnavailable, false},
	} {
		caught := &errorRecorder{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, began: began, soakSeed: soakSeed{seed: soakRestoreSeeds}, planned: true}
		s.publishedAt = map[int]time.Time{1: at(0), 2: at(1), 3: at(2), 4: at(9)}
		s.restores = []*storeRestore{{began: at(10), rewritten: at(11)}}
		c := &soakCall{status: one.status, sent: at(one.sent), ended: at(one.sent)}
		c.key = fmt.Sprint("turn-", one.key)
		s.clients.calls = []*soakCall{c}
		s.checkVersions()
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("%+v: %q", one, caught.errs)
		}
	}
	if !slices.IsSorted([]int{soakGenerationSeeds, soakLimitSeeds, soakReportSeeds, soakRestoreSeeds, soakContentionSeeds, soakSilenceSeeds}) {
		t.Error("the ranges of seeds overlap")
	}
}
