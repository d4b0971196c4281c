package quarantine

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

const (
	// removedWithin is how long after a disconnect an exited server is removed at the latest: its
	// record expires about 3 s after the exit, and later where the store is slow.
	removedWithin = 10 * time.Second
	// maxDisconnects bounds the disconnects that are kept: several times what all servers of a
	// large service have just begun to run for an entry.
	maxDisconnects = 1024
)

// disconnects holds the calls during which backend servers recently closed the connection. A
// server may exit unseen: the host that is asked for a connection is cut off or frozen, or the
// server is already up again. The zero value is ready; it is guarded by Quarantine's lock.
type disconnects struct {
	list []disconnect
}

// disconnect is a call during which a server closed the connection.
type disconnect struct {
	server string
	traits []runworks.Trait
	at     time.Time
}

// add adds a disconnect and drops those that are too old, or the oldest if there are too many.
func (b *disconnects) add(now time.Time, traits []runworks.Trait, server string) {
	b.list = slices.DeleteFunc(b.list, func(one disconnect) bool { return now.Sub(one.at) > removedWithin })
	if len(b.list) >= maxDisconnects {
		b.list = slices.Delete(b.list, 0, 1)
	}
	b.list = append(b.list, disconnect{server: server, traits: traits, at: now})
}

// take removes the disconnects of a server and returns those that are recent enough.
func (b *disconnects) take(now time.Time, server string) []disconnect {
	var out []disconnect
	b.list = slices.DeleteFunc(b.list, func(one disconnect) bool {
		if one.server != server {
			return false
		}
		if now.Sub(one.at) <= removedWithin {
			out = append(out, one)
		}
		return true
	})
	return out
}
