package daemon

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/peers"
)

// buildStreamOrigins connects what is known of streams and their versions with the other fronts and the
// store.
func (d *Front) buildStreamOrigins() {
	origins := &d.forwarder.Origins
	d.streamVersions = &platform.StreamVersions{
		Store: d.store, Table: origins, Self: d.exchange.Self.Incarnation, Logger: d.Logger,
		Leads: d.leadsStreamVersions, OnFirstReadDone: d.admitHeldCalls, OnRecorded: d.exchange.SendRecordedVersions,
	}
	origins.Started, origins.Isolated = time.Now(), d.isolated
	origins.Send, origins.OnVersions = d.exchange.SendStreamOrigins, d.streamVersions.Changed
	d.exchange.StreamOrigins = func() []runworks.StreamOrigin { return origins.List(time.Now()) }
	d.exchange.OnStreamOrigins = func(list []runworks.StreamOrigin) { origins.Apply(time.Now(), list) }
	d.exchange.StreamVersions = func() []runworks.StreamVersion { return origins.Versions(time.Now()) }
	d.exchange.OnStreamVersions = d.onStreamVersions
}

// leadsStreamVersions reports whether this front records the versions for all: those that read the list of
// servers for all learn of a version first.
func (d *Front) leadsStreamVersions() bool {
	return d.exchange.Settled(time.Now()) && d.exchange.ReadsStore(d.watches[peers.SubjectServers].StoreLost())
}

// isolated reports whether this front can reach neither the store nor another front.
func (d *Front) isolated() bool {
	return d.watches[peers.SubjectServers].StoreLost() && d.exchange.LiveCount() == 0
}

// onStreamVersions applies the versions of another front's handshake, or those that it has recorded.
func (d *Front) onStreamVersions(list []runworks.StreamVersion, recorded bool) {
	if recorded {
		d.forwarder.Origins.NoteRecorded(time.Now(), list)
		return
	}
	d.forwarder.Origins.ApplyVersions(time.Now(), list)
}
