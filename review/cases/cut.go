package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// link is the network path to an address: a proxy that a cut makes silent in both directions. What the ends
// send meanwhile, the end of a connection too, arrives after the cut, as it does when a kernel sends it again.
type link struct {
	address string
	target  string

	mu   sync.Mutex
	open chan struct{}
}

// newLink opens a path to a target.
func (s *site) newLink(target string) (*link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	k := &link{address: l.Addr().String(), target: target, open: make(chan struct{})}
	close(k.open)
	s.stops = append(s.stops, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(conn)
		}
	}()
	return k, nil
}

// cut makes the path silent, and heal ends that.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.open)
}

// await waits until the path is not cut.
func (k *link) await() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

// carry connects a connection with the target.
func (k *link) carry(conn net.Conn) {
	k.await()
	there, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", k.target)
	if err != nil {
		reset(conn)
		return
	}
	go k.copy(there, conn)
	k.copy(conn, there)
}

// copy passes on what one end sends, and how it ends.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.await()
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			reset(from)
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
