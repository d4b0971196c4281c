package dispatch

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/reservation"
)

// ServerSetChange tells what a new list of backend servers changed.
type ServerSetChange struct {
	// Added are the servers that are new, and Withdrawn those that leave or are gone.
	Added, Withdrawn []runworks.Instance
	// Restarted are the lives that are over, as their servers started again, and Exited those and
	// the ones that are on the list no more and had not said that they leave.
	Restarted, Exited []runworks.Instance
}

// SetServers puts the list of backend servers in force. A server that is on it no
// more is leaving: what it runs goes on, and it gets nothing new. Of one that started
// again nothing is known, and the calls that its last life had are told so.
func (d *Dispatcher) SetServers(list []runworks.Instance) ServerSetChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out ServerSetChange
	now := time.Now()
	old := d.servers
	d.servers = make(map[string]*server, len(list))
	d.newest = make(map[string]*server, len(list))
	for _, one := range list {
		life := one.IncarnationID()
		s := old[life]
		if s == nil {
			s = &server{incarnation: life, reportState: d.takeExpired(life)}
			if s.limit.Active(now) {
				d.shareLimitLocked(now, s) // the entries may have changed meanwhile
			}
			out.Added = append(out.Added, one)
		} else if one.Unavailable() && !s.Draining {
			out.Withdrawn = append(out.Withdrawn, one)
		}
		s.draining = s.draining || one.Draining
		s.Instance = one
		s.Draining = one.Unavailable() || s.draining
		d.servers[life] = s
		d.newest[one.ID] = s
	}
	for life, s := range old {
		if d.servers[life] != nil {
			continue
		}
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
	d.groupByServiceLocked()
	d.applyEarlyLocked(now)
	// What the others run counts before any call is placed.
	d.sumPeersLocked()
	return out
}

// findServer gives the server that another entry names: a life, or of entries of older versions
// an id, which stands for the newest life.
func (d *Dispatcher) findServer(name string) *server {
	if s := d.servers[name]; s != nil {
		return s
	}
	return d.newest[name]
}

// groupByServiceLocked deals the servers out to their services again.
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
		queue: reservation.Queue{MaxWaiting: maxWaiting}, permitRequests: permitRequests{enabled: d.RequestPermits != nil},
	}
}

// LocalLoad gives what this entry runs and what waits here, for the others. They may take
// the slots that calls left here from now on.
func (d *Dispatcher) LocalLoad() runworks.EntryLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := runworks.EntryLoad{Running: make(runworks.RunningCalls), Waiting: make(runworks.WaitingCalls), ConsecutiveFailures: map[string]int{}, UnreadPromptTokens: map[string]int{}}
	now := time.Now()
	for life, s := range d.servers {
		s.vacated = 0
		if s.failing(now, d.services[s.Service]) {
			out.Ejected = append(out.Ejected, life)
		}
		if s.ownCalls > 0 {
			out.Running[life] = s.ownCalls
		}
		if s.ownUnread >= minUnreadReported {
			out.UnreadPromptTokens[life] = s.ownUnread
		}
		if s.ownErrors > 0 {
			out.ConsecutiveFailures[life] = s.ownErrors
		}
	}
	slices.Sort(out.Ejected)
	for name, s := range d.services {
		if rank, calls := s.queue.First(); calls > 0 {
			out.Waiting[name] = runworks.WaitingCall{Rank: rank, Calls: calls}
		}
	}
	return out
}

// SetPeerLoad takes what another entry runs and what waits there, in place of what it told
// before. Only what the two tell of is looked at: adding up all entries again would cost a
// large fleet more with each heartbeat than anything else does.
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

// RemovePeer counts the calls of another entry as ended: it is gone.
func (d *Dispatcher) RemovePeer(from runworks.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreachable, from)
	d.dropPeerLoadLocked(from)
	d.shareLimitsLocked(time.Now())
}

// MarkPeerUnreachable counts the calls of another entry as ended that fell silent. It may still send, only
// out of touch: it keeps its part of the servers' limits until it counts as gone.
func (d *Dispatcher) MarkPeerUnreachable(from runworks.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachable == nil {
		d.unreachable = make(map[runworks.Incarnation]time.Time)
	}
	d.unreachable[from] = time.Now()
	d.dropPeerLoadLocked(from)
}

// dropPeerLoadLocked counts what another entry had as over.
func (d *Dispatcher) dropPeerLoadLocked(from runworks.Incarnation) {
	old := d.peers[from]
	delete(d.peers, from)
	d.replacePeerLoadLocked(&old, &runworks.EntryLoad{})
}

// replacePeerLoadLocked counts what an entry has now in place of what it had, and uses the slots
// that this frees.
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

// sumPeersLocked adds up what the other entries have at each server, and what they say
// of it.
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

// addPeerLoadLocked adds what one other entry has at each server, and says of it, as often as
// times says: -1 takes it back.
func (d *Dispatcher) addPeerLoadLocked(load *runworks.EntryLoad, times int) {
	for id, n := range load.Running {
		if s := d.findServer(id); s != nil {
			s.peerCalls += times * n
		}
	}
	for id, n := range load.UnreadPromptTokens {
		if s := d.findServer(id); s != nil {
			s.peerUnread += times * n
		}
	}
	for id, n := range load.ConsecutiveFailures {
		if s := d.findServer(id); s != nil {
			s.peerErrors += times * n
		}
	}
	for _, id := range load.Ejected {
		if s := d.findServer(id); s != nil {
			s.peerEjections += times
		}
	}
}

// ServerStatus is the state of one backend server for operators.
type ServerStatus struct {
	ID           string    `json:"id"`
	Generation   int64     `json:"born,omitempty"`
	Service      string    `json:"service"`
	Hall         string    `json:"hall"`
	Slots        int       `json:"slots"`
	OwnCalls     int       `json:"own"`
	PeerCalls    int       `json:"others"`
	Draining     bool      `json:"leaving,omitempty"`
	EjectedUntil time.Time `json:"suspended_until,omitzero"`
	// Limit is what the server said last of the requests that it takes, and LimitPart this
	// entry's part of it in requests a second.
	Limit      runworks.RateLimit `json:"limit,omitzero"`
	LimitShare float64            `json:"limit_part,omitempty"`
	// ReportedDraining is its own word that it leaves, RestsUntil until when it wants nothing from
	// this entry, and Told what it had to do by its newest answer.
	ReportedDraining bool                 `json:"says_leaving,omitempty"`
	BackoffUntil     time.Time            `json:"rests_until,omitzero"`
	ReportedLoad     *runworks.ServerLoad `json:"told,omitempty"`
}

// ServerStatuses gives the state of all backend servers.
func (d *Dispatcher) ServerStatuses() []ServerStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]ServerStatus, 0, len(d.servers))
	for _, s := range d.servers {
		limit, _ := s.limit.Reported()
		out = append(out, ServerStatus{
			ID: s.ID, Generation: s.Generation, Service: s.Service, Hall: s.Hall, Slots: s.Slots, OwnCalls: s.ownCalls, PeerCalls: s.peerCalls,
			Draining: s.Draining, EjectedUntil: s.ejectedUntil, Limit: limit, LimitShare: s.limit.Share().PerSecond,
			ReportedDraining: s.draining, BackoffUntil: s.backoff.until, ReportedLoad: s.reportedLoad,
		})
	}
	return out
}

// WaitingCalls gives how many calls wait for each service.
func (d *Dispatcher) WaitingCalls() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.services))
	for name, s := range d.services {
		out[name] = s.queue.Len()
	}
	return out
}
