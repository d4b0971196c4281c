package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// failureSeeds is the number of seeds of each failure test.
const failureSeeds = 10

var badFromStart = badness{name: "a third fails", fails: 0.35}

// playFailure plays seeds of a version with a failure that setUp causes, and checks the bounds and the
// final state.
func playFailure(t *testing.T, bad badness, want runworks.RolloutState, setUp func(s *sim)) {
	t.Helper()
	for seed := range seeds(failureSeeds) {
		s := newSim(5000+seed, bad)
		setUp(s)
		s.run()
		s.check(t, seed)
		if s.state() != want {
			t.Errorf("%s, seed %d: %s: %s", bad.name, seed, s.state(), s.reason)
		}
	}
}

// TestStoreDownDuringOrder guards against exposure beyond the bound while the status can't be read,
// and against an order that is not carried out after the store is back.
func TestStoreDownDuringOrder(t *testing.T) {
	t.Parallel()
	down := func(s *sim) {
		s.storeDown = func(after time.Duration) bool { return after > 5*time.Second && after < 20*time.Second }
	}
	playFailure(t, goodVersions[0], runworks.RolloutCompleted, down)
	playFailure(t, badFromStart, runworks.RolloutRolledBack, down)
	later := badness{name: "half fail later", fails: 0.5, from: 12 * time.Second}
	playFailure(t, later, runworks.RolloutRolledBack, down)
}

// TestAllFrontsRestarted guards against exposure that is forgotten when no front remembers it.
func TestAllFrontsRestarted(t *testing.T) {
	t.Parallel()
	restart := func(s *sim) {
		s.onStep = func(after time.Duration) {
			if after == 10*time.Second || after == 30*time.Second {
				for i := range s.fronts {
					s.addFront(i)
				}
			}
		}
	}
	playFailure(t, goodVersions[0], runworks.RolloutCompleted, restart)
	playFailure(t, badFromStart, runworks.RolloutRolledBack, restart)
	later := badness{name: "half fail later", fails: 0.5, from: 29 * time.Second}
	playFailure(t, later, runworks.RolloutRolledBack, restart)
}

// TestWriterKilled kills the front that is first to write when it has decided and not written yet. It
// guards against a verdict that is lost with it.
func TestWriterKilled(t *testing.T) {
	t.Parallel()
	playFailure(t, badFromStart, runworks.RolloutRolledBack, func(s *sim) {
		s.cutOff = func(front int, _ time.Duration) bool { return front == 0 && s.killed }
		s.onStep = func(time.Duration) {
			for _, status := range s.fronts[0].Statuses(s.now) {
				s.killed = s.killed || status.Step == "rollback decided"
			}
		}
		s.noWrites = func(front int) bool { return front == 0 && s.killed }
	})
}

// TestFrontCutOff cuts a front off from the others, with and without access to the store. It guards
// against calls to a bad version from a front that can't hear of the verdict.
func TestFrontCutOff(t *testing.T) {
	t.Parallel()
	for _, alsoStore := range []bool{false, true} {
		cut := func(s *sim) {
			s.cutOff = func(front int, after time.Duration) bool { return front == 3 && after > 2*time.Second }
			if alsoStore {
				s.noWrites = func(front int) bool { return front == 3 && s.after() > 2*time.Second }
			}
		}
		playFailure(t, goodVersions[0], runworks.RolloutCompleted, cut)
		playFailure(t, badFromStart, runworks.RolloutRolledBack, cut)
	}
}

func newRollouts(self string) *Rollouts {
	r := &Rollouts{Self: runworks.Incarnation(self), ExposureShare: simShare, ExposureSlack: simSlack, RollbackAfter: simRollback}
	r.SetOrders(map[string]runworks.Rollout{"llm": {Service: "llm", TargetVersion: "v2", Duration: simDuration}})
	return r
}

var (
	oldServer = runworks.Instance{ID: "old", Service: "llm", Version: "v1", Slots: 4}
	newServer = runworks.Instance{ID: "new", Service: "llm", Version: "v2", Slots: 4}
)

