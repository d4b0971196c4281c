package tests

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

// proxyMode is how a proxy handles the data that it forwards.
type proxyMode int

const (
	proxyForwards proxyMode = iota
	// proxyDelays delays each piece of data by proxyDelay.
	proxyDelays
	// proxyResets resets all open connections, and new ones immediately.
	proxyResets
	// proxyBlocksRequests and proxyBlocksAnswers hold back one direction, as a network
	// partition does: the data is delivered afterwards, unless an end closed the connection.
	proxyBlocksRequests
	proxyBlocksAnswers
	// proxyBlocksBoth holds back both directions.
	proxyBlocksBoth
	// proxyEndsNew closes new connections immediately, without a reset, as a load balancer does that has lost its server.
	proxyEndsNew
)

// proxyDelay is how long a delaying proxy holds each piece of data.
const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target on this machine.
type proxy struct {
	t testing.TB
	// at is the address at which connections are accepted, or were last.
	at      string
	serving sync.WaitGroup

	mu sync.Mutex
	// listener is nil while new connections are refused.
	listener net.Listener
	target   string
	mode     proxyMode
	changed  chan struct{}
	conns    map[net.Conn]struct{}
	pairs    map[*proxyPair]struct{}
	// maxAge and maxBytes, unless 0, are the age and the number of bytes from the target with which a connection is closed like end.
	maxAge   time.Duration
	maxBytes int
	// ended holds, for each call of end, the IDs of the newest requests on the connections whose answers it ended.
	ended [][]string
}

// proxyPair is a connection and the one to the target that it is forwarded to.
type proxyPair struct {
	from, to net.Conn
	// request is the ID of the newest request; nil before the first one.
	request atomic.Pointer[string]
	// silent is set if data and closes are discarded in both directions.
	silent atomic.Bool
	// endedRequests and endedAnswers are set if a direction was closed without a reset, by its sender or by the proxy;
	// what its sender still sends is discarded.
	endedRequests, endedAnswers atomic.Bool
	// maxBytes is that of the proxy.
	maxBytes int
}

// proxyEnd is which direction of its connections a proxy closes.
type proxyEnd int

const (
	proxyEndsAnswers proxyEnd = iota
	proxyEndsRequests
	proxyEndsBoth
)

func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	p := &proxy{t: t, at: "127.0.0.1:0", target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, pairs: map[*proxyPair]struct{}{}}
	p.accept()
	t.Cleanup(func() {
		p.refuse()
		p.set(proxyResets)
		p.serving.Wait()
	})
	return p
}

// accept has new connections accepted unless they are already: at the same address, unless that is taken.
func (p *proxy) accept() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return
	}
	l, err := net.Listen("tcp", p.at)
	if err != nil {
		l, err = net.Listen("tcp", "127.0.0.1:0") // a connection has the port
	}
	if err != nil {
		p.t.Error(err)
		return
	}
	p.listener, p.at = l, l.Addr().String()
	p.serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.serving.Go(func() { p.serve(conn) })
		}
	})
}

// refuse has new connections refused, as by a host on which nothing listens.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.listener = nil
}

func (p *proxy) address() string { return p.at }

// open returns the number of connections that are forwarded.
func (p *proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

// set changes the proxy's mode.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == proxyResets {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// silence makes open connections silent for good: both ends stay open and receive nothing more. New
// connections work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.silent.Store(true)
	}
}

// end closes open connections without a reset, as a path does that ends connections by itself: the receiver can't
// tell it from a close by the sender. New connections work.
func (p *proxy) end(which proxyEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for pair := range p.pairs {
		if id := pair.request.Load(); pair.end(which) && id != nil {
			ids = append(ids, *id)
		}
	}
	p.ended = append(p.ended, ids)
}

// endOneByOne closes the connections that are open now like end, with a pause after each of them, and returns how many it
// closed. New connections work.
func (p *proxy) endOneByOne(which proxyEnd, pause func()) int {
	p.mu.Lock()
	pairs := slices.Collect(maps.Keys(p.pairs))
	p.mu.Unlock()
	closed := 0
	for _, pair := range pairs {
		if p.endPair(pair, which) {
			closed++
			pause()
		}
	}
	return closed
}

