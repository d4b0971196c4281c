package httpconn

import (
	"maps"
	"slices"
	"time"

	"github.com/runworks/runworks/modules/tcp"
)

const (
	// coincidence is within what time of each other connections end that a path, or the exit of a process, closes.
	coincidence = 20 * time.Millisecond
	// unusedCoincidence is that time for unused connections, which a path that closes many may take long to reach.
	unusedCoincidence = 100 * time.Millisecond
	// endMemory is how long ends of connections are remembered: as long as a server may be asked about the end of a
	// response.
	endMemory = 5 * time.Second
	// endWindow is the time before an end whose other ends show what is usual.
	endWindow = time.Second
	// earlierEnds is how many times as many responses must end together as ended in the second before: where many end,
	// some end together.
	earlierEnds = 2
	// manyEnds is how many others that began at other times do not end together with a response on their own, even where
	// a server runs responses in steps.
	manyEnds = 3
	// maxEnds bounds the ends that are remembered for one address.
	maxEnds = 64
	// hostMemory is how long it is remembered how the connections of an address usually end.
	hostMemory = time.Hour
	// maxUnseen is how long after a connection was seen open the kernel can date its close. Answers to keep-alive
	// probes, a second apart at least, hide it later.
	maxUnseen = 900 * time.Millisecond
	// minQuiet is how long a server has sent nothing before the close that cuts a response: it closes a whole one
	// right behind its last bytes, unless it is short of processor time.
	minQuiet = 20 * time.Millisecond
	// idleTolerance is by how much the times differ at least after which a server closes unused connections, and
	// idleShare by which share of them: a busy host begins or ends them late.
	idleTolerance = 50 * time.Millisecond
	idleShare     = 4
	// maxIdleTimes bounds those times for one address: connections that carried no request may have another one.
	maxIdleTimes = 4
)

// endKind is what the server's close of a connection ends.
type endKind int32

const (
	// endsUnused is a close of an unused connection.
	endsUnused endKind = iota
	// endsUnknown is a close during a request, or behind a response that announced it or is whole.
	endsUnknown
	// endsEarly is a close before the end of a response.
	endsEarly
	// endsResponse is the close behind a response without length or chunks, which may be its end.
	endsResponse
)

// connEnd is the close of a connection without a reset by the server or the path to it.
type connEnd struct {
	conn       uint64
	opened, at time.Time
	// recorded is when this process recorded it, which may be long after if it was stopped.
	recorded time.Time
	kind     endKind
	// quiet is how long the server had sent nothing, unused how long the connection had been unused, and lasted the
	// time since the head of its response.
	quiet, unused, lasted time.Duration
	// dated is set if at is known.
	dated bool
}

// hostConns are the connections to one address: the open ones, and how others ended.
type hostConns struct {
	open map[*conn]struct{}
	ends []connEnd
	// idleTimes are the last times after which the server closed unused connections.
	idleTimes []idleTime
	// unhealthySince is when the server first said that it is failing or leaving; zero if it last said that it is not.
	unhealthySince time.Time
	// together is when responses last ended together and the time before may show that this is usual there.
	together, togetherBefore time.Time
	// lookedAt is when the unused connections were last looked at, and endedAt when the last connection ended.
	lookedAt, endedAt time.Time
	// delimitedAt is when a part of a response without length or chunks last came, and witnessAfter when another witness
	// may be opened.
	delimitedAt, witnessAfter time.Time
}

// idleTime is how long a connection was unused when the server closed it, and when that was.
type idleTime struct {
	unused time.Duration
	at     time.Time
}

// stale reports whether nothing is known of the address any more.
func (h *hostConns) stale(now time.Time) bool {
	return len(h.open) == 0 && now.Sub(h.endedAt) > hostMemory
}

// recordHealth records what the server has said of itself.
func (p *Pool) recordHealth(address string, state ServerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch h := p.hosts[address]; {
	case h == nil:
	case state == ServerSame:
		h.unhealthySince = time.Time{}
	case state == ServerUnhealthy && h.unhealthySince.IsZero():
		h.unhealthySince = time.Now()
	}
}

// wasUnhealthy reports whether the server had said that it is failing or leaving well before an end.
func (p *Pool) wasUnhealthy(address string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	return h != nil && !h.unhealthySince.IsZero() && at.Sub(h.unhealthySince) > endWindow
}

// routine reports whether the server has closed unused connections after that time, before some moment. One that has no
// connection to spare may close each new one.
func (h *hostConns) routine(unused time.Duration, before time.Time) bool {
	return unused <= coincidence || slices.ContainsFunc(h.idleTimes, func(t idleTime) bool {
		return t.at.Before(before) && similarIdle(t.unused, unused)
	})
}

// batches records that responses ended together, and reports whether others did so before.
func (h *hostConns) batches(at time.Time) bool {
	if at.Sub(h.together) > 2*coincidence {
		h.together, h.togetherBefore = at, h.together
	}
	return at.Sub(h.togetherBefore) <= hostMemory
}

