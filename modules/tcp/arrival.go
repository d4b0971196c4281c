package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ArrivedAt returns when the request that is being read arrived, as far as it is known, and otherwise now;
// ctx must come from WithConn. A process that gets little processor time reads seconds later. The kernel
// tells how long ago a socket last received something; where it does not, requests on connections that were
// idle are seen by the watcher of closes.
func ArrivedAt(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return now
	}
	at := now.Add(-sinceLastReceived(c))
	if watched, ok := c.(*idleConn); ok && watched.watch != nil {
		if seen := watched.watch.takeArrival(); !seen.IsZero() && seen.Before(at) {
			at = seen
		}
	}
	return at
}

// sinceLastReceived returns the time since a connection last received bytes; 0 if the kernel does not tell.
func sinceLastReceived(c net.Conn) time.Duration {
	sc, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
