package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/runworks/runworks"
)

// turnTime, and turnPerPeer for each other entry, is after how long a free slot is
// open to one more entry: the first in turn has taken it and told so by then, or has
// not. Both are twice the time between heartbeats (package peers).
const (
	turnTime    = 100 * time.Millisecond
	turnPerPeer = 4 * time.Millisecond
)

// turns gives those of the open servers that this entry may use for a call of its
// highest waiting rank. A slot that becomes free is told to all entries at once, and
// all that have calls waiting would send one. So they share free slots by what all of
// them know: the higher rank goes first, and between equals a hash weighted with the
// number of calls that wait. A slot that the entry's own call left is its own until
// the others are told.
func (d *Dispatcher) turns(now time.Time, s *service, open []*server) []*server {
	if s.outpaced() {
		return open
	}
	var mine runworks.WaitingCall
	mine.Rank, mine.Calls = s.queue.First()
	rivals := d.rivals(s.name, mine.Rank)
	out := open[:0]
	for _, one := range open {
		if one.limit.InForce(now) {
			out = append(out, one) // each entry has a part of its own
			continue
		}
		offered := s.free(one, mine.Rank) + one.unused(now, d.turnTime())
		if one.vacated > 0 || d.inTurn(one, rivals, mine, offered) {
			out = append(out, one)
		}
	}
	return out
}

// rival is another entry with calls of this rank, or a higher one, waiting.
type rival struct {
	life runworks.Incarnation
	runworks.WaitingCall
}

// rivals gives the entries whose calls compete with one of a rank.
func (d *Dispatcher) rivals(service string, rank int) []rival {
	out := make([]rival, 0, len(d.peers))
	for life, load := range d.peers {
		if w, ok := load.Waiting[service]; ok && w.Rank <= rank {
			out = append(out, rival{life: life, WaitingCall: w})
		}
	}
	return out
}

// inTurn says whether fewer rivals than slots are offered come before this entry at a
// server. With a hundred rivals and one slot some five of them tell.
func (d *Dispatcher) inTurn(one *server, rivals []rival, mine runworks.WaitingCall, offered int) bool {
	ahead := 0
	own := 0.0
	for _, r := range rivals {
		if ahead >= offered {
			break
		}
		if own == 0 {
			own = claim(one.ID, d.Self, mine.Calls)
		}
		if r.Rank < mine.Rank || claim(one.ID, r.life, r.Calls) > own {
			ahead++
		}
	}
	return ahead < offered
}

// turnTime is how long an entry in turn has for itself.
func (d *Dispatcher) turnTime() time.Duration {
	return turnTime + time.Duration(len(d.peers))*turnPerPeer
}

// claim is the weight of an entry's claim on a server, by weighted rendezvous
// hashing: of all entries the one with the most calls has most often the highest.
func claim(server string, life runworks.Incarnation, calls int) float64 {
	return float64(calls) / -math.Log(rendezvousHash(server, life))
}

// rendezvousHash gives a number between 0 and 1 that an entry and a server have in common.
func rendezvousHash(server string, life runworks.Incarnation) float64 {
	return (float64(xxhash.Sum64String(server+string(life))>>11) + 0.5) / (1 << 53)
}

// unused is how many turns have passed since the server's load changed: so many more
// entries may use a slot of it, as those before them did not.
func (s *server) unused(now time.Time, turn time.Duration) int {
	if load := s.load(); load != s.seen || s.since.IsZero() {
		s.seen, s.since = load, now
	}
	return int(now.Sub(s.since) / turn)
}