func status(state runworks.RolloutState) *runworks.RolloutStatus {
	return &runworks.RolloutStatus{TargetVersion: "v2", State: state}
}

// TestTerminalStates guards against calls to the wrong version after the end, a terminal state that
// changes, and one that a restored store has lost.
func TestTerminalStates(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := newRollouts("f1")
	r.SetServers([]runworks.Instance{oldServer, newServer})
	is.True(!r.Allows(now, &newServer, false)) // nothing before the status is known
	is.True(r.Allows(now, &oldServer, false))
	r.StatusRead(now, "llm", status(runworks.RolloutRolledBack), now)
	is.True(!r.Allows(now, &newServer, true))
	r.StatusRead(now.Add(time.Second), "llm", status(runworks.RolloutRunning), now)
	is.True(!r.Allows(now, &newServer, true))
	writes := r.Tick(now.Add(time.Second), Environment{})
	is.Equal(len(writes), 1)
	is.Equal(writes[0].Status, *status(runworks.RolloutRolledBack))

	done := newRollouts("f2")
	done.SetServers([]runworks.Instance{oldServer, newServer})
	done.StatusRead(now, "llm", status(runworks.RolloutCompleted), now)
	is.True(done.Allows(now, &newServer, false))
	is.True(!done.Allows(now, &oldServer, false))
	done.SetServers([]runworks.Instance{oldServer})
	is.True(done.Allows(now, &oldServer, false)) // rather than none
}

// TestSuspendedHostSendsNothing guards against a front that wakes and sends to a version that was
// rolled back meanwhile.
func TestSuspendedHostSendsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := newRollouts("f1")
	r.SetServers([]runworks.Instance{oldServer, newServer})
	r.StatusRead(now, "llm", status(runworks.RolloutRunning), now)
	is.True(!r.Allows(now, &newServer, false)) // the times of the old version are not known
	is.NoErr(r.ApplyReport(now, "f2", &Report{Service: "llm", TargetVersion: "v2", Harmless: true}))
	is.True(r.Allows(now, &newServer, false)) // a part of the slack
	r.HostSuspended(4 * time.Second)
	is.True(!r.Allows(now, &newServer, false))
	is.True(!r.Allows(now, &newServer, true))
	r.StatusRead(now, "llm", status(runworks.RolloutRunning), now)
	is.True(r.Allows(now, &newServer, false))
}

// TestOrderTakenBack guards against versions that play a part without an order.
func TestOrderTakenBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := newRollouts("f1")
	r.SetServers([]runworks.Instance{oldServer, newServer})
	r.StatusRead(now, "llm", status(runworks.RolloutRolledBack), now)
	is.Equal(r.SetOrders(nil), []string{"llm"})
	is.True(r.Allows(now, &newServer, false))
	is.True(!r.Active())
	is.True(!r.NeedsRead(now))
	is.Equal(len(r.Tick(now, Environment{})), 0)
	is.Equal(len(r.Reports(now)), 0)
}

// TestImplausibleReports guards against a report that starts or ends a roll-out by mistake.
func TestImplausibleReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	minus := int64(-1)
	r := newRollouts("f1")
	for _, p := range []Report{
		{Arrived: -1}, {Placed: -1}, {StartedAgo: &minus}, {ConfirmedAgo: &minus},
		{Cells: []Cell{{Counts: Counts{Ended: 1, Failed: 2}}}}, {Cells: []Cell{{Counts: Counts{Cut: -1}}}},
		{Cells: []Cell{{First: map[int]int{maxBucket*2 + 1: 1}}}}, {Cells: []Cell{{Gap: map[int]int{-1: 1}}}},
	} {
		p.Service, p.TargetVersion = "llm", "v2"
		is.True(r.ApplyReport(now, "f2", &p) != nil)
	}
	is.NoErr(r.ApplyReport(now, "f2", &Report{Service: "llm", TargetVersion: "v1", Verdict: runworks.RolloutRolledBack})) // another order
	is.Equal(r.Statuses(now)[0].Step, "ordered")
}
