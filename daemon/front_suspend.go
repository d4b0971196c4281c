package daemon

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/suspend"
)

// watchSuspensions looks for suspensions of the host until ctx ends.
func (d *Front) watchSuspensions(ctx context.Context) {
	w := &suspend.Monitor{OnResume: d.onHostSuspended}
	if err := w.Run(ctx); err != nil {
		d.Logger.Warn("suspensions of the host are not noticed", "error", err.Error())
	}
}

// onHostSuspended brings what a front believes up to date after a suspension of its host: timers and
// ages did not count it, but callers, the store and the other fronts did.
func (d *Front) onHostSuspended(lost time.Duration) {
	d.Logger.Warn("host was suspended", "lost_ms", lost.Milliseconds(), "calls", d.forwarder.Active())
	d.forwarder.AddSuspension(lost)
	d.exchange.HostSuspended(lost)
	d.store.Client.CloseIdleConnections()
	for _, w := range d.watches {
		w.Refresh()
	}
}
