package daemon

import (
	"github.com/runworks/runworks"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/scheduler"
)

// buildScheduler assembles the client and the server of shared scheduling.
func (d *Front) buildScheduler() {
	d.slotServer = &scheduler.Server{Dispatcher: d.dispatcher, Ready: d.isInitialized, Logger: d.Logger, Metrics: d.metrics}
	d.exchange.Slots = d.slotServer
	d.slotClient = &scheduler.Client{
		Self: d.exchange.Self, Dispatcher: d.dispatcher, Transport: d.exchange, Scheduled: d.isScheduled, Stopping: d.draining.Load,
		Logger: d.Logger, Metrics: d.metrics,
	}
	d.exchange.OnDisconnected = d.slotClient.Disconnected
	d.forwarder.Slots = d.slotClient
}

// isScheduled reports whether one front grants the slots of a service: an engine service, where the
// settings or the platform's contracts ask for it, or the engines report how slow they are.
func (d *Front) isScheduled(service string) bool {
	table := d.forwarder.Table.Load()
	if table == nil {
		return false
	}
	s := table.Service(service)
	if s == nil || s.Kind != runworks.KindEngine {
		return false
	}
	return d.callersCompete() || d.dispatcher.Scheduling(service).ReportsSlowness
}

// callersCompete reports whether the settings or the platform's contracts say that callers compete for
// slots.
func (d *Front) callersCompete() bool {
	return d.Settings.SharedScheduling || platform.CallersCompete(d.Settings.Contracts)
}
