package tests

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// soakTellsStarts is the first seed whose servers tell when they started, start again under
// their ids, and are joined by records of other writers. Seeds below keep the schedules
// that they had.
const soakTellsStarts = 100_000

// tellsStarts says whether the servers of this schedule tell when they started.
func (s *soak) tellsStarts() bool { return s.seed >= soakTellsStarts }

// recordFaults draws faults of the servers' records.
func (s *soak) recordFaults() []soakStep {
	draw := rand.New(rand.NewPCG(uint64(s.seed), 1))
	var steps []soakStep
	for range 3 + draw.IntN(4) {
		fault := s.foreignRecord(draw)
		if !s.planned && draw.IntN(2) == 0 {
			fault = s.startServerAgain(draw)
		}
		at := time.Duration(draw.Int64N(int64(*soakTime)))
		steps = append(steps,
			soakStep{at: at, name: fault.name, do: fault.begin},
			soakStep{at: at + time.Duration(draw.Int64N(int64(time.Second))), name: fault.name + " is over", do: fault.end})
	}
	return steps
}

// startServerAgain kills a server and starts it again under its id at the same address. At
// its end a record of the life before comes late.
func (s *soak) startServerAgain(draw *rand.Rand) soakFault {
	server := s.servers[draw.IntN(len(s.servers))]
	var late []byte
	return soakFault{name: "a server of " + server.service + " starts again under its id", begin: func() {
		life := server.life()
		if life.ended() || !life.left.IsZero() {
			return
		}
		late = s.record(server, "ready")
		life.signalIfAlive(syscall.SIGKILL)
		s.startLife(server, life.id)
	}, end: func() {
		if late != nil {
			s.put("keyed.servers", server.life().id, late)
		}
	}}
}

// foreignRecord puts a record of another writer on the store, under an id of its own, or in
// the place of a server's, which writes again at the fault's end.
func (s *soak) foreignRecord(draw *rand.Rand) soakFault {
	server := s.servers[draw.IntN(len(s.servers))]
	instead := !s.planned && draw.IntN(3) == 0
	changes := []struct{ from, to string }{
		{`"slots": 8`, `"slots": "8"`}, {`"state": "ready"`, `"state": "fine"`}, {`"zone": "a", `, ""}, {`"seq": 1, `, ""}, {`"born": `, `"born": -`},
		{`"service": "`, `"service": "other-`}, {`"address": "`, `"address": "nowhere-`}, {"{", ""}, {"}", "\xff"},
	}
	change := changes[draw.IntN(len(changes))]
	other := fmt.Sprint("foreign-", draw.IntN(3))
	return soakFault{name: fmt.Sprintf("a record of another writer with %q, in the place of a server's %t", change.to, instead), begin: func() {
		key := other
		if instead {
			key = server.life().id
		}
		trap := strings.ReplaceAll(string(s.record(server, "ready")), server.proxy.address(), s.trap.address("standin"))
		s.put("keyed.servers", key, []byte(strings.Replace(trap, change.from, change.to, 1)))
	}, end: func() {
		if life := server.life(); instead && !life.ended() && life.left.IsZero() {
			s.list(server, "ready")
		}
	}}
}

// checkTrap checks that nothing went to the server that foreign records alone name.
func (s *soak) checkTrap() {
	if s.trap == nil {
		return
	}
	if lines := ranLines(s.trap.outputText()); len(lines) > 0 {
		s.t.Errorf("a server that no record of its own names ran %q", lines)
	}
}
