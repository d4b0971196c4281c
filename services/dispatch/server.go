package dispatch

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// failuresToSuspend is how many calls in a row must fail without an answer
	// before a backend server is left out: one may be chance.
	failuresToSuspend = 2
	// firstSuspension doubles with each further failure up to lastSuspension, so
	// that a server that is back is used again within a few seconds.
	firstSuspension = 250 * time.Millisecond
	lastSuspension  = 4 * time.Second
	// fullPause is how long a server that turned a call away as full is left out:
	// about the time in which one of its slots becomes free.
	fullPause = 30 * time.Millisecond
	// freeSoon, or freeSoonPerPeer for each other entry if that is more, is within which
	// time a slot has to become free to count as free now: about the age of what is known
	// of the other entries' calls, which is the time between heartbeats (package peers). It
	// matters where calls are as short as that.
	freeSoon        = 50 * time.Millisecond
	freeSoonPerPeer = 2 * time.Millisecond
	// paceWeight is the weight of the newest call in the average pace.
	paceWeight = 0.2
)

// server is a backend server as this entry knows it.
type server struct {
	runworks.Instance
	// life is Instance.Life.
	life string
	// leases are those that calls of this entry hold, and ended says that the server
	// started again since.
	leases map[*Lease]struct{}
	ended  bool
	// own is how many calls of this entry it has now.
	own int
	// others is how many calls the other entries said they have there.
	others int
	// reading is how many tokens of prompts of this entry's calls it still reads, and
	// othersReading the same of the other entries.
	reading, othersReading int
	// vacated is how many slots calls of this entry left of which the others do not
	// know yet.
	vacated int
	// seen is the load at the last look, and since the time since which it stands.
	seen  int
	since time.Time
	// failures is how many calls in a row failed without an answer.
	failures int
	// failed is how many calls in a row it answered by a failure, and othersFailed the
	// same at the other entries, summed.
	failed, othersFailed int
	// suspended is until when it is left out, if others can do the work.
	suspended time.Time
	// moved is set once another server was met at its address.
	moved bool
	// heard is when a call of this entry last got anything from it, and busy since
	// when it has had calls of this entry all the time.
	heard, busy time.Time
	// wasSilent is whether it was silent at the last look.
	wasSilent bool
	// doubts is how many other entries leave it out, and doubted since when some do;
	// zero if none does.
	doubts  int
	doubted time.Time
	// full is until when it is taken to be full.
	full time.Time
	// pace is the average time between events in seconds; 0 is not known.
	pace average
	// steady is the same over more events.
	steady average
	// breaks is the part of its events that come after a longer pause than callers allow.
	breaks float64
	words
}

func (s *server) load() int { return s.own + s.others }

// take gives a slot to a call of this entry, which holds it by a lease.
func (s *server) take(now time.Time, lease *Lease) {
	if s.own == 0 {
		s.busy = now
	}
	s.own++
	s.limit.Consume(now)
	s.rest.spend()
	s.vacated = max(s.vacated-1, 0)
	if s.leases == nil {
		s.leases = make(map[*Lease]struct{})
	}
	s.leases[lease] = struct{}{}
}

// vacate takes the slot of a call of this entry back.
func (s *server) vacate() {
	s.own--
	s.vacated++
}

// end tells the calls of this entry that the server started again and knows nothing of
// them.
func (s *server) end() {
	s.ended = true
	for lease := range s.leases {
		lease.notifyExit()
	}
}

// room says whether the server has a free slot and its limit leaves room for a request.
func (s *server) room(now time.Time, of *service) bool {
	return s.hasSlot(now, of) && s.limit.Admits(now)
}

// hasSlot says whether the server has a free slot for this entry, as far as is known.
func (s *server) hasSlot(now time.Time, of *service) bool {
	return !s.Draining && !s.moved && !now.Before(s.full) && s.rest.room(now) && s.load() < of.capacity(s)
}

// note records how a call ended; it gives how long the server is left out for it.
func (s *server) note(now time.Time, r Result) time.Duration {
	switch r {
	case Served:
		s.failures = 0
		s.failed = 0
		s.suspended = time.Time{}
	case Rejected:
		s.full = now.Add(fullPause)
	case Unreachable, Interrupted:
		s.failures++
		if r == Unreachable || s.failures >= failuresToSuspend {
			wait := min(firstSuspension<<min(s.failures, 5), lastSuspension)
			s.suspended = now.Add(wait)
			return wait
		}
	case AddressReused:
		s.moved = true
	case Failed:
		s.failures = 0
		s.failed++
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
