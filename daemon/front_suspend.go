package daemon

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/suspend"
)

// watchSuspensions detects suspensions of the host until ctx is canceled.
func (d *Front) watchSuspensions(ctx context.Context) {
	w := &suspend.Monitor{OnResume: d.onHostSuspended}
	if err := w.Run(ctx); err != nil {
		d.Logger.Warn("suspensions of the host cannot be detected", "error", err.Error())
	}
}

// onHostSuspended updates the state of the front after a suspension of its host: timers and
// ages did not advance meanwhile, but time passed for callers, the store and the other fronts.
func (d *Front) onHostSuspended(lost time.Duration) {
	d.Logger.Warn("host was suspended", "lost_ms", lost.Milliseconds(), "calls", d.forwarder.Active())
	d.forwarder.AddSuspension(lost)
	d.exchange.HostSuspended(lost)
	d.rollouts.HostSuspended(lost)
	d.store.Client.CloseIdleConnections()
	for _, w := range d.watches {
		w.Refresh()
	}
}
