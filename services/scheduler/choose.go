package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/peers"
)

// silenceTimeout is the time without a heartbeat after which an entry is no scheduler: an idle entry
// sends one every 250 ms.
const silenceTimeout = 400 * time.Millisecond

// candidates returns the entries that may schedule: this one and the others of the scope that
// schedule, are connected, were heard recently and are not stopping. The scope is all entries, or
// those of the hall if there are more than runworks.ManyEntriesThreshold others.
func candidates(now time.Time, self peers.Member, stopping bool, others []peers.PeerState) []peers.Member {
	out := make([]peers.Member, 0, len(others)+1)
	if !stopping {
		out = append(out, self)
	}
	hallOnly := len(others) > runworks.ManyEntriesThreshold
	for i := range others {
		if (!hallOnly || others[i].Hall == self.Hall) && unfit(now, &others[i]) == "" {
			out = append(out, others[i].Member)
		}
	}
	return out
}

// unfit returns why an entry is no candidate; empty if it is one.
func unfit(now time.Time, one *peers.PeerState) fallback {
	switch {
	case !one.Schedules:
		return "version"
	case one.Stopping:
		return "stopping"
	case !one.Connected:
		return causeDisconnected
	case now.Sub(one.LastSeen) > silenceTimeout:
		return causeSilent
	}
	return ""
}

// choose returns the scheduler of a service: of the candidates with the largest processor share, the
// first by rendezvous hash of service and incarnation. It is empty without candidates.
func choose(service string, list []peers.Member) peers.Member {
	largest := 0.0
	for i := range list {
		largest = max(largest, list[i].CPU)
	}
	var best peers.Member
	var bestHash uint64
	for i := range list {
		if list[i].CPU < largest {
			continue
		}
		hash := xxhash.Sum64String(service + "\x00" + string(list[i].Incarnation))
		if best.Incarnation == "" || hash > bestHash {
			best, bestHash = list[i], hash
		}
	}
	return best
}
