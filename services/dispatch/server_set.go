package dispatch

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/reservation"
)

// ServerSetChange is the difference that a new list of backend servers makes.
type ServerSetChange struct {
	// Added are the new incarnations, and Withdrawn those that started draining or were removed
	// without a restart.
	Added, Withdrawn []runworks.Instance
	// Restarted are the incarnations that ended because their servers restarted. Exited are those
	// that restarted or were removed without having announced that they drain.
	Restarted, Exited []runworks.Instance
}

// SetServers replaces the list of backend servers. A server that is no longer listed finishes
// the calls that it has and gets no new ones. One that restarted starts without any recorded
// state, and the calls of its last incarnation are notified.
func (d *Dispatcher) SetServers(list []runworks.Instance) ServerSetChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out ServerSetChange
	now := time.Now()
	old := d.servers
	d.servers = make(map[string]*server, len(list))
	d.newest = make(map[string]*server, len(list))
	for _, one := range list {
		id := one.IncarnationID()
		s := old[id]
		added, resumed := s == nil, s != nil && s.Suspended && !one.Suspended
		if added {
			s = &server{incarnation: id, reportState: d.takeExpired(id)}
			if s.limit.Active(now) {
				d.shareLimitLocked(now, s) // the set of entries may have changed in the meantime
			}
			out.Added = append(out.Added, one)
		} else if one.Unavailable() && !one.Suspended && !s.Draining {
			out.Withdrawn = append(out.Withdrawn, one)
		}
		s.draining = s.draining || one.Draining
		s.Instance = one
		s.Draining = one.Unavailable() || s.draining
		d.limitColdStartLocked(now, s, added && d.listed || resumed)
		d.servers[id] = s
		d.newest[one.ID] = s
	}
	for id, s := range old {
		if d.servers[id] == nil {
			d.dropServerLocked(now, s, &out)
		}
	}
	d.listed = true
	d.groupByServiceLocked()
	d.applyEarlyLocked(now)
	// The load of the other entries has to be known before any call is placed.
	d.sumPeersLocked()
	return out
}

// dropServerLocked notifies the calls of a server that is no longer listed, if it restarted, and adds
// it to the change.
func (d *Dispatcher) dropServerLocked(now time.Time, s *server, out *ServerSetChange) {
	if !s.Draining {
		out.Exited = append(out.Exited, s.Instance)
	}
	if d.newest[s.ID] != nil {
		out.Restarted = append(out.Restarted, s.Instance)
		s.markRestarted()
	} else if !s.Draining {
		out.Withdrawn = append(out.Withdrawn, s.Instance)
	}
	s.Draining = true
	d.keepExpired(now, s)
}

// findServer returns the server that another entry names: by incarnation ID or, as entries of
// older versions do, by server ID, which is taken for its newest incarnation.
func (d *Dispatcher) findServer(name string) *server {
	if s := d.servers[name]; s != nil {
		return s
	}
	return d.newest[name]
}

// groupByServiceLocked assigns the servers to their services.
func (d *Dispatcher) groupByServiceLocked() {
	if d.services == nil {
		d.services = make(map[string]*service)
	}
	for _, s := range d.services {
		s.servers = nil
	}
	for _, one := range d.servers {
		s := d.services[one.Service]
		if s == nil {
			s = d.newService(one.Service)
			d.services[one.Service] = s
		}
		s.servers = append(s.servers, one)
	}
}

func (d *Dispatcher) newService(name string) *service {
	maxWaiting := d.MaxWaiting
	if maxWaiting == 0 {
		maxWaiting = DefaultMaxWaiting
	}
	return &service{
		name: name, waiters: make(map[runworks.RequestID]*waiter),
		queue:          reservation.Queue{MaxWaiting: maxWaiting},
		permitRequests: permitRequests{enabled: d.RequestPermits != nil},
	}
}

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
		if s.ownCalls > 0 {
			out.Running[id] = s.ownCalls
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
	d.replacePeerLoadLocked(&old, &load)
}

// RemovePeer removes an entry that is gone: its calls count as ended, and its shares of the
// servers' rate limits are redistributed.
func (d *Dispatcher) RemovePeer(from runworks.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreachable, from)
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
	d.dropPeerLoadLocked(from)
}

// dropPeerLoadLocked removes the load of another entry.
func (d *Dispatcher) dropPeerLoadLocked(from runworks.Incarnation) {
	old := d.peers[from]
	delete(d.peers, from)
	d.replacePeerLoadLocked(&old, &runworks.EntryLoad{})
}

// replacePeerLoadLocked replaces what one entry adds to the servers' sums, and places waiting
// calls in the slots that this frees.
func (d *Dispatcher) replacePeerLoadLocked(old, load *runworks.EntryLoad) {
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
		d.pumpLocked(s)
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

// ServerStatus is the state of one backend server, for operators.
type ServerStatus struct {
	ID         string `json:"id"`
	Generation int64  `json:"born,omitempty"`
	Service    string `json:"service"`
	Hall       string `json:"hall"`
	Slots      int    `json:"slots"`
	// OwnCalls and PeerCalls are the calls that this entry and the others run at the server.
	OwnCalls     int       `json:"own"`
	PeerCalls    int       `json:"others"`
	Draining     bool      `json:"leaving,omitempty"`
	Suspended    bool      `json:"suspended,omitempty"`
	EjectedUntil time.Time `json:"suspended_until,omitzero"`
	// Limit is the last rate limit that the server reported, and LimitShare this entry's share
	// of it in requests per second.
	Limit      runworks.RateLimit `json:"limit,omitzero"`
	LimitShare float64            `json:"limit_part,omitempty"`
	// ReportedDraining is set once the server itself reported that it drains, BackoffUntil is the
	// end of the back-off that it requested of this entry, and ReportedLoad the load in its
	// newest report.
	ReportedDraining bool                 `json:"says_leaving,omitempty"`
	BackoffUntil     time.Time            `json:"rests_until,omitzero"`
	ReportedLoad     *runworks.ServerLoad `json:"told,omitempty"`
}

// ServerStatuses returns the state of all backend servers, in no particular order.
func (d *Dispatcher) ServerStatuses() []ServerStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]ServerStatus, 0, len(d.servers))
	for _, s := range d.servers {
		limit, _ := s.limit.Reported()
		out = append(out, ServerStatus{
			ID: s.ID, Generation: s.Generation, Service: s.Service, Hall: s.Hall, Slots: s.Slots,
			OwnCalls: s.ownCalls, PeerCalls: s.peerCalls, Draining: s.Draining, Suspended: s.Suspended, EjectedUntil: s.ejectedUntil,
			Limit: limit, LimitShare: s.limit.Share().PerSecond,
			ReportedDraining: s.draining, BackoffUntil: s.backoff.until, ReportedLoad: s.reportedLoad,
		})
	}
	return out
}

// WaitingCalls returns the number of waiting calls by service.
func (d *Dispatcher) WaitingCalls() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.services))
	for name, s := range d.services {
		out[name] = s.queue.Len()
	}
	return out
}
