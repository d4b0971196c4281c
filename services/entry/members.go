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
	host   runworks.Host
	cancel context.CancelFunc
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
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := make(map[string]bool, len(hosts))
	entries := []string{}
	for _, h := range hosts {
		switch h.Role {
		case runworks.RoleEntry:
			if !h.Leaving {
				entries = append(entries, h.Name)
			}
		case runworks.RoleAgent:
			seen[h.Name] = true
			e.memberLocked(ctx, h)
		}
	}
	sort.Strings(entries)
	e.entries = entries
	for name, m := range e.members {
		if !seen[name] {
			e.goneLocked(name, m)
		}
	}
}

// memberLocked adds a host, or takes over what the list says of it now.
func (e *Entry) memberLocked(ctx context.Context, h runworks.Host) {
	m := e.members[h.Name]
	if m != nil && m.host.Address != h.Address {
		e.goneLocked(h.Name, m)
		m.cancel()
		m = nil
	}
	if m == nil {
		memberCtx, cancel := context.WithCancel(ctx)
		m = &member{host: h, cancel: cancel}
		e.members[h.Name] = m
		e.work.Go(func() { e.connect(memberCtx, m) })
	}
	if h.Leaving != m.listedLeaving {
		m.listedLeaving = h.Leaving
		e.recheckLocked()
	}
}

// goneLocked forgets a host that the list no longer has. A connection goes on
// until it ends by itself, so that what runs is not cut.
func (e *Entry) goneLocked(name string, m *member) {
	delete(e.members, name)
	m.listedLeaving = true
	if m.link == nil {
		m.cancel()
	}
	e.recheckLocked()
}

// connect keeps a connection to one agent for as long as its host is listed.
func (e *Entry) connect(ctx context.Context, m *member) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if e.serveLink(ctx, m) {
			backoff = firstBackoff
		}
		e.mu.Lock()
		gone := e.members[m.host.Name] != m
		e.mu.Unlock()
		if gone {
			m.cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(jittered(backoff)):
		}
		backoff = min(2*backoff, lastBackoff)
	}
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
	for _, m := range e.members {
		one := AgentStatus{Host: m.host.Name, Leaving: m.listedLeaving}
		if l := m.link; l != nil {
			one.Connected = true
			one.Server = l.server
			one.Leaving = one.Leaving || l.beat.Leaving
			one.Version, one.Slots, one.Running, one.Waiting = l.beat.Version, l.beat.Slots, l.beat.Running, l.beat.Waiting
		}
		s.Agents = append(s.Agents, one)
	}
	sort.Slice(s.Agents, func(i, j int) bool { return s.Agents[i].Host < s.Agents[j].Host })
	return s
}
