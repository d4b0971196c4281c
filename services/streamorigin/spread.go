package streamorigin

import (
	"context"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/pause"
)

const (
	// spreadTimeout is how long after a version appeared the first events of its streams wait for the other entries: callers leave
	// streams that do not begin within two seconds.
	spreadTimeout = 1500 * time.Millisecond
	// spreadInterval is the interval in which it is checked whether they know the version.
	spreadInterval = 10 * time.Millisecond
)

// AwaitKnown waits until the other entries know a further version of a service that began a stream, for spreadTimeout after it
// appeared at most. It is called before the caller receives the first event: an entry that hears of the version late, as its
// paths are slow, would continue the stream at the only version that it knows.
func (t *Table) AwaitKnown(ctx context.Context, o runworks.StreamOrigin) {
	if t.AllKnow == nil {
		return
	}
	for ctx.Err() == nil {
		position := t.Position() // without the lock, under which the list of servers calls SetServers
		t.mu.Lock()
		v, now := t.versions[o.Service][o.Version], time.Now()
		if v == nil || v.spread || now.Sub(v.appeared) >= spreadTimeout || len(t.versions[o.Service].current(now)) < 2 {
			t.mu.Unlock()
			return
		}
		if v.position == (runworks.Position{}) {
			v.position = position
		}
		position = v.position
		t.mu.Unlock()
		if t.AllKnow(position) {
			t.mu.Lock()
			v.spread = true
			t.mu.Unlock()
			return
		}
		pause.For(ctx, spreadInterval)
	}
}
