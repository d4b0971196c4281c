package dispatch

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/enginemodel"
)

const (
	// failuresToEject is the number of calls in a row without a complete response after which a
	// server is ejected: a single one may be chance.
	failuresToEject = 2
	// The ejection time starts at minEjection and doubles with each further failure up to
	// maxEjection, so that a server that has recovered is used again within a few seconds.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// fullPause is how long a server that rejected a call is taken to be full: about the time in
	// which one of its slots becomes free.
	fullPause = 30 * time.Millisecond
	// A slot that becomes free within freeSoon, or freeSoonPerPeer for each other entry if that is
	// longer, counts as free now. This is about the age of the known load of the other entries,
	// which is the heartbeat interval (package peers). It matters where calls are that short.
	freeSoon        = 50 * time.Millisecond
	freeSoonPerPeer = 2 * time.Millisecond
	// gapWeight is the weight of the newest event in server.meanGap.
	gapWeight = 0.2
)

// server is the state of one incarnation of a backend server at this entry.
type server struct {
	runworks.Instance
	// incarnation is Instance.IncarnationID.
	incarnation string
	// leases are those that calls of this entry hold.
	leases map[*Lease]struct{}
	// restarted is set once the server has a newer incarnation.
	restarted bool
	// ownCalls is the number of running calls of this entry, and countedElsewhere how many of them
	// count at the scheduler that granted their slots.
	ownCalls, countedElsewhere int
	// grantedCalls is the number of running calls of other entries whose slots this entry granted.
	grantedCalls int
	// peerCalls is the number of running calls that the other entries reported.
	peerCalls int
	// ownUnread is the number of prompt tokens of the calls that count at this entry and that the
	// server has not processed yet, and peerUnread that of the other calls.
	ownUnread, peerUnread int
	// vacated is the number of slots that calls of this entry released since the last heartbeat,
	// so that the other entries still count them as taken.
	vacated int
	// lastLoad and lastUnread are the load and the unread prompt tokens when they were last checked,
	// and unchangedSince since when both are unchanged.
	lastLoad, lastUnread int
	unchangedSince       time.Time
	// unanswered is the number of calls in a row that ended without a complete response.
	unanswered int
	// ownErrors is the number of calls in a row that the server answered with an error, and
	// peerErrors the sum of those numbers of the other entries.
	ownErrors, peerErrors int
	// ejectedUntil is when the ejection for failed calls ends.
	ejectedUntil time.Time
	// addressReused is set once another server responded at the address.
	addressReused bool
	// lastReceived is when a call of this entry last received data from the server, and
	// busySince since when the server has had calls of this entry without interruption.
	lastReceived, busySince time.Time
	// wasUnresponsive is whether it was unresponsive when last checked.
	wasUnresponsive bool
	// peerEjections is the number of other entries that eject the server, and peerEjectedSince
	// since when enough of them do; zero if they do not.
	peerEjections    int
	peerEjectedSince time.Time
	// fullUntil is until when the server is taken to be full.
	fullUntil time.Time
	// permitsAskedAt is when another entry was last asked for permits of the server's rate limit.
	permitsAskedAt time.Time
	// meanGap is the mean time between two events of a stream in seconds; 0 if unknown.
	meanGap average
	// steadyGap is the same with a smaller weight of the newest event.
	steadyGap average
	// lateGaps is the fraction of events that arrive after a longer gap than callers allow.
	lateGaps float64
	// fleet is that of the server's service; nil until the server is listed.
	fleet *enginemodel.Fleet
	// model forecasts what the server does with a call, and unread is for how long it has had unread
	// prompts.
	model enginemodel.Model
	// rates are the values of model when they were last computed, for the forecast in use.
	rates  enginemodel.Rates
	unread unreadState
	// sentEstimate is what was last sent to the other entries of the model.
	sentEstimate sentEstimate
	reportState
}

// countedCalls returns the number of running calls that count at this entry.
func (s *server) countedCalls() int { return s.ownCalls - s.countedElsewhere + s.grantedCalls }

func (s *server) load() int { return s.countedCalls() + s.peerCalls }

// addLease assigns a slot to a call.
func (s *server) addLease(now time.Time, lease *Lease) {
	if lease.entry != "" {
		s.grantedCalls++
	} else {
		if s.ownCalls == 0 {
			s.busySince = now
		}
		s.ownCalls++
	}
	if lease.scheduler != "" {
		s.countedElsewhere++
	} else {
		s.vacated = max(s.vacated-1, 0)
		if svc := lease.dispatcher.services[lease.service]; svc != nil {
			svc.measured.recordHold(lease.routeRank)
		}
	}
	s.limit.Consume(now)
	s.backoff.countSent()
	if s.leases == nil {
		s.leases = make(map[*Lease]struct{})
	}
	s.leases[lease] = struct{}{}
}

// releaseSlot releases the slot of a call.
func (s *server) releaseSlot(lease *Lease) {
	delete(s.leases, lease)
	if lease.entry != "" {
		s.grantedCalls--
	} else {
		s.ownCalls--
	}
	if lease.scheduler != "" {
		s.countedElsewhere--
		return
	}
	if svc := lease.dispatcher.services[lease.service]; svc != nil {
		svc.measured.recordEnd(time.Now(), lease.routeRank, lease.began)
	}
	s.vacated++
}

// addGap records the seconds between two events of a stream; stalled is 1 if callers allow less, else 0.
func (s *server) addGap(seconds float64, stalled int) {
	s.meanGap.add(seconds, gapWeight)
	s.steadyGap.add(seconds, steadyWeight)
	s.lateGaps += stallWeight * (float64(stalled) - s.lateGaps)
}

// markRestarted notifies the calls of this entry that the server restarted and lost them.
func (s *server) markRestarted() {
	s.restarted = true
	for lease := range s.leases {
		lease.notifyExit()
	}
}

// admits reports whether the server has a free slot and its rate limit admits a request.
func (s *server) admits(now time.Time, svc *service) bool {
	return s.hasSlot(now, svc) && s.limit.Admits(now)
}

// hasSlot reports whether the server has a free slot for this entry, as far as is known.
func (s *server) hasSlot(now time.Time, svc *service) bool {
	return !s.Draining && !s.addressReused && !now.Before(s.fullUntil) && s.backoff.admits(now) &&
		s.load() < svc.capacity(s)
}

// recordResult records how a call ended. It returns the time for which the server is ejected
// because of it, or 0.
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

// Result is how a call at a backend server ended.
type Result int

// The results of a call.
const (
	// Served means that the server sent a complete response.
	Served Result = iota
	// Rejected means that the server reported that it did not run the call.
	Rejected
	// Unreachable means that no byte of the request was sent.
	Unreachable
	// Interrupted means that the request was sent and no complete response arrived.
	Interrupted
	// AddressReused means that another backend server responded at the address.
	AddressReused
	// Abandoned means that the caller disconnected or the call's deadline passed.
	Abandoned
	// Failed means that the server answered with an error.
	Failed
)
