package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/runworks/runworks"
)

// turnDuration, plus turnDurationPerPeer for each other entry, is the time after which a free
// slot is offered to the next entry: by then the first in turn has either taken it and
// reported that, or left it. Both are twice the heartbeat interval (package peers).
const (
	turnDuration        = 100 * time.Millisecond
	turnDurationPerPeer = 4 * time.Millisecond
)

// serversInTurn returns those of the available servers that this entry may use for a call of
// its highest waiting rank. All entries learn of a free slot at the same time, and each with
// calls waiting would send one. So they divide free slots by what all of them know: the
// higher rank goes first, and among equals a hash weighted by the number of waiting calls.
// A slot that a call of this entry freed belongs to it until the others are notified.
func (d *Dispatcher) serversInTurn(now time.Time, s *service, available []*server) []*server {
	if s.outpacesUpdates() {
		return available
	}
	var own runworks.WaitingCall
	own.Rank, own.Calls = s.queue.HighestRank()
	contenders := d.contenders(s.name, own.Rank)
	out := available[:0]
	for _, one := range available {
		if one.limit.Active(now) {
			out = append(out, one) // each entry has a share of its own
			continue
		}
		passed := one.unusedTurns(now, d.turnDuration())
		if one.vacated > 0 || d.inTurn(one, contenders, own, s.freeSlots(one, own.Rank), passed) {
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

// contenders returns the entries whose calls compete with one of a rank.
func (d *Dispatcher) contenders(service string, rank int) []contender {
	out := make([]contender, 0, len(d.peers))
	for id, load := range d.peers {
		if w, ok := load.Waiting[service]; ok && w.Rank <= rank {
			out = append(out, contender{entry: id, WaitingCall: w})
		}
	}
	return out
}

// inTurn reports whether one of a server's free slots is offered to this entry: to as many of the
// contenders as there are slots, from the first or, after passed turns in which none was used, from
// the one that many places further on. The slot moves on instead of being offered to more entries,
// as all of them would use it at the moment at which their calls can. With a hundred contenders and
// one slot, about five are compared before it returns in the first turn.
func (d *Dispatcher) inTurn(one *server, contenders []contender, own runworks.WaitingCall, free, passed int) bool {
	if free <= 0 {
		return false
	}
	n := len(contenders) + 1
	passed %= n
	ahead := 0
	ownClaim := 0.0
	for _, r := range contenders {
		if passed == 0 && ahead >= free {
			break
		}
		if ownClaim == 0 {
			ownClaim = claimWeight(one.ID, d.Self, own.Calls)
		}
		if r.Rank < own.Rank || claimWeight(one.ID, r.entry, r.Calls) > ownClaim {
			ahead++
		}
	}
	return (ahead-passed+n)%n < free
}

// turnDuration returns how long a free slot is offered to each entry in turn.
func (d *Dispatcher) turnDuration() time.Duration {
	return turnDuration + time.Duration(len(d.peers))*turnDurationPerPeer
}

// claimWeight returns the weight of an entry's claim on a server by weighted rendezvous
// hashing: the more calls wait at an entry, the more often its claim is the highest.
func claimWeight(server string, entry runworks.Incarnation, calls int) float64 {
	return float64(calls) / -math.Log(rendezvousHash(server, entry))
}

// rendezvousHash returns a number between 0 and 1 for a pair of a server and an entry.
func rendezvousHash(server string, entry runworks.Incarnation) float64 {
	var buffer [128]byte // holds the names without an allocation
	pair := append(append(buffer[:0], server...), entry...)
	return (float64(xxhash.Sum64(pair)>>11) + 0.5) / (1 << 53)
}

// unusedTurns returns how many turns passed in which no slot of the server was used. They are counted
// from the last change of its calls or of the prompts that it has not read, as no entry may be able to
// use a slot while a long prompt is read.
func (s *server) unusedTurns(now time.Time, turn time.Duration) int {
	load, unread := s.load(), s.ownUnread+s.peerUnread
	if load != s.lastLoad || unread != s.lastUnread || s.unchangedSince.IsZero() {
		s.lastLoad, s.lastUnread, s.unchangedSince = load, unread, now
	}
	return int(now.Sub(s.unchangedSince) / turn)
}
