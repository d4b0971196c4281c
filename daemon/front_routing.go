package daemon

import (
	"time"

	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/services/peers"
)

const (
	// routingGrace, and routingPerFront for each front, is how long a newer routing of another
	// front is waited for, which as a rule is told or can be read from the store: from an older
	// copy it can't.
	routingGrace         = time.Second
	routingGracePerFront = 5 * time.Millisecond
	// routingTimeout bounds how long a front that starts takes no calls as another front has a
	// newer routing that it can't get.
	routingTimeout = 2 * time.Second
)

// routingVersion is the version of the routing in force; 0 is none.
func (d *Front) routingVersion() int64 {
	if table := d.forwarder.Table.Load(); table != nil {
		return table.Routing.Version
	}
	return 0
}

// catchUpRouting asks another front for its routing if that is newer and does not come by
// itself: a front that starts after the store came back may find an older one there. Before it
// has looked it asks nobody: of many that start at once all would ask the first.
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
			pause.For(d.ctx, routingGrace+time.Duration(d.exchange.LiveCount())*routingGracePerFront)
		}
		if version > d.routingVersion() {
			d.syncFromPeer(from, peers.SubjectRouting, w)
		}
		d.admitHeldCalls()
	})
}

// noteRoutingVersion notes a version of the routing that another front told of.
func (d *Front) noteRoutingVersion(version int64) {
	newest := d.newestReportedRouting.Load()
	for version > newest && !d.newestReportedRouting.CompareAndSwap(newest, version) {
		newest = d.newestReportedRouting.Load()
	}
}

// routingBehind says whether another front told of a newer routing, which is still to come.
func (d *Front) routingBehind(now time.Time) bool {
	return d.newestReportedRouting.Load() > d.routingVersion() && now.Sub(d.started) < routingTimeout
}

// isInitialized says whether calls are let through.
func (d *Front) isInitialized() bool {
	select {
	case <-d.initialized:
		return true
	default:
		return false
	}
}
