package tests

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode is what a proxy does with what passes it.
type proxyMode int

const (
	proxyPasses proxyMode = iota
	// proxyDelays holds every piece for proxyDelay.
	proxyDelays
	// proxyResets resets all connections, and new ones at once.
	proxyResets
	// proxyCutsRequests and proxyCutsAnswers hold one way, as a cut does: what is held
	// goes on when the cut is over, unless an end gave up.
	proxyCutsRequests
	proxyCutsAnswers
	// proxyIsSilent holds both ways.
	proxyIsSilent
)

// proxyDelay is how long a delaying proxy holds a piece.
const proxyDelay = 150 * time.Millisecond

// proxy passes TCP connections on to a target on this machine.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	mode    proxyMode
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() { p.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.set(proxyResets)
		work.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what the proxy does from now on.
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

// aim sends new connections to another target.
func (p *proxy) aim(target string) {
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

// serve passes one connection on, both ways, until one end is closed.
func (p *proxy) serve(from net.Conn) {
	defer p.forget(from)
	if !p.keep(from) {
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	to, err := net.Dial("tcp", target)
	if err != nil {
		reset(from)
		return
	}
	defer p.forget(to)
	if !p.keep(to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, proxyCutsRequests) })
	both.Go(func() { p.copy(from, to, proxyCutsAnswers) })
	both.Wait()
}

// keep notes a connection; false if it is to be reset.
func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
	return p.mode != proxyResets
}

func (p *proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	reset(conn)
}

// copy passes one way on until an end is closed.
func (p *proxy) copy(to, from net.Conn, cut proxyMode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(cut)
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.hold(cut)
			// An end goes on as an end, a reset as a reset: only the first makes an
			// answer without a length whole.
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
				return
			}
			reset(to)
			return
		}
	}
}

// hold waits until a piece may pass.
func (p *proxy) hold(cut proxyMode) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch mode {
		case cut, proxyIsSilent:
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