// endPair closes a connection like end, and reports false if it is closed already.
func (p *proxy) endPair(pair *proxyPair, which proxyEnd) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pairs[pair]; !ok {
		return false
	}
	if id := pair.request.Load(); pair.end(which) && id != nil {
		p.ended = append(p.ended, []string{*id})
	}
	return true
}

// limit has the proxy close each new connection at an age, or after a number of bytes from the target; 0 sets no limit.
func (p *proxy) limit(maxAge time.Duration, maxBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAge, p.maxBytes = maxAge, maxBytes
}

// endedRequests returns, for each call of end, the IDs of the newest requests on the connections whose answers it ended.
func (p *proxy) endedRequests() [][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ended)
}

// readRequest looks for the ID of a request in data.
func (p *proxyPair) readRequest(data []byte) {
	if _, rest, ok := bytes.Cut(data, []byte("\r\n"+standin.HeaderRoutedID+": ")); ok {
		id, _, _ := bytes.Cut(rest, []byte("\r\n"))
		text := string(id)
		p.request.Store(&text)
	}
}

// end closes a connection and reports whether its answers had not ended before.
func (p *proxyPair) end(which proxyEnd) bool {
	open := !p.endedAnswers.Load()
	if which != proxyEndsRequests && !p.endedAnswers.Swap(true) {
		closeWrite(p.from)
	}
	if which != proxyEndsAnswers && !p.endedRequests.Swap(true) {
		closeWrite(p.to)
	}
	return open
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// setTarget changes the target of new connections.
func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve forwards one connection in both directions until one end is closed.
func (p *proxy) serve(from net.Conn) {
	defer p.remove(from)
	if !p.add(from) {
		return
	}
	p.mu.Lock()
	target, mode := p.target, p.mode
	p.mu.Unlock()
	if mode == proxyEndsNew {
		closeWrite(from)
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		reset(from)
		return
	}
	defer p.remove(to)
	if !p.add(to) {
		return
	}
	pair := p.addPair(from, to)
	defer p.removePair(pair)
	var both sync.WaitGroup
	both.Go(func() { p.copy(pair, to, from, proxyBlocksRequests, &pair.endedRequests) })
	both.Go(func() { p.copy(pair, from, to, proxyBlocksAnswers, &pair.endedAnswers) })
	both.Wait()
}

func (p *proxy) addPair(from, to net.Conn) *proxyPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	pair := &proxyPair{from: from, to: to, maxBytes: p.maxBytes}
	p.pairs[pair] = struct{}{}
	if p.maxAge > 0 {
		time.AfterFunc(p.maxAge, func() { p.endPair(pair, proxyEndsBoth) })
	}
	return pair
}

func (p *proxy) removePair(pair *proxyPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pair)
}

// add records a connection; it returns false if the connection is to be reset.
func (p *proxy) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
	return p.mode != proxyResets
}

func (p *proxy) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	reset(conn)
}

// copy forwards one direction until an end is closed.
func (p *proxy) copy(pair *proxyPair, to, from net.Conn, blocked proxyMode, ended *atomic.Bool) {
	buffer, sent := make([]byte, 16<<10), 0
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if blocked == proxyBlocksRequests {
				pair.readRequest(buffer[:n])
			}
			p.delay(blocked)
			if pair.silent.Load() || ended.Load() {
				n = 0
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
			if sent += n; blocked == proxyBlocksAnswers && pair.maxBytes > 0 && sent >= pair.maxBytes {
				p.endPair(pair, proxyEndsBoth)
			}
		}
		if err != nil {
			p.delay(blocked)
			if pair.silent.Load() || ended.Load() {
				return
			}
			// EOF is forwarded as EOF and a reset as a reset: only EOF completes a
			// response without a length.
			if errors.Is(err, io.EOF) {
				ended.Store(true)
				closeWrite(to)
				return
			}
			reset(to)
			return
		}
	}
}

// delay waits until a piece of data may be forwarded.
func (p *proxy) delay(blocked proxyMode) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch mode {
		case blocked, proxyBlocksBoth:
			<-changed
			continue
		case proxyDelays:
			delay := time.NewTimer(proxyDelay)
			defer delay.Stop()
			<-delay.C
		}
		return
	}
}
