package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/runworks/runworks"
)

const (
	// remoteHallPenalty is added to the score of a server in another hall, in units of its
	// load: it decides between servers that are otherwise equal.
	remoteHallPenalty = 0.05
	// remoteHallPenaltyMany applies instead where there are many entries, as load reports from
	// other halls are then several times as old.
	remoteHallPenaltyMany = 0.5
	// reservedSlots slots of each server with at least minSlotsToReserve are kept free of calls
	// of the lowest route rank.
	reservedSlots     = 1
	minSlotsToReserve = 4
	// slotsKeptFromLate slots of each server with at least minSlotsToReserve are kept free of
	// late calls: while all slots are taken, a slot that becomes free is soon needed by a call
	// that can still be on time.
	slotsKeptFromLate = 2
	// maxPreference is the largest fraction of its score that an entry's preference adds to a
	// server. Entries do not know what the others send at the same moment, so each prefers
	// different ones of servers that are otherwise equal.
	maxPreference = 0.5
	// paceTolerance is how many times the fastest pace a server's pace may be for it to be
	// used by answers that no server can finish in time.
	paceTolerance = 1.3
	// lengthMargin allows for answers longer than expected: four out of five are shorter.
	lengthMargin = 1.5
	// minServed is the number of calls after which their mean duration is used.
	minServed = 5
	// lengthWeight is the weight of the newest answer in tokensPerEvent.
	lengthWeight = 0.05
)

// available returns the servers with a free slot. It includes ejected servers only if no
// server of the service is both healthy and not backing off, as a back-off may be long.
func (s *service) available(now time.Time) []*server {
	var open []*server
	healthy := slices.ContainsFunc(s.servers, func(one *server) bool { return s.healthy(now, one) && !one.backoff.active(now) })
	for _, one := range s.servers {
		if one.admits(now, s) && (s.healthy(now, one) || !healthy) {
			open = append(open, one)
		} else {
			one.unchangedSince = time.Time{} // no entry could use a turn
		}
	}
	return open
}

// capacity returns how many calls a server may have: one for each slot and, where calls are
// short, as many more as slots become free within freeSoonSeconds.
func (s *service) capacity(one *server) int {
	if s.served < minServed {
		return one.Slots
	}
	return one.Slots + int(float64(one.Slots)*s.freeSoonSeconds()/float64(s.duration))
}

// freeSoonSeconds returns within how many seconds a slot must become free to count as free.
func (s *service) freeSoonSeconds() float64 {
	return max(freeSoon, time.Duration(s.peers)*freeSoonPerPeer).Seconds()
}

// outpacesUpdates reports whether calls end before the other entries learn of them.
func (s *service) outpacesUpdates() bool {
	return s.served >= minServed && float64(s.duration) < s.freeSoonSeconds()
}

// reserved returns how many slots of each server are kept free of calls of a tier: the lowest
// rank leaves some to calls that cannot wait, and late calls to those that can still be on
// time.
func (s *service) reserved(one *server, tier int) int {
	if one.Slots < minSlotsToReserve || s.owedStart {
		return 0
	}
	n := 0
	if isLateTier(tier) {
		n = slotsKeptFromLate
	}
	if s.highestRank != s.lowestRank && routeRank(tier) >= s.lowestRank && s.lowestRankIsLong() {
		n = max(n, reservedSlots)
	}
	return n
}

// freeSlots returns how many slots of a server are free for calls of a tier.
func (s *service) freeSlots(one *server, tier int) int {
	return s.capacity(one) - one.load() - s.reserved(one, tier)
}

// recordRank updates the bounds of the route ranks.
func (s *service) recordRank(routeRank int) {
	if !s.anyRank {
		s.highestRank, s.lowestRank, s.anyRank = routeRank, routeRank, true
	}
	s.highestRank = min(s.highestRank, routeRank)
	s.lowestRank = max(s.lowestRank, routeRank)
}

// anyFree reports whether one of the available servers has a free slot for a tier.
func (s *service) anyFree(open []*server, tier int) bool {
	return slices.ContainsFunc(open, func(one *server) bool { return s.freeSlots(one, tier) > 0 })
}

// choose returns the available server with the best score for a call, or nil if there is no
// candidate.
func (d *Dispatcher) choose(now time.Time, s *service, f *forecast, open []*server, w *waiter) *server {
	var best *server
	var bestScore float64
	typical, fastest := s.paces()
	preference := maxPreference
	if s.grantsToOthers(now) {
		preference = 0 // no other entry chooses at the same moment
	}
	for _, one := range s.candidates(now, f, open, w, fastest) {
		if score := d.score(one, w.req, typical, preference) + f.latencyScore(now, one, w.req); best == nil || score < bestScore {
			best, bestScore = one, score
		}
	}
	return best
}

// candidates returns the available servers that may get a call. A call that could have met its
// target goes only to servers where it still can, and waits until it is late otherwise: the
// slot is of more use to a call that arrives next. A late call avoids servers where it would
// exceed the gaps that other streams allow, if there is another.
func (s *service) candidates(now time.Time, f *forecast, open []*server, w *waiter, fastest float64) []*server {
	req, tier := w.req, queueTier(w.req, w.late)
	left := req.Deadline.Sub(now).Seconds()
	canWait := s.canWait(now, req)
	feasible := !w.late && w.feasible || s.anyMeetsTarget(now, f, req, canWait)
	limits := s.limitsFor(now, f, req)
	var out []*server
	for _, one := range open {
		if !req.allows(one) || s.freeSlots(one, tier) <= 0 {
			continue
		}
		if !f.byEngine && float64(one.meanGap) > fastest*paceTolerance && s.expectedDuration(one, req) > left {
			continue
		}
		if feasible && !f.meetsTarget(now, one, req, canWait) && !limits.lifted {
			continue
		}
		if f.byEngine && !limits.allow(f, one, req) {
			continue
		}
		out = append(out, one)
	}
	return out
}

// expectedDuration returns how many seconds a server needs for the events of a call's stream,
// with a margin as estimates are often too low; 0 if that is unknown.
func (s *service) expectedDuration(one *server, req *Request) float64 {
	return lengthMargin * s.expectedEvents(req) * float64(one.meanGap)
}

// score returns a server's score, lower is better: the fraction of its slots in use, weighted
// by its pace relative to the others. preference is the largest fraction that this entry's preference
// adds to it.
func (d *Dispatcher) score(s *server, req *Request, typical, preference float64) float64 {
	score := float64(s.load()+1) / float64(max(s.Slots, 1))
	if s.meanGap > 0 && typical > 0 {
		score *= float64(s.meanGap) / typical
	}
	score *= 1 + preference*rendezvousHash(s.ID, d.Self)
	switch {
	case s.Hall == cmp.Or(req.Hall, d.Hall):
	case len(d.peers) > runworks.ManyEntriesThreshold:
		score += remoteHallPenaltyMany
	default:
		score += remoteHallPenalty
	}
	return score
}

// paces returns the mean and the lowest of the known paces, or 0 if none is known.
func (s *service) paces() (typical, fastest float64) {
	sum, n := 0.0, 0
	for _, one := range s.servers {
		if one.meanGap == 0 || one.Draining {
			continue
		}
		pace := float64(one.meanGap)
		if n == 0 || pace < fastest {
			fastest = pace
		}
		sum += pace
		n++
	}
	if n == 0 {
		return 0, 0
	}
	return sum / float64(n), fastest
}
