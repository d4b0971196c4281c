package peers

import (
	"time"

	"github.com/runworks/runworks"
)

// interval returns the time between heartbeats to local entries.
func (x *Exchange) interval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	local, _ := x.countsLocked()
	return x.intervalLocked(local)
}

func (x *Exchange) intervalLocked(local int) time.Duration {
	interval := x.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	return max(interval, time.Duration(local)*intervalPerPeer)
}

// LocalInterval returns the time between heartbeats of an entry to each of n local ones.
func LocalInterval(n int) time.Duration {
	return max(DefaultInterval, time.Duration(n)*intervalPerPeer)
}

// remoteInterval returns the time between heartbeats to remote entries.
func (x *Exchange) remoteInterval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.remoteIntervalLocked()
}

func (x *Exchange) remoteIntervalLocked() time.Duration {
	local, remote := x.countsLocked()
	return max(x.intervalLocked(local), time.Duration(remote)*remoteIntervalPerPeer)
}

// countsLocked returns the numbers of local and of remote entries.
func (x *Exchange) countsLocked() (local, remote int) {
	for _, one := range x.peers {
		if x.isLocalLocked(one.hall) {
			local++
		}
	}
	return local, len(x.peers) - local
}

// isLocalLocked reports whether the entries of a hall receive every heartbeat. Up to
// ManyEntriesThreshold entries this applies to all halls.
func (x *Exchange) isLocalLocked(hall string) bool {
	return hall == x.Self.Hall || len(x.peers) <= runworks.ManyEntriesThreshold
}
