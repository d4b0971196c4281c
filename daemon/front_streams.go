package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/peers"
)

const (
	// streamsTimeout limits the time in which the store says what happened while this front was stopped or cut off. Callers wait
	// for half a second, so that what the other fronts say is used before.
	streamsTimeout = 400 * time.Millisecond
	// peersTimeout is the same for the other fronts, one of which may be stopped itself.
	peersTimeout = 300 * time.Millisecond
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
	origins.Stops, origins.Update = d.countStops, d.updateStreams
	origins.Position = func() runworks.Position { return d.watches[peers.SubjectServers].Position() }
	origins.AllKnow = func(position runworks.Position) bool { return d.exchange.AllRead(time.Now(), position) }
	origins.AskEntries = d.askStreams
	origins.MissesEntry = func() bool { return d.exchange.MissesEntry(time.Now()) }
	origins.Alone = d.exchange.Alone
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

// isolated reports whether neither this front nor any that it hears can reach the store, while others may.
func (d *Front) isolated() bool {
	return d.watches[peers.SubjectServers].StoreLost() && d.exchange.CutOff()
}

// countStops returns how often this front was stopped.
func (d *Front) countStops() int {
	n, err := d.stops.Count()
	if err != nil {
		d.Logger.Error("stops of this process cannot be detected", "error", err.Error())
	}
	return n
}

// updateStreams reads the list of servers, which names all versions that may begin streams, after this front was stopped or cut
// off. After a stop, and where the store does not respond, it also asks the other fronts for the streams and versions that they
// know. It reports whether no version can be missing.
func (d *Front) updateStreams(stopped bool) bool {
	if !stopped && d.exchange.Alone() && d.allExited() {
		return true
	}
	ctx, cancel := context.WithTimeout(d.ctx, streamsTimeout)
	defer cancel()
	var answered int
	var missing bool
	ask := func() { answered, missing = d.requestStreams(ctx) }
	var work conc.WaitGroup
	if stopped {
		work.Go(ask)
	}
	err := d.watches[peers.SubjectServers].Update(ctx)
	work.Wait()
	if err != nil {
		d.Logger.Warn("list of servers could not be read for a stream that is not known", "error", err.Error())
		if !stopped {
			ask()
		}
	}
	whole := err == nil || answered > 0 && !missing && !d.exchange.MissesEntry(time.Now())
	d.Logger.Info("versions of streams updated", "whole", whole, "fronts", answered, "fronts_missing", missing)
	return whole
}

// allExited reports whether all other fronts have exited, so that this one is cut off from none.
func (d *Front) allExited() bool {
	ctx, cancel := context.WithTimeout(d.ctx, peersTimeout)
	defer cancel()
	return d.exchange.AllExited(ctx)
}

// requestStreams asks the other fronts for the streams and versions that they know. It returns how many answered, and whether one
// did not in time.
func (d *Front) requestStreams(ctx context.Context) (answered int, missing bool) {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	return d.exchange.RequestStreams(ctx)
}

// askStreams asks the other fronts for the streams that they know, and reports whether none that is heard is missing.
func (d *Front) askStreams() bool {
	answered, missing := d.requestStreams(d.ctx)
	d.Logger.Info("streams of other fronts read", "fronts", answered, "fronts_missing", missing)
	return !missing
}

// onStreamVersions applies the versions of another front's handshake, or those that it has recorded.
func (d *Front) onStreamVersions(list []runworks.StreamVersion, recorded bool) {
	if recorded {
		d.forwarder.Origins.NoteRecorded(time.Now(), list)
		return
	}
	d.forwarder.Origins.ApplyVersions(time.Now(), list)
}
