package dispatch

import (
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
	d.applyEarlyEstimatesLocked(now)
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
		s.servers, s.all = nil, nil
	}
	for _, one := range d.servers {
		s := d.services[one.Service]
		if s == nil {
			s = d.newService(one.Service)
			d.services[one.Service] = s
		}
		s.all = append(s.all, one)
		one.fleet = &s.fleet
	}
	for _, s := range d.services {
		s.servers = s.all
		d.applyGateLocked(s)
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
		use:            d.customerUseLocked,
		permitRequests: permitRequests{enabled: d.RequestPermits != nil},
	}
}

// ServerStatus is the state of one backend server, for operators.
type ServerStatus struct {
	ID         string `json:"id"`
	Generation int64  `json:"born,omitempty"`
	Service    string `json:"service"`
	Hall       string `json:"hall"`
	Version    string `json:"version,omitempty"`
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
			ID: s.ID, Generation: s.Generation, Service: s.Service, Hall: s.Hall, Version: s.Version, Slots: s.Slots,
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
