package dispatch

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

// Gate restricts which servers get calls while a roll-out is ordered. Its functions are called with
// a lock held and must not block or call the Dispatcher.
type Gate struct {
	// Allows reports whether a server may get a call now. adopted is set for a slot that another
	// entry granted, which has counted the call.
	Allows func(server *runworks.Instance, adopted bool) bool
	// Arrived is called with each call that arrives for a service, except with those that were
	// sent before.
	Arrived func(service string)
	// Placed is called with each slot that this entry assigns to a call.
	Placed func(server *runworks.Instance)
	// Ended is called with the end of each call that this entry sent.
	Ended func(server *runworks.Instance, a *Answer)
}

// Answer describes how a server answered a call.
type Answer struct {
	Route  string
	Result Result
	// First is the time from the send to the first event, or to the end of an answer that is no
	// stream; if nothing arrived, it is the time for which the call waited.
	First time.Duration
	// Responded reports whether First is the time of a response.
	Responded bool
	// MeanGap is the mean time between two events; 0 if there were fewer than two.
	MeanGap time.Duration
}

// progress is what was received of one call.
type progress struct {
	first  time.Duration
	gapSum time.Duration
	gaps   int
}

func (p *progress) addGap(gap time.Duration) {
	p.gapSum += gap
	p.gaps++
}

// SetGate replaces the gate; nil allows all servers.
func (d *Dispatcher) SetGate(g *Gate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gate == nil && g == nil {
		return
	}
	d.gate = g
	for _, s := range d.services {
		s.servers = s.all
		d.pumpLocked(s)
	}
}

// Servers returns the servers that may get calls as far as the list says, restricted or not.
func (d *Dispatcher) Servers() []runworks.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]runworks.Instance, 0, len(d.servers))
	for _, one := range d.servers {
		out = append(out, one.Instance)
	}
	return out
}

// HasServer reports whether the service of a call has a server that it may be sent to, now or later.
func (d *Dispatcher) HasServer(req *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[req.Service]
	return s != nil && s.hasServerFor(time.Now(), req)
}

// HasFreeServer reports whether a server has a free slot for a call, and no call of the service waits.
func (d *Dispatcher) HasFreeServer(req *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[req.Service]
	if s == nil || s.queue.Len() > 0 {
		return false
	}
	now := time.Now()
	return slices.ContainsFunc(s.servers, func(one *server) bool { return req.allows(one) && !one.unusable(now, s) && one.admits(now, s) })
}

// RunningCalls returns the number of running calls of all entries by service.
func (d *Dispatcher) RunningCalls() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.services))
	for name, s := range d.services {
		for _, one := range s.all {
			out[name] += one.load()
		}
	}
	return out
}

// applyGateLocked updates which servers of a service may get calls now.
func (d *Dispatcher) applyGateLocked(s *service) {
	if d.gate == nil || s == nil {
		return
	}
	for i, one := range s.all {
		if d.gate.Allows(&one.Instance, false) {
			continue
		}
		allowed := append([]*server(nil), s.all[:i]...)
		for _, other := range s.all[i+1:] {
			if d.gate.Allows(&other.Instance, false) {
				allowed = append(allowed, other)
			}
		}
		s.servers = allowed
		return
	}
	s.servers = s.all
}

// bars reports whether a slot of the server that another entry granted must not be used.
func (d *Dispatcher) bars(one *server) bool {
	return d.gate != nil && !d.gate.Allows(&one.Instance, true)
}

// countArrivalLocked counts a call that was not sent before.
func (d *Dispatcher) countArrivalLocked(req *Request) {
	if d.gate != nil && len(req.Exclude) == 0 && !req.Retry && !req.Resumed {
		d.gate.Arrived(req.Service)
	}
}

func (d *Dispatcher) countPlacementLocked(one *server) {
	if d.gate != nil {
		d.gate.Placed(&one.Instance)
	}
}

// reportEndLocked reports the end of a call that this entry sent.
func (l *Lease) reportEndLocked(now time.Time, r Result) {
	gate := l.dispatcher.gate
	if gate == nil || l.entry != "" {
		return
	}
	a := &Answer{Route: l.route, Result: r, First: l.progress.first, Responded: l.progress.first > 0}
	if !a.Responded {
		a.First, a.Responded = now.Sub(l.began), r == Served
	}
	if l.progress.gaps > 0 {
		a.MeanGap = l.progress.gapSum / time.Duration(l.progress.gaps)
	}
	gate.Ended(&l.server.Instance, a)
}
