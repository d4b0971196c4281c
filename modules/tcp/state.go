package tcp

import (
	"context"
	"net"
	"syscall"
)

// State is the state of a connection as seen without reading from it.
type State int

// The states of a connection, as PeekState returns them.
const (
	// Idle means that it is open and has nothing to read.
	Idle State = iota
	// Readable means that it has bytes to read.
	Readable
	// Closed means that the peer closed or reset it, or that it was closed locally.
	Closed
)

// PeekState returns the current state of a connection from the operating system, without
// waiting for a blocked read. A connection that is not a socket is reported as Idle.
func PeekState(c net.Conn) State {
	sc, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control, unlike Read, does not wait for a read in progress.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn stores a connection in the context of its requests; it is an http.Server's
// ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// PeerClosed reports whether the peer closed the connection of a request; ctx must come from
// WithConn. The server's own background read can notice that seconds late if the process gets
// little CPU time.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	if watched, ok := c.(*idleConn); ok && watched.watch != nil && watched.watch.state.Load().closed {
		return true
	}
	return PeekState(c) == Closed
}
