package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// stopMargin is how much before the end of the grace a stop is over.
	stopMargin = 700 * time.Millisecond
	// stopPollInterval is how often a planned stop looks whether calls are left, and
	// shortCalls is the time before its end from which it takes none at all.
	stopPollInterval = 20 * time.Millisecond
	shutdownMargin   = time.Second
	// abortMargin is how much before the end calls without an answer get one: some times
	// the way of an answer. Three calls of a burst that waited at fronts which were stopped
	// in turn were cut without a word.
	abortMargin = 300 * time.Millisecond
)

// drain turns readiness red and goes on until the balancer has noticed. Then it
// takes no streams any more, but goes on with short calls, as callers may know of no
// other front, until what ran has its answer.
func (d *Front) drain(ctx context.Context, server *http.Server) {
	end := time.Now().Add(d.Settings.Grace - stopMargin)
	d.draining.Store(true)
	d.front.Closing.Store(true)
	d.Logger.Info("planned stop: not ready from now on", "stop_notice", d.Settings.StopNotice.String(), "grace", d.Settings.Grace.String())
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
}
