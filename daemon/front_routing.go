package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/services/peers"
)

const (
	// routingGrace, plus a random part of it, is how long a front waits for a newer routing to arrive
	// in a change or from the store before it requests it from another front. The request is needed
	// if the store was restored from an older copy.
	routingGrace = time.Second
	// routingTimeout limits how long a starting front takes no calls because another front has a newer
	// routing that it has not received.
	routingTimeout = 2 * time.Second
)

// routingVersion returns the version of the active routing, or 0 if there is none.
func (d *Front) routingVersion() int64 {
	if table := d.forwarder.Table.Load(); table != nil {
		return table.Routing.Version
	}
	return 0
}

// catchUpRouting requests the routing of another front if it is newer and does not arrive otherwise:
// a store restored from an older copy may hold an older one. A front that has not yet read the store
// requests nothing, as otherwise all fronts that start at once would request it from the first.
func (d *Front) catchUpRouting(from string, version int64) {
	if version <= d.routingVersion() {
		return
	}
	d.noteRoutingVersion(version)
	w := d.watches[peers.SubjectRouting]
	if !w.Loaded() {
		return
	}
	d.requestOnce(peers.SubjectRouting, func() {
		if d.isInitialized() {
			pause.For(d.ctx, routingGrace+rand.N(routingGrace))
		}
		if version > d.routingVersion() {
			d.syncFromPeer(from, peers.SubjectRouting, w)
		}
		d.admitHeldCalls()
	})
}

// reportedRouting is a routing version that another front reported, and when the first one did.
type reportedRouting struct {
	version int64
	at      time.Time
}

// noteRoutingVersion records a routing version that another front reported.
func (d *Front) noteRoutingVersion(version int64) {
	reported := &reportedRouting{version: version, at: time.Now()}
	newest := d.newestReportedRouting.Load()
	for (newest == nil || version > newest.version) && !d.newestReportedRouting.CompareAndSwap(newest, reported) {
		newest = d.newestReportedRouting.Load()
	}
}

// newerRouting returns the newest routing version that another front reported, and when the first one did;
// 0 if none did.
func (d *Front) newerRouting() (version int64, reported time.Time) {
	if r := d.newestReportedRouting.Load(); r != nil {
		return r.version, r.at
	}
	return 0, time.Time{}
}

// routingBehind reports whether another front reported a newer routing that this front still waits
// for.
func (d *Front) routingBehind(now time.Time) bool {
	version, _ := d.newerRouting()
	return version > d.routingVersion() && now.Sub(d.started) < routingTimeout
}

// behindMs returns how many milliseconds ago another front first reported the newest routing version, if that
// is at least the given one, and otherwise 0.
func (d *Front) behindMs(now time.Time, version int64) int64 {
	if newest, at := d.newerRouting(); newest >= version {
		return now.Sub(at).Milliseconds()
	}
	return 0
}

// isInitialized reports whether the front has loaded its state and admits calls.
func (d *Front) isInitialized() bool {
	select {
	case <-d.initialized:
		return true
	default:
		return false
	}
}
