package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// stopMargin is how long before the end of the grace period a stop must be complete.
	stopMargin = 700 * time.Millisecond
	// stopPollInterval is how often a planned stop checks whether calls are left.
	stopPollInterval = 20 * time.Millisecond
	// shutdownMargin is how long before its end a planned stop closes the listener for new calls.
	shutdownMargin = time.Second
	// abortMargin is how long before the end calls without a response are aborted with an error
	// response: several times the time that a response takes to reach the caller. Without it, three calls
	// of a burst that waited at fronts stopped one after the other got no response.
	abortMargin = 300 * time.Millisecond
)

// drain reports not ready and keeps serving until the load balancer has noticed. Then it refuses new
// streams but still takes short calls, as callers may know no other front, until the calls in
// progress have their responses.
func (d *Front) drain(ctx context.Context, server *http.Server) {
	end := time.Now().Add(d.Settings.Grace - stopMargin)
	d.forwarder.StopAt(end.Add(-abortMargin))
	d.draining.Store(true)
	d.front.Closing.Store(true)
	d.Logger.Info("planned stop: reporting not ready", "stop_notice", d.Settings.StopNotice.String(), "grace", d.Settings.Grace.String())
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	pause.For(ctx, d.Settings.StopNotice)
	d.forwarder.Stopping.Store(true)
	for ctx.Err() == nil && d.forwarder.Active() > 0 && time.Until(end) > shutdownMargin {
		pause.For(ctx, stopPollInterval)
	}
	abort := time.AfterFunc(time.Until(end)-abortMargin, d.forwarder.AbortPending)
	defer abort.Stop()
	if err := server.Shutdown(ctx); err != nil {
		d.Logger.Warn("planned stop cut short", "calls", d.forwarder.Active(), "error", err.Error())
	}
	d.slotClient.Flush()
}
