package entry

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/runworks/runworks"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// member is the host of an agent as listed, with the connection to its agent.
type member struct {
	host runworks.Host
	// unlisted is set while the host is missing from the list.
	unlisted bool
	// link is the connection; nil while disconnected.
	link *link
	// listedDraining is set while the list reports the host as draining, and while
	// the host is missing from the list.
	listedDraining bool
}

// readHosts applies the host list. The list lags behind the hosts, so connections
// stay open: a host that is missing from the list only gets no new work.
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
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		if h.Role == runworks.RoleAgent {
			listed[h.Name] = true
			e.applyHostLocked(ctx, h)
		}
	}
	for name, m := range e.members {
		if !listed[name] {
			e.markUnlistedLocked(m)
		}
	}
}

// liveEntries returns the sorted names of the entries that are not draining.
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

// applyHostLocked adds a host, or updates it from the list.
func (e *Entry) applyHostLocked(ctx context.Context, h runworks.Host) {
	m := e.members[h.Name]
	if m != nil && m.host.Address != h.Address {
		// The host restarted at another address; runs at the old one continue.
		e.markUnlistedLocked(m)
		m = nil
	}
	if m == nil {
		m = &member{host: h}
		e.members[h.Name] = m
		e.work.Go(func() { e.connect(ctx, m) })
	}
	if h.Draining != m.listedDraining || m.unlisted {
		m.unlisted = false
		m.listedDraining = h.Draining
		e.wakePendingLocked()
	}
}

// markUnlistedLocked stops new work for a host that is missing from the list. Its
// connection stays open until it ends by itself, so that running requests are not
// interrupted, and the host may reappear on the list.
func (e *Entry) markUnlistedLocked(m *member) {
	if !m.unlisted {
		m.unlisted = true
		m.listedDraining = true
		e.wakePendingLocked()
	}
}

// connect keeps a connection to one agent while its host is listed.
func (e *Entry) connect(ctx context.Context, m *member) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if e.serveLink(ctx, m) {
			backoff = minBackoff
		}
		if e.removeUnlisted(m) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// removeUnlisted removes a disconnected host that is missing from the list, and
// reports whether it is missing.
func (e *Entry) removeUnlisted(m *member) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.unlisted && e.members[m.host.Name] == m {
		delete(e.members, m.host.Name)
	}
	return m.unlisted
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// Status returns the entry's state, with its agents sorted by host.
func (e *Entry) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{Name: e.Name, Incarnation: e.incarnation, Version: e.Config.Version(), Stopping: e.stopping, Requests: e.active}
	s.Tiers = make(map[string]TierStatus, len(e.tiers))
	for name, t := range e.tiers {
		s.Tiers[name] = *t
	}
	for _, m := range e.members {
		agent := AgentStatus{Host: m.host.Name, Draining: m.listedDraining}
		if l := m.link; l != nil {
			agent.Connected = true
			agent.Server = l.server
			agent.Draining = agent.Draining || l.heartbeat.Draining
			agent.Version, agent.Slots, agent.Running, agent.Waiting = l.heartbeat.Version, l.heartbeat.Slots, l.heartbeat.Running, l.heartbeat.Waiting
		}
		s.Agents = append(s.Agents, agent)
	}
	sort.Slice(s.Agents, func(i, j int) bool { return s.Agents[i].Host < s.Agents[j].Host })
	return s
}
