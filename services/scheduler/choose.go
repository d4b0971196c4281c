package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/peers"
)

const (
	// silenceTimeout is the time without a heartbeat after which an entry is no scheduler: an idle
	// entry sends one every 250 ms.
	silenceTimeout = 400 * time.Millisecond
	// silentHeartbeats is the least number of heartbeats that must be missing. It matters from 100
	// entries in a hall on, whose heartbeats are further apart: with 200, a fixed timeout would take
	// a live scheduler for silent now and then.
	silentHeartbeats = 2
)

// silenceAfter returns the time without a heartbeat after which an entry is no scheduler, with n other
// entries in the scope.
func silenceAfter(n int) time.Duration {
	return max(silenceTimeout, silentHeartbeats*peers.LocalInterval(n))
}

// candidates returns the entries that may schedule: this one and the others of the scope that
// schedule, are connected, were heard recently and are not stopping.
func candidates(now time.Time, self peers.Member, stopping bool, others []peers.PeerState, silence time.Duration) []peers.Member {
	out := make([]peers.Member, 0, len(others)+1)
	if !stopping {
		out = append(out, self)
	}
	for i := range others {
		if unfit(now, &others[i], silence) == "" {
			out = append(out, others[i].Member)
		}
	}
	return out
}

// scope returns the other entries that may schedule for this one: all, or those of the hall if there are
// more than runworks.ManyEntriesThreshold.
func scope(self peers.Member, others []peers.PeerState) []peers.PeerState {
	if len(others) <= runworks.ManyEntriesThreshold {
		return others
	}
	var out []peers.PeerState
	for i := range others {
		if others[i].Hall == self.Hall {
			out = append(out, others[i])
		}
	}
	return out
}

// unfit returns why an entry is no candidate; empty if it is one.
func unfit(now time.Time, one *peers.PeerState, silence time.Duration) fallback {
	switch {
	case !one.Schedules:
		return "version"
	case one.Stopping:
		return "stopping"
	case !one.Connected:
		return causeDisconnected
	case now.Sub(one.LastSeen) > silence:
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
