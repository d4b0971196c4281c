package tests

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// soakGenerationSeeds is the first seed whose servers report their generation and restart under
// their ids, and whose store also holds records of other writers. The schedules of lower seeds
// stay as they are.
const soakGenerationSeeds = 100_000

// reportsGeneration reports whether the servers of this schedule report their generation.
func (s *soak) reportsGeneration() bool { return s.mixesFrom(soakGenerationSeeds) }

// recordFaults draws faults of the servers' records.
func (s *soak) recordFaults() []soakStep {
	rng := rand.New(rand.NewPCG(uint64(s.seed), 1))
	var steps []soakStep
	for range 3 + rng.IntN(4) {
		fault := s.foreignRecord(rng)
		if !s.planned && rng.IntN(2) == 0 {
			fault = s.restartServer(rng)
		}
		at := time.Duration(rng.Int64N(int64(s.faultTime)))
		steps = append(steps,
			soakStep{at: at, name: fault.name, do: fault.begin},
			soakStep{at: at + time.Duration(rng.Int64N(int64(time.Second))), name: fault.name + " is over", do: fault.end})
	}
	return steps
}

// restartServer kills a server and restarts it under its id at the same address. At the end of
// the fault a late record of the previous incarnation is written.
func (s *soak) restartServer(rng *rand.Rand) soakFault {
	server := s.servers[rng.IntN(len(s.servers))]
	var late []byte
	var id string
	return soakFault{name: "a server of " + server.service + " restarts under its id", begin: func() {
		inc := server.current()
		if inc.ended() || !inc.drainingSince.IsZero() {
			return
		}
		late, id = s.record(server, "ready"), inc.id
		inc.signalIfAlive(syscall.SIGKILL)
		s.startIncarnation(server, inc.id)
	}, end: func() {
		// Another incarnation since then has another ID, and perhaps another version.
		if late != nil && (!s.closesPaths() || server.current().id == id) {
			s.put("keyed.servers", server.current().id, late)
		}
	}}
}

// foreignRecord writes a record of another writer to the store, under its own id or over a
// server's record, which is rewritten at the end of the fault.
func (s *soak) foreignRecord(rng *rand.Rand) soakFault {
	server := s.servers[rng.IntN(len(s.servers))]
	instead := !s.planned && rng.IntN(3) == 0
	changes := []struct{ from, to string }{
		{`"slots": 8`, `"slots": "8"`}, {`"state": "ready"`, `"state": "fine"`}, {`"zone": "a", `, ""}, {`"seq": 1, `, ""}, {`"born": `, `"born": -`},
		{`"service": "`, `"service": "other-`}, {`"address": "`, `"address": "nowhere-`}, {"{", ""}, {"}", "\xff"},
	}
	change := changes[rng.IntN(len(changes))]
	other := fmt.Sprint("foreign-", rng.IntN(3))
	return soakFault{name: fmt.Sprintf("a record of another writer with %q, over a server's record %t", change.to, instead), begin: func() {
		key := other
		if instead {
			key = server.current().id
		}
		trap := strings.ReplaceAll(string(s.record(server, "ready")), server.proxy.address(), s.decoy.address("standin"))
		s.put("keyed.servers", key, []byte(strings.Replace(trap, change.from, change.to, 1)))
	}, end: func() {
		if inc := server.current(); instead && !inc.ended() && inc.drainingSince.IsZero() {
			s.putRecord(server, "ready")
		}
	}}
}

// checkDecoy checks that no call was sent to the server that only records of other writers name.
func (s *soak) checkDecoy() {
	if s.decoy == nil {
		return
	}
	if lines := ranLines(s.decoy.outputText()); len(lines) > 0 {
		s.t.Errorf("a server without a record of its own ran %q", lines)
	}
}
