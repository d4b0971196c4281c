package dispatch

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// failuresToEject is how many calls in a row must fail without an answer
	// before a backend server is left out: one may be chance.
	failuresToEject = 2
	// minEjection doubles with each further failure up to lastSuspension, so
	// that a server that is back is used again within a few seconds.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// fullPause is how long a server that turned a call away as full is left out:
	// about the time in which one of its slots becomes free.
	fullPause = 30 * time.Millisecond
	// freeSoon, or freeSoonPerPeer for each other entry if that is more, is within which
	// time a slot has to become free to count as free now: about the age of what is known
	// of the other entries' calls, which is the time between heartbeats (package peers). It
	// matters where calls are as short as that.
	freeSoon        = 50 * time.Millisecond
	freeSoonPerPeer = 2 * time.Millisecond
	// gapWeight is the weight of the newest call in the average pace.
	gapWeight = 0.2
)

// server is a backend server as this entry knows it.
type server struct {
	runworks.Instance
	// incarnation is Instance.Life.
	incarnation string
	// leases are those that calls of this entry hold, and ended says that the server
	// started again since.
	leases    map[*Lease]struct{}
	restarted bool
	// ownCalls is how many calls of this entry it has now.
	ownCalls int
	// peerCalls is how many calls the other entries said they have there.
	peerCalls int
	// ownUnread is how many tokens of prompts of this entry's calls it still reads, and
	// peerUnread the same of the other entries.
	ownUnread, peerUnread int
	// vacated is how many slots calls of this entry left of which the others do not
	// know yet.
	vacated int
	// lastLoad is the load at the last look, and since the time since which it stands.
	lastLoad  int
	loadSince time.Time
	// unanswered is how many calls in a row failed without an answer.
	unanswered int
	// ownErrors is how many calls in a row it answered by a failure, and peerErrors the
	// same at the other entries, summed.
	ownErrors, peerErrors int
	// ejectedUntil is until when it is left out, if others can do the work.
	ejectedUntil time.Time
	// addressReused is set once another server was met at its address.
	addressReused bool
	// lastReceived is when a call of this entry last got anything from it, and busySince since
	// when it has had calls of this entry all the time.
	lastReceived, busySince time.Time
	// wasUnresponsive is whether it was silent at the last look.
	wasUnresponsive bool
	// peerEjections is how many other entries leave it out, and doubted since when some do;
	// zero if none does.
	peerEjections    int
	peerEjectedSince time.Time
	// fullUntil is until when it is taken to be fullUntil.
	fullUntil time.Time
	// meanGap is the average time between events in seconds; 0 is not known.
	meanGap average
	// steadyGap is the same over more events.
	steadyGap average
	// lateGaps is the part of its events that come after a longer pause than callers allow.
	lateGaps float64
	reportState
}

func (s *server) load() int { return s.ownCalls + s.peerCalls }

// addLease gives a slot to a call of this entry, which holds it by a lease.
func (s *server) addLease(now time.Time, lease *Lease) {
	if s.ownCalls == 0 {
		s.busySince = now
	}
	s.ownCalls++
	s.limit.Consume(now)
	s.backoff.countSent()
	s.vacated = max(s.vacated-1, 0)
	if s.leases == nil {
		s.leases = make(map[*Lease]struct{})
	}
	s.leases[lease] = struct{}{}
}

// releaseSlot takes the slot of a call of this entry back.
func (s *server) releaseSlot() {
	s.ownCalls--
	s.vacated++
}

// markRestarted tells the calls of this entry that the server started again and knows nothing of
// them.
func (s *server) markRestarted() {
	s.restarted = true
	for lease := range s.leases {
		lease.notifyExit()
	}
}

// admits says whether the server has a free slot and its limit leaves admits for a request.
func (s *server) admits(now time.Time, of *service) bool {
	return s.hasSlot(now, of) && s.limit.Admits(now)
}

// hasSlot says whether the server has a free slot for this entry, as far as is known.
func (s *server) hasSlot(now time.Time, of *service) bool {
	return !s.Draining && !s.addressReused && !now.Before(s.fullUntil) && s.backoff.admits(now) && s.load() < of.capacity(s)
}

// recordResult records how a call ended; it gives how long the server is left out for it.
func (s *server) recordResult(now time.Time, r Result) time.Duration {
	switch r {
	case Served:
		s.unanswered = 0
		s.ownErrors = 0
		s.ejectedUntil = time.Time{}
	case Rejected:
		s.fullUntil = now.Add(fullPause)
	case Unreachable, Interrupted:
		s.unanswered++
		if r == Unreachable || s.unanswered >= failuresToEject {
			wait := min(minEjection<<min(s.unanswered, 5), maxEjection)
			s.ejectedUntil = now.Add(wait)
			return wait
		}
	case AddressReused:
		s.addressReused = true
	case Failed:
		s.unanswered = 0
		s.ownErrors++
	case Abandoned:
	}
	return 0
}

// Result says how a call at a backend server ended.
type Result int

// The results of a call.
const (
	// Served means that the server gave a whole answer.
	Served Result = iota
	// Rejected means that the server said that it did not run the call.
	Rejected
	// Unreachable means that no byte of the call left.
	Unreachable
	// Interrupted means that the call was sent and no whole answer came.
	Interrupted
	// AddressReused means that another backend server has the address.
	AddressReused
	// Abandoned means that the caller left or the time was over.
	Abandoned
	// Failed means that the server answered that it failed.
	Failed
)
