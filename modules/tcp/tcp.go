// Package tcp opens connections that notice within a bounded time that their
// peer is gone.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is how many unanswered keepAliveProbes end an idle connection.
const keepAliveProbes = 3

// Options say when a connection whose peer confirms nothing is given up.
type Options struct {
	PeerTimeout time.Duration
}

// Dial opens a connection, like net.Dialer.DialContext.
func (o Options) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: o.keepAlive(), Control: o.control}
	return d.DialContext(ctx, network, address)
}

// Listen opens a listener.
func (o Options) Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: o.keepAlive(), Control: o.control}
	return l.Listen(ctx, "tcp", address)
}

func (o Options) keepAlive() net.KeepAliveConfig {
	interval := max(o.PeerTimeout/keepAliveProbes, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// control bounds how long sent bytes may stay unconfirmed; accepted connections
// take it over from their listener.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.PeerTimeout.Milliseconds()))
	})
	if err != nil {
		return errorx.Decorate(err, "reach the socket")
	}
	return set
}
