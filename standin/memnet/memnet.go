// Package memnet implements an in-memory network for tests in virtual time. Connections
// have a latency; any two hosts can be partitioned, healed, and their connections reset or silenced.
package memnet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	errRefused = fmt.Errorf("memnet: %w", syscall.ECONNREFUSED)
	errReset   = errors.New("memnet: connection reset")
)

// Network is an in-memory network with addresses of the form host:port. Data between
// partitioned hosts is delayed until the partition heals, as TCP does.
type Network struct {
	latency time.Duration

	mu         sync.Mutex
	listeners  map[string]*listener
	opened     int
	links      map[*link]struct{}
	partitions map[[2]string]chan struct{}
}

// New returns a network that delivers data after latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency: latency, listeners: map[string]*listener{}, links: map[*link]struct{}{}, partitions: map[[2]string]chan struct{}{},
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Listen returns a listener on an address, or an error if the address is in use.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.New("memnet: address in use: " + address)
	}
	l := &listener{net: n, address: addr(address), queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for the connections of a host, as in http.Transport.DialContext.
func (n *Network) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, from, address) }
}

// Dial opens a connection from a host to an address. It waits while the two are partitioned, and
// returns an error if nothing listens there or ctx ends.
func (n *Network) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	if err := n.WaitReachable(ctx, from, hostOf(address)); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	local, remote := n.newLink(from, hostOf(address))
	select {
	case l.queue <- remote:
		return local, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = local.Close()
	_ = remote.Close()
	return nil, errRefused
}

// WaitReachable waits while two hosts are partitioned. It returns the cause of ctx if it ends first.
func (n *Network) WaitReachable(ctx context.Context, a, b string) error {
	for {
		n.mu.Lock()
		healed := n.partitions[hostPair(a, b)]
		n.mu.Unlock()
		if healed == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-healed:
		}
	}
}

// Partition delays all data between two hosts until Heal.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions[hostPair(a, b)] == nil {
		n.partitions[hostPair(a, b)] = make(chan struct{})
	}
}

// Heal ends a partition.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed := n.partitions[hostPair(a, b)]; healed != nil {
		close(healed)
		delete(n.partitions, hostPair(a, b))
	}
}

// Reset resets all connections between two hosts, or all connections of a if b is empty.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	var broken []*link
	for w := range n.links {
		if w.hosts == hostPair(a, b) || b == "" && (w.hosts[0] == a || w.hosts[1] == a) {
			broken = append(broken, w)
		}
	}
	n.mu.Unlock()
	for _, w := range broken {
		w.close()
	}
}

// Silence makes open connections discard everything from now on without an error, also that an end
// was closed: those for which match returns true, given the host that opened the connection and the
// other one. They are passed in the order in which they were opened. New connections work.
func (n *Network) Silence(match func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := slices.SortedFunc(maps.Keys(n.links), func(a, b *link) int { return cmp.Compare(a.id, b.id) })
	for _, w := range open {
		if match(w.from, w.to) {
			w.silent.Store(true)
		}
	}
}

// Connections returns the number of connections of which at least one end is open.
func (n *Network) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// CloseListener closes the listener at an address, if there is one.
func (n *Network) CloseListener(address string) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
}

// Close resets all connections.
func (n *Network) Close() {
	n.mu.Lock()
	all := make([]*link, 0, len(n.links))
	for w := range n.links {
		all = append(all, w)
	}
	n.mu.Unlock()
	for _, w := range all {
		w.close()
	}
}

const (
	// maxQueued bounds the packets in flight in one direction.
	maxQueued   = 4096
	packetBytes = 32 << 10
)

// link is a connection: two pipes with a queue between them for each direction.
type link struct {
	net      *Network
	id       int
	from, to string
	hosts    [2]string
	inner    [2]net.Conn
	ctx      context.Context
	cancel   context.CancelCauseFunc
	silent   atomic.Bool
	// closedEnds counts the ends that were closed while silent.
	closedEnds atomic.Int32
}

// newLink opens a connection and returns its two ends.
func (n *Network) newLink(from, to string) (local, remote net.Conn) {
	local, localInner := net.Pipe()
	remote, remoteInner := net.Pipe()
	ctx, stop := context.WithCancelCause(context.Background())
	l := &link{net: n, from: from, to: to, hosts: hostPair(from, to), inner: [2]net.Conn{localInner, remoteInner}, ctx: ctx, cancel: stop}
	n.mu.Lock()
	n.opened++
	l.id = n.opened
	n.links[l] = struct{}{}
	n.mu.Unlock()
	l.forward(localInner, remoteInner)
	l.forward(remoteInner, localInner)
	return &conn{Conn: local, local: addr(from + ":0"), remote: addr(to + ":0")},
		&conn{Conn: remote, local: addr(to + ":0"), remote: addr(from + ":0")}
}

func (l *link) close() {
	l.cancel(errReset)
	_ = l.inner[0].Close()
	_ = l.inner[1].Close()
	l.net.mu.Lock()
	delete(l.net.links, l)
	l.net.mu.Unlock()
}

type packet struct {
	data []byte
	due  time.Time
	err  error
}

// forward copies data from one end to the other, after the latency and any partition.
// The close of one end is delivered in order with its data, unless the link is silent.
func (l *link) forward(from, to net.Conn) {
	queue := make(chan packet, maxQueued)
	go func() {
		for {
			p := make([]byte, packetBytes)
			k, err := from.Read(p)
			select {
			case queue <- packet{data: p[:k], due: time.Now().Add(l.net.latency), err: err}:
			case <-l.ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for {
			select {
			case <-l.ctx.Done():
				return
			case p := <-queue:
				if !l.discard(p) && !l.deliver(to, p) {
					l.close()
					return
				}
			}
		}
	}()
}

// discard reports whether a packet is lost because the link is silent. The second end that is closed
// ends the link.
func (l *link) discard(p packet) bool {
	return l.silent.Load() && (p.err == nil || l.closedEnds.Add(1) < 2)
}

// deliver writes a packet when it is due. It reports false if the connection is to be closed.
func (l *link) deliver(to net.Conn, p packet) bool {
	// Do not sleep for zero time: under -race, two goroutines of one synctest bubble
	// whose timers are due at once crash the race detector (Go 1.26).
	if d := time.Until(p.due); d > 0 {
		time.Sleep(d)
	}
	if err := l.net.WaitReachable(l.ctx, l.hosts[0], l.hosts[1]); err != nil {
		return false
	}
	if len(p.data) > 0 {
		if _, err := to.Write(p.data); err != nil {
			return false
		}
	}
	return p.err == nil
}
