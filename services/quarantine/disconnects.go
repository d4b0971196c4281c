package quarantine

import (
	"slices"
	"time"

	"github.com/runworks/runworks"
)

const (
	// goneWithin is within which time after a break a server that has ended is known to be
	// gone: its record lapses some 3 s after its end, and some more where the store is slow.
	goneWithin = 10 * time.Second
	// maxBreaks bounds the breaks that are kept: some times what all servers of a large
	// service have just begun to run at an entry.
	maxBreaks = 1024
)

// breaks remember which requests lives of backend servers broke off of late. A server may
// end unseen: the host that would ask it for a connection is cut off or frozen, or the server
// is back by then. The zero value is ready; it takes no lock.
type breaks struct {
	list []brokenOff
}

// brokenOff is a request that a server broke off.
type brokenOff struct {
	server string
	f      runworks.Fingerprint
	at     time.Time
}

// add remembers a break in the place of those that are too old, or of the oldest.
func (b *breaks) add(now time.Time, f runworks.Fingerprint, server string) {
	b.list = slices.DeleteFunc(b.list, func(one brokenOff) bool { return now.Sub(one.at) > goneWithin })
	if len(b.list) >= maxBreaks {
		b.list = slices.Delete(b.list, 0, 1)
	}
	b.list = append(b.list, brokenOff{server: server, f: f, at: now})
}

// take gives the requests that a server broke off within the time that counts, and forgets
// them.
func (b *breaks) take(now time.Time, server string) []runworks.Fingerprint {
	var out []runworks.Fingerprint
	b.list = slices.DeleteFunc(b.list, func(one brokenOff) bool {
		if one.server != server {
			return false
		}
		if now.Sub(one.at) <= goneWithin {
			out = append(out, one.f)
		}
		return true
	})
	return out
}
