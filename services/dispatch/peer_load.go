package dispatch

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

// LocalLoad returns this entry's running and waiting calls, for the other entries. From now on
// they may use the slots that calls of this entry released.
func (d *Dispatcher) LocalLoad() runworks.EntryLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := runworks.EntryLoad{
		Running: make(runworks.RunningCalls), Waiting: make(runworks.WaitingCalls),
		ConsecutiveFailures: map[string]int{}, UnreadPromptTokens: map[string]int{},
	}
	now := time.Now()
	for id, s := range d.servers {
		s.vacated = 0
		if s.failing(now, d.services[s.Service]) {
			out.Ejected = append(out.Ejected, id)
		}
		if n := s.countedCalls(); n > 0 {
			out.Running[id] = n
		}
		if s.ownUnread >= minUnreadReported {
			out.UnreadPromptTokens[id] = s.ownUnread
		}
		if s.ownErrors > 0 {
			out.ConsecutiveFailures[id] = s.ownErrors
		}
	}
	slices.Sort(out.Ejected)
	for name, s := range d.services {
		if rank, calls := s.queue.HighestRank(); calls > 0 {
			out.Waiting[name] = runworks.WaitingCall{Rank: rank, Calls: calls}
		}
	}
	return out
}

// SetPeerLoad replaces the load of another entry by a newer one. Only the servers that either
// names are updated: adding up the loads of all entries with each heartbeat would be the largest
// cost in a system of many entries.
func (d *Dispatcher) SetPeerLoad(from runworks.Incarnation, load runworks.EntryLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = make(map[runworks.Incarnation]runworks.EntryLoad)
	}
	old, known := d.peers[from]
	d.peers[from] = load
	if !known {
		delete(d.unreachable, from)
		d.shareLimitsLocked(time.Now())
	}
	d.replacePeerLoadLocked(&old, &load, d.pumpForPeersLocked)
}

// RemovePeer removes an entry that is gone: its calls count as ended, and its shares of the
// servers' rate limits are redistributed.
func (d *Dispatcher) RemovePeer(from runworks.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreachable, from)
	d.dropGrantsLocked(from)
	d.dropPeerLoadLocked(from)
	d.shareLimitsLocked(time.Now())
}

// MarkPeerUnreachable counts the calls of an entry that timed out as ended. The entry may still
// be sending requests, so it keeps its shares of the servers' rate limits until
// runworks.EntryTimeout has passed.
func (d *Dispatcher) MarkPeerUnreachable(from runworks.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachable == nil {
		d.unreachable = make(map[runworks.Incarnation]time.Time)
	}
	d.unreachable[from] = time.Now()
	d.dropGrantsLocked(from)
	d.dropPeerLoadLocked(from)
}

// dropPeerLoadLocked removes the load of another entry.
func (d *Dispatcher) dropPeerLoadLocked(from runworks.Incarnation) {
	old := d.peers[from]
	delete(d.peers, from)
	d.replacePeerLoadLocked(&old, &runworks.EntryLoad{}, d.pumpLocked)
}

// replacePeerLoadLocked replaces what one entry adds to the servers' sums. pump then places the
// waiting calls of a service in the slots that this frees.
func (d *Dispatcher) replacePeerLoadLocked(old, load *runworks.EntryLoad, pump func(s *service)) {
	d.addPeerLoadLocked(old, -1)
	d.addPeerLoadLocked(load, 1)
	now := time.Now()
	for _, id := range slices.Concat(old.Ejected, load.Ejected) {
		if s := d.findServer(id); s != nil {
			d.notePeerEjectionsLocked(now, s)
		}
	}
	for _, s := range d.services {
		s.peers = len(d.peers)
		if len(old.ConsecutiveFailures)+len(load.ConsecutiveFailures) > 0 {
			d.ejectFailingLocked(now, s)
		}
		// Where this entry schedules the service, the loads of the others free hardly any slot.
		if !s.schedules(now) {
			pump(s)
		}
	}
}

// sumPeersLocked adds up the loads of all other entries for each server.
func (d *Dispatcher) sumPeersLocked() {
	now := time.Now()
	for _, s := range d.servers {
		s.peerCalls = 0
		s.peerEjections, s.peerErrors, s.peerUnread = 0, 0, 0
	}
	for _, load := range d.peers {
		d.addPeerLoadLocked(&load, 1)
	}
	for _, s := range d.servers {
		d.notePeerEjectionsLocked(now, s)
	}
	for _, s := range d.services {
		s.peers = len(d.peers)
		d.ejectFailingLocked(now, s)
		d.pumpLocked(s)
	}
}

// addPeerLoadLocked adds the load of one other entry, times factor, to the servers' sums; a
// factor of -1 subtracts it.
func (d *Dispatcher) addPeerLoadLocked(load *runworks.EntryLoad, factor int) {
	for id, n := range load.Running {
		if s := d.findServer(id); s != nil {
			s.peerCalls += factor * n
		}
	}
	for id, n := range load.UnreadPromptTokens {
		if s := d.findServer(id); s != nil {
			s.peerUnread += factor * n
		}
	}
	for id, n := range load.ConsecutiveFailures {
		if s := d.findServer(id); s != nil {
			s.peerErrors += factor * n
		}
	}
	for _, id := range load.Ejected {
		if s := d.findServer(id); s != nil {
			s.peerEjections += factor
		}
	}
}
