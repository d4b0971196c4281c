// Package memnet is a network in memory, for runs in virtual time: connections
// have a latency, and can be cut, mended and reset between any two hosts.
package memnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errRefused = errors.New("memnet: connection refused")
	errReset   = errors.New("memnet: connection reset")
)

// Network is a network in memory. An address is host:port; what is cut between
// two hosts waits until the cut is mended, as TCP does.
type Network struct {
	latency time.Duration

	mu        sync.Mutex
	listeners map[string]*memListener
	wires     map[*wire]struct{}
	cuts      map[[2]string]chan struct{}
}

// New builds a network whose messages take the latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency: latency, listeners: map[string]*memListener{}, wires: map[*wire]struct{}{}, cuts: map[[2]string]chan struct{}{},
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Listen opens a listener at an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.New("memnet: address in use: " + address)
	}
	l := &memListener{net: n, address: memAddr(address), queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer gives the way out of a host.
func (n *Network) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, from, address) }
}

// Dial opens a connection from a host to an address.
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
	near, far := n.wire(from, hostOf(address))
	select {
	case l.queue <- far:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = near.Close()
	_ = far.Close()
	return nil, errRefused
}

// WaitReachable waits while two hosts are cut off from each other.
func (n *Network) WaitReachable(ctx context.Context, a, b string) error {
	for {
		n.mu.Lock()
		mended := n.cuts[pair(a, b)]
		n.mu.Unlock()
		if mended == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-mended:
		}
	}
}

// Partition holds up all that travels between two hosts until mend.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[pair(a, b)] == nil {
		n.cuts[pair(a, b)] = make(chan struct{})
	}
}

// Heal ends a cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if mended := n.cuts[pair(a, b)]; mended != nil {
		close(mended)
		delete(n.cuts, pair(a, b))
	}
}

// Reset breaks all connections between two hosts; b may be empty for all hosts.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	var broken []*wire
	for w := range n.wires {
		if w.ends == pair(a, b) || b == "" && (w.ends[0] == a || w.ends[1] == a) {
			broken = append(broken, w)
		}
	}
	n.mu.Unlock()
	for _, w := range broken {
		w.close()
	}
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

// Close breaks all connections.
func (n *Network) Close() {
	n.mu.Lock()
	all := make([]*wire, 0, len(n.wires))
	for w := range n.wires {
		all = append(all, w)
	}
	n.mu.Unlock()
	for _, w := range all {
		w.close()
	}
}

const (
	// maxParcels bounds what is on its way in one direction.
	maxParcels  = 4096
	parcelBytes = 32 << 10
)

// wire is a connection: two pipes with a queue for each direction between them.
type wire struct {
	net   *Network
	ends  [2]string
	inner [2]net.Conn
	ctx   context.Context
	stop  context.CancelCauseFunc
}

// wire makes a connection and gives its two ends.
func (n *Network) wire(from, to string) (near, far net.Conn) {
	near, nearInner := net.Pipe()
	far, farInner := net.Pipe()
	ctx, stop := context.WithCancelCause(context.Background())
	w := &wire{net: n, ends: pair(from, to), inner: [2]net.Conn{nearInner, farInner}, ctx: ctx, stop: stop}
	n.mu.Lock()
	n.wires[w] = struct{}{}
	n.mu.Unlock()
	w.carry(nearInner, farInner)
	w.carry(farInner, nearInner)
	return &memConn{Conn: near, local: memAddr(from + ":0"), remote: memAddr(to + ":0")},
		&memConn{Conn: far, local: memAddr(to + ":0"), remote: memAddr(from + ":0")}
}

func (w *wire) close() {
	w.stop(errReset)
	_ = w.inner[0].Close()
	_ = w.inner[1].Close()
	w.net.mu.Lock()
	delete(w.net.wires, w)
	w.net.mu.Unlock()
}

type parcel struct {
	data []byte
	due  time.Time
	err  error
}

// carry takes bytes from one end to the other, after the latency and any cut.
// The end of one end reaches the other as bytes do.
func (w *wire) carry(from, to net.Conn) {
	queue := make(chan parcel, maxParcels)
	go func() {
		for {
			p := make([]byte, parcelBytes)
			k, err := from.Read(p)
			select {
			case queue <- parcel{data: p[:k], due: time.Now().Add(w.net.latency), err: err}:
			case <-w.ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		defer w.close()
		for {
			select {
			case <-w.ctx.Done():
				return
			case p := <-queue:
				if !w.deliver(to, p) {
					return
				}
			}
		}
	}()
}

// deliver hands a parcel over when it is due; false ends the connection.
func (w *wire) deliver(to net.Conn, p parcel) bool {
	// A wait of no time is left out: under -race, two goroutines of one bubble
	// that find a timer's channel due at once crash the race detector (Go 1.26).
	if d := time.Until(p.due); d > 0 {
		time.Sleep(d)
	}
	if err := w.net.WaitReachable(w.ctx, w.ends[0], w.ends[1]); err != nil {
		return false
	}
	if len(p.data) > 0 {
		if _, err := to.Write(p.data); err != nil {
			return false
		}
	}
	return p.err == nil
}
