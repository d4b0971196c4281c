package daemon

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/dispatch"
)

// onServers puts the list of backend servers in force.
func (d *Front) onServers(records []platform.Record, apply func([]platform.Record) []platform.BadRecord, restored bool) {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	now := time.Now()
	if restored {
		d.expiryFilter.StoreRestored(now)
	}
	for _, bad := range apply(records) {
		d.noteBadRecord(bad)
	}
	d.applyServers(now)
	d.serversListed.Store(true)
	d.admitHeldCalls()
}

// noteBadRecord counts and logs a record that names no backend server to use.
func (d *Front) noteBadRecord(bad platform.BadRecord) {
	metrics.Count(d.metrics.BadRecords)
	d.Logger.Error("record names no backend server to use", "key", bad.Key, "error", bad.Err.Error())
}

// onServicesChanged looks again for servers whose services are routed to.
func (d *Front) onServicesChanged() {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	if d.serversListed.Load() {
		d.applyServers(time.Now())
	}
}

// withRoutes gives the servers of the services that the routing names. The others are told of
// once, and kept for a routing that names theirs.
func (d *Front) withRoutes(list []runworks.Instance) []runworks.Instance {
	table := d.forwarder.Table.Load()
	if table == nil {
		return list
	}
	unrouted := make(map[string]bool)
	out := list[:0]
	for _, one := range list {
		if table.HasService(one.Service) {
			out = append(out, one)
			continue
		}
		unrouted[one.IncarnationID()] = true
		if !d.unrouted[one.IncarnationID()] {
			d.noteBadRecord(platform.BadRecord{Key: one.ID, Err: errorx.Decorate(runworks.ErrUnknownService, "%.100s", one.Service)})
		}
	}
	d.unrouted = unrouted
	return out
}

// applyServers puts the list in force, and again when the time of those is over whose
// records the store may have lost, or may have from before they went.
func (d *Front) applyServers(now time.Time) {
	list, again := d.expiryFilter.Merge(now, d.withRoutes(d.servers.List()))
	change := d.dispatcher.SetServers(list)
	if again > 0 {
		d.Logger.Warn("records of backend servers are in doubt, looked at again in a while", "known", len(list), "for_ms", again.Milliseconds())
		d.work.Go(func() {
			pause.For(d.ctx, again)
			d.serversMu.Lock()
			defer d.serversMu.Unlock()
			d.applyServers(time.Now())
		})
	}
	for _, one := range change.Added {
		d.Logger.Info("backend server known", "server", one.ID, "born", one.Generation, "service", one.Service, "address", one.Address, "hall", one.Hall, "leaving", one.Draining)
	}
	for _, one := range change.Withdrawn {
		d.Logger.Info("backend server leaves", "server", one.ID, "born", one.Generation, "service", one.Service, "address", one.Address)
	}
	for _, one := range change.Exited {
		d.attributeExits(&one)
	}
	for _, one := range change.Restarted {
		d.pool.CloseIdle(one.Address)
		d.Logger.Warn("backend server started again, its calls are lost", "server", one.ID, "born", one.Generation, "service", one.Service, "address", one.Address)
	}
}

func (d *Front) onEject(server runworks.Instance, failures int, wait time.Duration) {
	d.Logger.Warn("backend server left out", "server", server.ID, "service", server.Service, "failures", failures, "for_ms", wait.Milliseconds())
}

func (d *Front) onUnresponsive(server runworks.Instance, unresponsive bool) {
	if unresponsive {
		d.Logger.Warn("backend server silent, left out until it is heard", "server", server.ID, "service", server.Service)
		return
	}
	d.Logger.Info("backend server heard again", "server", server.ID, "service", server.Service)
}

func (d *Front) onPeerEject(server runworks.Instance, fronts int) {
	if fronts > 0 {
		d.Logger.Warn("backend server left out by other fronts", "server", server.ID, "service", server.Service, "fronts", fronts)
		return
	}
	d.Logger.Info("backend server left out by no other front any more", "server", server.ID, "service", server.Service)
}

func (d *Front) onRateLimit(server runworks.Instance, c dispatch.LimitChange) {
	if !c.Limit.Named {
		d.Logger.Info("backend server limits its requests no more", "server", server.IncarnationID(), "service", server.Service, "told_by", c.From)
		return
	}
	d.Logger.Warn("backend server limits its requests", "server", server.IncarnationID(), "service", server.Service, "per_second", c.Limit.PerSecond, "told_by", c.From,
		"part_per_second", c.Share.PerSecond, "part_at_once", c.Share.Burst, "entries", c.Entries)
}

func (d *Front) onDraining(server runworks.Instance, from string) {
	metrics.Count(d.metrics.ServerReports, metrics.ReportKind("leaving"))
	d.Logger.Info("backend server says that it leaves", "server", server.IncarnationID(), "service", server.Service, "address", server.Address, "told_by", from)
}

func (d *Front) onBackoff(server runworks.Instance, duration time.Duration) {
	metrics.Count(d.metrics.ServerReports, metrics.ReportKind("rest"))
	d.Logger.Warn("backend server asks for rest", "server", server.IncarnationID(), "service", server.Service, "for_ms", duration.Milliseconds())
}
