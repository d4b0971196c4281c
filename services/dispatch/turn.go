package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/runworks/runworks"
)

// turnDuration, and turnDurationPerPeer for each other entry, is after how long a free slot is
// open to one more entry: the first in turn has taken it and told so by then, or has
// not. Both are twice the time between heartbeats (package peers).
const (
	turnDuration        = 100 * time.Millisecond
	turnDurationPerPeer = 4 * time.Millisecond
)

// serversInTurn gives those of the open servers that this entry may use for a call of its
// highest waiting rank. A slot that becomes free is told to all entries at once, and
// all that have calls waiting would send one. So they share free slots by what all of
// them know: the higher rank goes first, and between equals a hash weighted with the
// number of calls that wait. A slot that the entry's own call left is its own until
// the others are told.
func (d *Dispatcher) serversInTurn(now time.Time, s *service, available []*server) []*server {
	if s.outpacesUpdates() {
		return available
	}
	var own runworks.WaitingCall
	own.Rank, own.Calls = s.queue.First()
	contenders := d.contenders(s.name, own.Rank)
	out := available[:0]
	for _, one := range available {
		if one.limit.Active(now) {
			out = append(out, one) // each entry has a part of its own
			continue
		}
		offered := s.freeSlots(one, own.Rank) + one.unusedTurns(now, d.turnDuration())
		if one.vacated > 0 || d.inTurn(one, contenders, own, offered) {
			out = append(out, one)
		}
	}
	return out
}

// contender is another entry with calls of this rank, or a higher one, waiting.
type contender struct {
	entry runworks.Incarnation
	runworks.WaitingCall
}

// contenders gives the entries whose calls compete with one of a rank.
func (d *Dispatcher) contenders(service string, rank int) []contender {
	out := make([]contender, 0, len(d.peers))
	for life, load := range d.peers {
		if w, ok := load.Waiting[service]; ok && w.Rank <= rank {
			out = append(out, contender{entry: life, WaitingCall: w})
		}
	}
	return out
}

// inTurn says whether fewer rivals than slots are offered come before this entry at a
// server. With a hundred rivals and one slot some five of them tell.
func (d *Dispatcher) inTurn(one *server, contenders []contender, mine runworks.WaitingCall, offered int) bool {
	ahead := 0
	own := 0.0
	for _, r := range contenders {
		if ahead >= offered {
			break
		}
		if own == 0 {
			own = claimWeight(one.ID, d.Self, mine.Calls)
		}
		if r.Rank < mine.Rank || claimWeight(one.ID, r.entry, r.Calls) > own {
			ahead++
		}
	}
	return ahead < offered
}

// turnDuration is how long an entry in turn has for itself.
func (d *Dispatcher) turnDuration() time.Duration {
	return turnDuration + time.Duration(len(d.peers))*turnDurationPerPeer
}

// claimWeight is the weight of an entry's claimWeight on a server, by weighted rendezvous
// hashing: of all entries the one with the most calls has most often the highest.
func claimWeight(server string, entry runworks.Incarnation, calls int) float64 {
	return float64(calls) / -math.Log(rendezvousHash(server, entry))
}

// rendezvousHash gives a number between 0 and 1 that an entry and a server have in common.
func rendezvousHash(server string, entry runworks.Incarnation) float64 {
	return (float64(xxhash.Sum64String(server+string(entry))>>11) + 0.5) / (1 << 53)
}

// unusedTurns is how many turns have passed since the server's load changed: so many more
// entries may use a slot of it, as those before them did not.
func (s *server) unusedTurns(now time.Time, turn time.Duration) int {
	if load := s.load(); load != s.seen || s.since.IsZero() {
		s.seen, s.since = load, now
	}
	return int(now.Sub(s.since) / turn)
}
