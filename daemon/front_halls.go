package daemon

import (
	"maps"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/serverlimit"
)

// onSuspendedHalls applies records that suspend or resume halls.
func (d *Front) onSuspendedHalls(records []platform.Record, apply func(time.Time, []platform.Record)) {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	now := time.Now()
	before := d.halls.List()
	apply(now, records)
	after := d.halls.List()
	if maps.Equal(before, after) {
		return
	}
	for hall := range after {
		if _, ok := before[hall]; !ok {
			d.Logger.Warn("hall suspended by the operators; its backend servers get nothing more", "hall", hall)
		}
	}
	for hall, since := range before {
		if _, ok := after[hall]; !ok {
			d.Logger.Info("hall resumed by the operators", "hall", hall, "suspended_ms", now.Sub(since).Milliseconds())
		}
	}
	if d.serversListed.Load() {
		d.applyServers(now)
	}
}

// suspendHalls marks the servers of suspended halls.
func (d *Front) suspendHalls(list []runworks.Instance) {
	halls := d.halls.List()
	for i := range list {
		_, list[i].Suspended = halls[list[i].Hall]
	}
}

// suspendedHalls returns the suspended halls and since when they are.
func (d *Front) suspendedHalls() map[string]time.Time {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	return d.halls.List()
}

// coldStart returns the cold start of a service's servers, with the limit of all fronts together.
func (d *Front) coldStart(service string) dispatch.ColdStart {
	table := d.forwarder.Table.Load()
	if table == nil {
		return dispatch.ColdStart{}
	}
	s := table.Service(service)
	if s == nil || s.ColdRate <= 0 {
		return dispatch.ColdStart{}
	}
	most := s.ColdRate*d.Settings.ColdOverage + d.Settings.ColdSlack
	return dispatch.ColdStart{Duration: s.ColdStart, PerSecond: min(s.ColdRate, serverlimit.RateWithin(most))}
}
