package tcp

import (
	"context"
	"net"
	"syscall"
)

// State is what a connection shows without being read.
type State int

// The states of a connection.
const (
	// Idle means that it is open and has nothing to read.
	Idle State = iota
	// Readable means that it has bytes to read.
	Readable
	// Closed means that its peer closed or reset it.
	Closed
)

// PeekState says what a connection shows now, straight from the operating system and beside a
// read that waits. A connection that is no socket is quiet.
func PeekState(c net.Conn) State {
	if idle, ok := c.(*idleConn); ok {
		c = idle.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control, unlike Read, does not wait for the read that is under way.
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

// connKey finds the connection of a request's context.
type connKey struct{}

// WithConn keeps a server's connection in the context of its requests; it is an
// http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// PeerClosed says whether the peer closed the connection that a request came on. A server
// learns that by a read of its own, which a short processor share can hold up by seconds.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && PeekState(c) == Closed
}
