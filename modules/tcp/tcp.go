// Package tcp opens connections that detect an unreachable peer within a bounded time.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes that close an idle connection.
const keepAliveProbes = 3

// Options configure the connections of Dial and Listen.
type Options struct {
	// PeerTimeout is the time after which a connection is closed whose peer acknowledges
	// nothing. Idle connections are probed at intervals of a third of it, but of at least 1 s.
	PeerTimeout time.Duration
}

// Dial opens a connection, like net.Dialer.DialContext.
func (o Options) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: o.keepAlive(), Control: o.control}
	return d.DialContext(ctx, network, address)
}

// Listen opens a TCP listener at address (host:port).
func (o Options) Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: o.keepAlive(), Control: o.control}
	return l.Listen(ctx, "tcp", address)
}

func (o Options) keepAlive() net.KeepAliveConfig {
	interval := max(o.PeerTimeout/keepAliveProbes, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// control limits how long sent data may stay unacknowledged. Accepted connections inherit the
// option from their listener.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.PeerTimeout.Milliseconds()))
	})
	if err != nil {
		return errorx.Decorate(err, "access the socket")
	}
	return set
}
