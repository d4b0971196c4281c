package entry

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/runworks/runworks"
)

const (
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// member is an agent's host as the list has it, with the connection to it.
type member struct {
	host runworks.Host
	// gone is set while the list does not have the host.
	gone bool
	// link is the connection; nil while there is none.
	link *link
	// listedLeaving is set when the list says that the host is leaving or gone.
	listedLeaving bool
}

// readHosts takes the host list over. The list lags: what is connected stays
// connected, and a host that is gone from the list only gets no new work.
func (e *Entry) readHosts(ctx context.Context) {
	hosts, err := e.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	if e.OnEntries != nil {
		e.OnEntries(liveEntries(hosts))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		if h.Role == runworks.RoleAgent {
			seen[h.Name] = true
			e.memberLocked(ctx, h)
		}
	}
	for name, m := range e.members {
		if !seen[name] {
			e.goneLocked(m)
		}
	}
}

// liveEntries names the entries that are not leaving, sorted.
func liveEntries(hosts []runworks.Host) []string {
	names := []string{}
	for _, h := range hosts {
		if h.Role == runworks.RoleEntry && !h.Draining {
			names = append(names, h.Name)
		}
	}
	sort.Strings(names)
	return names
}

// memberLocked adds a host, or takes over what the list says of it now.
func (e *Entry) memberLocked(ctx context.Context, h runworks.Host) {
	m := e.members[h.Name]
	if m != nil && m.host.Address != h.Address {
		// The host began anew elsewhere; what runs at its old address goes on.
		e.goneLocked(m)
		m = nil
	}
	if m == nil {
		m = &member{host: h}
		e.members[h.Name] = m
		e.work.Go(func() { e.connect(ctx, m) })
	}
	if h.Draining != m.listedLeaving || m.gone {
		m.gone = false
		m.listedLeaving = h.Draining
		e.recheckLocked()
	}
}

// goneLocked gives a host that the list no longer has no new work. Its connection
// goes on until it ends by itself, so that what runs is not cut, and the host
// may come back on the list.
func (e *Entry) goneLocked(m *member) {
	if !m.gone {
		m.gone = true
		m.listedLeaving = true
		e.recheckLocked()
	}
}

// connect keeps a connection to one agent for as long as its host is listed.
func (e *Entry) connect(ctx context.Context, m *member) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if e.serveLink(ctx, m) {
			backoff = firstBackoff
		}
		if e.forget(m) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(jittered(backoff)):
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

// forget drops a host without a connection if the list does not have it.
func (e *Entry) forget(m *member) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.gone && e.members[m.host.Name] == m {
		delete(e.members, m.host.Name)
	}
	return m.gone
}

// jittered gives a time between half of d and d.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// Status gives the entry's state for an operator.
func (e *Entry) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{Name: e.Name, Incarnation: e.incarnation, Version: e.Config.Version(), Stopping: e.stopping, Requests: e.active}
	s.Tiers = make(map[string]TierStatus, len(e.tiers))
	for name, t := range e.tiers {
		s.Tiers[name] = *t
	}
	for _, m := range e.members {
		one := AgentStatus{Host: m.host.Name, Draining: m.listedLeaving}
		if l := m.link; l != nil {
			one.Connected = true
			one.Server = l.server
			one.Draining = one.Draining || l.beat.Draining
			one.Version, one.Slots, one.Running, one.Waiting = l.beat.Version, l.beat.Slots, l.beat.Running, l.beat.Waiting
		}
		s.Agents = append(s.Agents, one)
	}
	sort.Slice(s.Agents, func(i, j int) bool { return s.Agents[i].Host < s.Agents[j].Host })
	return s
}
