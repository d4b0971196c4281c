package tcp

import (
	"context"
	"net"
	"time"
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

// ClosedAt returns when the peer's close of a request's connection arrived, as far as the kernel tells, and otherwise
// now; ctx must come from WithConn. A process that gets no processor notices it later. After a reset, or if something
// was sent since, it is not known.
func ClosedAt(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return now
	}
	_, ago := PeekPeerEnd(c)
	return now.Add(-ago)
}

// sinceLastReceived returns the time since a connection last received bytes; 0 if the kernel does not tell.
func sinceLastReceived(c net.Conn) time.Duration {
	info := kernelInfo(c)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
