package dispatch

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

const (
	// remoteHallPenalty is what another hall adds to a server's score, as a part of its
	// load: it decides between equals.
	remoteHallPenalty = 0.05
	// remoteHallPenaltyMany is the same where there are many entries: what is known of the load there is
	// some times as old.
	remoteHallPenaltyMany = 0.5
	// reservedSlots of each server are kept from the lowest rank of routes, where
	// it has minSlotsToReserve.
	reservedSlots     = 1
	minSlotsToReserve = 4
	// slotsKeptFromLate slots of each server of minSlotsToReserve are kept from late calls:
	// where all slots are taken, one that becomes free is wanted in the next moment by a
	// call that can be in time.
	slotsKeptFromLate = 2
	// maxPreference is how much of its score an entry's own maxPreference adds to a server at most: of
	// servers as good, the entries prefer different ones, as they don't know what the
	// others sent in this moment.
	maxPreference = 0.5
	// paceTolerance is how much slower than the fastest a server may be and still
	// take what no server can finish in time.
	paceTolerance = 1.3
	// lengthMargin is for answers longer than expected: four of five are shorter.
	lengthMargin = 1.5
	// minServed is how many answers have to be there before their mean duration tells
	// that calls are short.
	minServed = 5
	// lengthWeight is the weight of the newest answer in the average length.
	lengthWeight = 0.05
)

// available gives the servers with a free slot; suspended ones only if no server of
// the service is healthy and takes calls: one that rests may do so for long.
func (s *service) available(now time.Time) []*server {
	var open []*server
	healthy := slices.ContainsFunc(s.servers, func(one *server) bool { return s.healthy(now, one) && !one.rest.asked(now) })
	for _, one := range s.servers {
		if one.room(now, s) && (s.healthy(now, one) || !healthy) {
			open = append(open, one)
		}
	}
	return open
}

// capacity is how many calls a server may have: one for each slot, and those that
// find a slot soon where calls are short.
func (s *service) capacity(one *server) int {
	if s.served < minServed {
		return one.Slots
	}
	return one.Slots + int(float64(one.Slots)*s.freeSoonSeconds()/float64(s.duration))
}

// freeSoonSeconds is within how many seconds a slot has to become free to count as free now.
func (s *service) freeSoonSeconds() float64 {
	return max(freeSoon, time.Duration(s.peers)*freeSoonPerPeer).Seconds()
}

// outpacesUpdates says whether calls are over before the other entries hear of them.
func (s *service) outpacesUpdates() bool {
	return s.served >= minServed && float64(s.duration) < s.freeSoonSeconds()
}

// reserved is how many slots of each server are kept from calls of a tier: the lowest
// rank leaves some for those that can't wait, and late calls for those that can still be
// in time.
func (s *service) reserved(one *server, tier int) int {
	if one.Slots < minSlotsToReserve {
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

// freeSlots is how many slots of a server are left for calls of a tier.
func (s *service) freeSlots(one *server, tier int) int {
	return s.capacity(one) - one.load() - s.reserved(one, tier)
}

// recordRank records a route's rank.
func (s *service) recordRank(routeRank int) {
	if !s.anyRank {
		s.highestRank, s.lowestRank, s.anyRank = routeRank, routeRank, true
	}
	s.highestRank = min(s.highestRank, routeRank)
	s.lowestRank = max(s.lowestRank, routeRank)
}

// anyFree says whether one of the open servers has a slot for a tier.
func (s *service) anyFree(open []*server, tier int) bool {
	return slices.ContainsFunc(open, func(one *server) bool { return s.freeSlots(one, tier) > 0 })
}

// choose gives the open server that suits a call best; nil if none may have it.
func (d *Dispatcher) choose(now time.Time, s *service, open []*server, w *waiter) *server {
	var best *server
	var lowest float64
	f := s.forecast()
	typical, fastest := s.paces()
	for _, one := range s.candidates(now, f, open, w, fastest) {
		if score := d.score(one, typical) + f.latencyScore(now, one, w.req); best == nil || score < lowest {
			best, lowest = one, score
		}
	}
	return best
}

// candidates gives the open servers that may have a call. A call that could have been in time
// goes only where it still is, and waits else until it is late: the slot is of more use to
// a call that comes in the next moment. A late call keeps off servers where it would break
// the pauses of others, as long as there is one where it doesn't.
func (s *service) candidates(now time.Time, f *forecast, open []*server, w *waiter, fastest float64) []*server {
	req, tier := w.req, queueTier(w.req, w.late)
	left := req.Deadline.Sub(now).Seconds()
	canWait := s.canWait(now, req)
	feasible := !w.late && w.feasible || s.anyMeetsTarget(now, f, req, canWait)
	var out []*server
	for _, one := range open {
		if slices.Contains(req.Exclude, one.life) || s.freeSlots(one, tier) <= 0 {
			continue
		}
		if float64(one.pace) > fastest*paceTolerance && s.expectedDuration(one, req) > left {
			continue
		}
		if feasible && !f.meetsTarget(now, one, req, canWait) {
			continue
		}
		out = append(out, one)
	}
	return out
}

// expectedDuration is how many seconds a server needs for a stream's events, with a
// margin, as the caller's guess is often short; 0 if that is not known.
func (s *service) expectedDuration(one *server, req *Request) float64 {
	return lengthMargin * s.expectedEvents(req) * float64(one.pace)
}

// score is lower for the better server: its share of taken slots, times its
// pace against the others.
func (d *Dispatcher) score(s *server, typical float64) float64 {
	score := float64(s.load()+1) / float64(max(s.Slots, 1))
	if s.pace > 0 && typical > 0 {
		score *= float64(s.pace) / typical
	}
	score *= 1 + maxPreference*rendezvousHash(s.ID, d.Self)
	switch {
	case s.Hall == d.Hall:
	case len(d.peers) > runworks.ManyEntriesThreshold:
		score += remoteHallPenaltyMany
	default:
		score += remoteHallPenalty
	}
	return score
}

// paces gives the mean and the lowest of the paces that are known; 0 if none is.
func (s *service) paces() (typical, fastest float64) {
	sum, n := 0.0, 0
	for _, one := range s.servers {
		if one.pace == 0 || one.Draining {
			continue
		}
		pace := float64(one.pace)
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
