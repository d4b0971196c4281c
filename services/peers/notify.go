package peers

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/rpc"
)

// notifyAll sends a notification to all connected entries and does not wait for it. An entry that
// does not receive it gets the full state in its next handshake.
func (x *Exchange) notifyAll(method string, message any) {
	x.work.Go(func() {
		// A handshake in progress may lack the message, and its connection is not in conns yet.
		x.sendMu.Lock()
		local, remote := x.conns()
		x.sendMu.Unlock()
		for _, conn := range append(local, remote...) {
			x.work.Go(func() { x.notify(conn, method, message) })
		}
	})
}

// startBatchesLocked sends what take returns to all connected entries, immediately and then each
// interval, until take returns nil. It reports whether it started.
func (x *Exchange) startBatchesLocked(method string, interval time.Duration, take func() any) bool {
	ctx := x.ctxLocked()
	return x.work.Go(func() {
		for message := take(); message != nil; message = take() {
			x.notifyAll(method, message)
			pause.For(ctx, interval)
		}
	})
}

// notify sends a notification to one entry.
func (x *Exchange) notify(conn *rpc.Conn, method string, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := conn.Notify(ctx, method, message); err != nil {
		// maintain logs the loss and dials again.
		_ = conn.Close()
	}
}
