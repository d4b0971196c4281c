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

// maxLoggedServers is the number of added servers up to which each has a log line. More are added at
// once only by a list that arrives whole.
const maxLoggedServers = 20

// onServers applies new records of backend servers.
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

// noteBadRecord counts and logs a record that does not describe a usable backend server.
func (d *Front) noteBadRecord(bad platform.BadRecord) {
	metrics.Count(d.metrics.BadRecords)
	d.Logger.Error("record names no backend server to use", "key", bad.Key, "error", bad.Err.Error())
}

// onServicesChanged applies the list of servers again after the set of routed services changed.
func (d *Front) onServicesChanged() {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	if d.serversListed.Load() {
		d.applyServers(time.Now())
	}
	d.applyOrders()
}

// withRoutes returns the servers whose services the active routing names. The others are logged
// once each, and used when a later routing names their services.
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

// applyServers applies the list of servers. It does so again after the grace period of records that
// the store may have lost, or restored from before their servers were removed.
func (d *Front) applyServers(now time.Time) {
	list, again := d.expiryFilter.Merge(now, d.withRoutes(d.servers.List()))
	d.suspendHalls(list)
	d.closeReplaced(list)
	d.rollouts.SetServers(list)
	d.forwarder.Origins.SetServers(now, list)
	change := d.dispatcher.SetServers(list)
	if again > 0 {
		d.Logger.Warn("records of backend servers may be lost or outdated; checking again later", "known", len(list), "for_ms", again.Milliseconds())
		d.work.Go(func() {
			pause.For(d.ctx, again)
			d.serversMu.Lock()
			defer d.serversMu.Unlock()
			d.applyServers(time.Now())
		})
	}
	if len(change.Added) > maxLoggedServers {
		d.Logger.Info("backend servers added", "count", len(change.Added), "services", countByService(change.Added))
	} else {
		for _, one := range change.Added {
			d.Logger.Info("backend server added", "server", one.ID, "born", one.Generation, "service", one.Service, "address", one.Address, "hall", one.Hall, "leaving", one.Draining)
		}
	}
	for _, one := range change.Withdrawn {
		d.Logger.Info("backend server draining or removed", "server", one.ID, "born", one.Generation, "service", one.Service, "address", one.Address)
	}
	for _, one := range change.Exited {
		d.attributeExits(&one)
	}
	for _, one := range change.Restarted {
		d.pool.CloseIdle(one.Address)
		d.Logger.Warn("backend server restarted; its calls are lost", "server", one.ID, "born", one.Generation, "service", one.Service, "address", one.Address)
	}
}

// closeReplaced closes the idle connections to the addresses of servers that are new there: they lead to others, and a request that is
// sent on one may be lost. Calls that wait must not be placed at the new servers before.
func (d *Front) closeReplaced(list []runworks.Instance) {
	addresses := make(map[string]string, len(list))
	for _, one := range list {
		id := one.IncarnationID()
		addresses[id] = one.Address
		if d.addresses[id] != one.Address {
			d.pool.CloseIdle(one.Address)
		}
	}
	d.addresses = addresses
}

// countByService returns the number of servers of each service.
func countByService(list []runworks.Instance) map[string]int {
	out := make(map[string]int)
	for _, one := range list {
		out[one.Service]++
	}
	return out
}

func (d *Front) onEject(server runworks.Instance, failures int, wait time.Duration) {
	d.Logger.Warn("backend server ejected", "server", server.ID, "service", server.Service, "failures", failures, "for_ms", wait.Milliseconds())
}

// onRefuse counts a call that this entry refused as the scheduler of its service. Its log line is written
// by the entry that owns it.
func (d *Front) onRefuse(rank int, cause dispatch.RefusalCause, basis string) {
	metrics.Count(d.metrics.ScheduleRefusals, metrics.Rank(rank), metrics.Cause(string(cause)), metrics.Basis(basis))
}

func (d *Front) onUnresponsive(server runworks.Instance, unresponsive bool) {
	if unresponsive {
		// The idle connections may be as silent as those of its calls.
		d.pool.CloseIdle(server.Address)
		d.Logger.Warn("backend server unresponsive; ejected until it responds", "server", server.ID, "service", server.Service)
		return
	}
	d.Logger.Info("backend server responds again", "server", server.ID, "service", server.Service)
}

func (d *Front) onPeerEject(server runworks.Instance, fronts int) {
	if fronts > 0 {
		d.Logger.Warn("backend server ejected by other fronts", "server", server.ID, "service", server.Service, "fronts", fronts)
		return
	}
	d.Logger.Info("backend server no longer ejected by other fronts", "server", server.ID, "service", server.Service)
}

func (d *Front) onRateLimit(server runworks.Instance, c dispatch.LimitChange) {
	if !c.Limit.Named {
		d.Logger.Info("backend server no longer limits its request rate", "server", server.IncarnationID(), "service", server.Service, "told_by", c.From)
		return
	}
	d.Logger.Warn("backend server limits its request rate", "server", server.IncarnationID(), "service", server.Service, "per_second", c.Limit.PerSecond, "told_by", c.From,
		"part_per_second", c.Share.PerSecond, "part_at_once", c.Share.Burst, "entries", c.Entries)
}

func (d *Front) onDraining(server runworks.Instance, from string) {
	metrics.Count(d.metrics.ServerReports, metrics.ReportKind("leaving"))
	d.Logger.Info("backend server announced that it is draining", "server", server.IncarnationID(), "service", server.Service, "address", server.Address, "told_by", from)
}

func (d *Front) onBackoff(server runworks.Instance, duration time.Duration) {
	metrics.Count(d.metrics.ServerReports, metrics.ReportKind("rest"))
	d.Logger.Warn("backend server requested a back-off", "server", server.IncarnationID(), "service", server.Service, "for_ms", duration.Milliseconds())
}