// record records the end of a connection.
func (h *hostConns) record(end connEnd) {
	end.recorded = time.Now()
	h.ends = slices.DeleteFunc(h.ends, func(e connEnd) bool { return end.recorded.Sub(e.recorded) > endMemory })
	if len(h.ends) == maxEnds {
		h.ends = slices.Delete(h.ends, 0, 1)
	}
	h.ends = append(h.ends, end)
	if slices.ContainsFunc(h.ends, end.notAlone) {
		h.idleTimes = slices.DeleteFunc(h.idleTimes, func(t idleTime) bool { return t.at.Sub(end.at).Abs() <= unusedCoincidence })
		return
	}
	if end.kind != endsUnused || !end.dated || h.routine(end.unused, end.recorded) {
		return
	}
	if len(h.idleTimes) == maxIdleTimes {
		h.idleTimes = slices.Delete(h.idleTimes, 0, 1)
	}
	h.idleTimes = append(h.idleTimes, idleTime{end.unused, end.at})
}

// notAlone reports whether another connection was closed at the same time, inside or behind a response, or unused for another
// time: such closes do not show after what time a server closes unused connections.
func (e connEnd) notAlone(other connEnd) bool {
	switch {
	case other.conn == e.conn || e.kind == endsUnknown || other.kind == endsUnknown || other.at.Sub(e.at).Abs() > unusedCoincidence:
		return false
	case e.kind == endsUnused && other.kind == endsUnused:
		return !similarIdle(e.unused, other.unused)
	}
	return true
}

// similarIdle reports whether a server that closes connections unused for d may have closed one unused for other for that reason.
func similarIdle(d, other time.Duration) bool {
	return (d - other).Abs() <= max(idleTolerance, d/idleShare)
}

// track records a new connection.
func (p *Pool) track(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connCount++
	c.pool, c.number, c.opened = p, p.connCount, time.Now()
	c.seen, c.unusedSince = c.opened, c.opened
	h := p.hosts[c.address]
	if h == nil {
		if p.hosts == nil {
			p.hosts = make(map[string]*hostConns)
		}
		for address, other := range p.hosts {
			if other.stale(c.opened) {
				delete(p.hosts, address)
			}
		}
		h = &hostConns{open: make(map[*conn]struct{})}
		p.hosts[c.address] = h
	}
	h.open[c] = struct{}{}
}

// forget records the end of a connection that is about to be closed.
func (p *Pool) forget(c *conn) {
	end, state := c.peerEnd()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if h == nil {
		return
	}
	if _, ok := h.open[c]; !ok {
		return
	}
	delete(h.open, c)
	h.endedAt = time.Now()
	if state == tcp.PeerEndClosed {
		h.record(end)
	}
}

// setKind sets what a close of the connection by the server ends from now on.
func (c *conn) setKind(k endKind) {
	c.endMu.Lock()
	defer c.endMu.Unlock()
	c.kind = k
	switch k {
	case endsUnused:
		c.unusedSince = time.Now()
		c.seen = c.unusedSince
	case endsResponse:
		c.headAt = time.Now()
	}
}

// dateEnds dates the closes of the connections to an address. It comes before the server is asked for the end of a response, as the
// answers to keep-alive probes hide them later.
func (p *Pool) dateEnds(address string) {
	_, open := p.connsTo(address)
	for _, c := range open {
		c.peerEnd()
	}
}

// connsTo returns how connections to an address ended, and those that are open.
func (p *Pool) connsTo(address string) (ends []connEnd, open []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return nil, nil
	}
	return slices.Clone(h.ends), slices.Collect(maps.Keys(h.open))
}

// peerEnd returns the state of the server's side of the connection, and its close if that is closed.
func (c *conn) peerEnd() (connEnd, tcp.PeerEnd) {
	c.endMu.Lock()
	defer c.endMu.Unlock()
	now := time.Now()
	if c.closedAt.IsZero() {
		state, end := tcp.PeekPeerEnd(c.Conn)
		switch state {
		case tcp.PeerEndOpen:
			c.seen = now
			return connEnd{}, state
		case tcp.PeerEndUnknown, tcp.PeerEndReset:
			return connEnd{}, state
		}
		c.closedAt, c.quiet = now.Add(-end.Ago), end.Quiet
	}
	return connEnd{
		conn: c.number, opened: c.opened, at: c.closedAt, kind: c.kind, quiet: c.quiet, unused: c.closedAt.Sub(c.unusedSince),
		lasted: max(0, c.closedAt.Sub(c.headAt)), // this process may have read a head late
		dated:  c.kind != endsUnused || c.closedAt.Sub(c.seen) <= maxUnseen,
	}, tcp.PeerEndClosed
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.pool != nil {
		c.pool.forget(c)
	}
	return c.Conn.Close()
}
