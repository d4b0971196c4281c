package dispatch

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

const (
	// hallCost is what another hall adds to a server's score, as a part of its
	// load: it decides between equals.
	hallCost = 0.05
	// farCost is the same where there are many entries: what is known of the load there is
	// some times as old.
	farCost = 0.5
	// reservedSlots of each server are kept from the lowest rank of routes, where
	// it has minSlotsToReserve.
	reservedSlots     = 1
	minSlotsToReserve = 4
	// keptFromLate slots of each server of minSlotsToReserve are kept from late calls:
	// where all slots are taken, one that becomes free is wanted in the next moment by a
	// call that can be in time.
	keptFromLate = 2
	// taste is how much of its score an entry's own taste adds to a server at most: of
	// servers as good, the entries prefer different ones, as they don't know what the
	// others sent in this moment.
	taste = 0.5
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

// open gives the servers with a free slot; suspended ones only if no server of
// the service is healthy and takes calls: one that rests may do so for long.
func (s *service) open(now time.Time) []*server {
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
	return one.Slots + int(float64(one.Slots)*s.soon()/float64(s.duration))
}

// soon is within how many seconds a slot has to become free to count as free now.
func (s *service) soon() float64 {
	return max(freeSoon, time.Duration(s.peers)*freeSoonPerPeer).Seconds()
}

// outpaced says whether calls are over before the other entries hear of them.
func (s *service) outpaced() bool {
	return s.served >= minServed && float64(s.duration) < s.soon()
}

// reserved is how many slots of each server are kept from calls of a tier: the lowest
// rank leaves some for those that can't wait, and late calls for those that can still be
// in time.
func (s *service) reserved(one *server, tier int) int {
	if one.Slots < minSlotsToReserve {
		return 0
	}
	n := 0
	if isLate(tier) {
		n = keptFromLate
	}
	if s.highestRank != s.lowestRank && routeRank(tier) >= s.lowestRank && s.lastingLowest() {
		n = max(n, reservedSlots)
	}
	return n
}

// free is how many slots of a server are left for calls of a tier.
func (s *service) free(one *server, tier int) int {
	return s.capacity(one) - one.load() - s.reserved(one, tier)
}

// noteRank records a route's rank.
func (s *service) noteRank(routeRank int) {
	if !s.anyRank {
		s.highestRank, s.lowestRank, s.anyRank = routeRank, routeRank, true
	}
	s.highestRank = min(s.highestRank, routeRank)
	s.lowestRank = max(s.lowestRank, routeRank)
}

// anyFor says whether one of the open servers has a slot for a tier.
func (s *service) anyFor(open []*server, tier int) bool {
	return slices.ContainsFunc(open, func(one *server) bool { return s.free(one, tier) > 0 })
}

// choose gives the open server that suits a call best; nil if none may have it.
func (d *Dispatcher) choose(now time.Time, s *service, open []*server, w *waiter) *server {
	var best *server
	var lowest float64
	o := s.outlook()
	typical, fastest := s.paces()
	for _, one := range s.suited(now, o, open, w, fastest) {
		if score := d.score(one, typical) + o.delay(now, one, w.ask); best == nil || score < lowest {
			best, lowest = one, score
		}
	}
	return best
}

// suited gives the open servers that may have a call. A call that could have been in time
// goes only where it still is, and waits else until it is late: the slot is of more use to
// a call that comes in the next moment. A late call keeps off servers where it would break
// the pauses of others, as long as there is one where it doesn't.
func (s *service) suited(now time.Time, o *outlook, open []*server, w *waiter, fastest float64) []*server {
	ask, tier := w.ask, queueRank(w.ask, w.late)
	left := ask.Deadline.Sub(now).Seconds()
	canWait := s.canWait(now, ask)
	fitting := !w.late && w.fits || s.fitsAny(now, o, ask, canWait)
	var out []*server
	for _, one := range open {
		if slices.Contains(ask.Exclude, one.life) || s.free(one, tier) <= 0 {
			continue
		}
		if float64(one.pace) > fastest*paceTolerance && s.expected(one, ask) > left {
			continue
		}
		if fitting && !o.fits(now, one, ask, canWait) {
			continue
		}
		out = append(out, one)
	}
	return out
}

// expected is how many seconds a server needs for a stream's events, with a
// margin, as the caller's guess is often short; 0 if that is not known.
func (s *service) expected(one *server, ask *Request) float64 {
	return lengthMargin * s.events(ask) * float64(one.pace)
}

// score is lower for the better server: its share of taken slots, times its
// pace against the others.
func (d *Dispatcher) score(s *server, typical float64) float64 {
	score := float64(s.load()+1) / float64(max(s.Slots, 1))
	if s.pace > 0 && typical > 0 {
		score *= float64(s.pace) / typical
	}
	score *= 1 + taste*rendezvousHash(s.ID, d.Self)
	switch {
	case s.Hall == d.Hall:
	case len(d.peers) > runworks.ManyEntriesThreshold:
		score += farCost
	default:
		score += hallCost
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
