package peers

import (
	"context"

	"github.com/runworks/runworks/modules/rpc"
)

// notifyAll tells all entries that are connected at once, without waiting for it. An entry
// that can't be told is greeted with all that is known once it is reached again.
func (x *Exchange) notifyAll(method string, message any) {
	x.work.Go(func() {
		// A greeting on its way may not tell of it, and its connection is not known yet.
		x.telling.Lock()
		near, far := x.conns()
		x.telling.Unlock()
		for _, conn := range append(near, far...) {
			x.work.Go(func() { x.notify(conn, method, message) })
		}
	})
}

// notify tells one entry.
func (x *Exchange) notify(conn *rpc.Conn, method string, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := conn.Notify(ctx, method, message); err != nil {
		// The link's own loop dials again and logs the loss.
		_ = conn.Close()
	}
}
