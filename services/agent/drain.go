package agent

import (
	"context"
	"time"

	"github.com/runworks/runworks/services/control"
)

// StartDrain stops accepting work, returns the queued reservations and notifies all entries.
func (a *Agent) StartDrain() {
	a.mu.Lock()
	if a.draining {
		a.mu.Unlock()
		return
	}
	a.draining = true
	a.Logger.Info("draining; not accepting new requests", "server", a.Server)
	a.refuseAllLocked(control.RefusedDraining)
	heartbeat := a.heartbeatLocked()
	links := a.linksLocked()
	a.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Notify(a.ctx, control.MethodHeartbeat, heartbeat)
	}
}

// linksLocked returns the connections to entries.
func (a *Agent) linksLocked() []*link {
	links := make([]*link, 0, len(a.links))
	for _, l := range a.links {
		links = append(links, l)
	}
	return links
}

// Drain calls StartDrain and waits until all runs have ended and their responses were read. It
// returns the cause if ctx ends earlier.
func (a *Agent) Drain(ctx context.Context) error {
	a.StartDrain()
	for {
		a.mu.Lock()
		idle, wait := a.idleLocked(), a.changed.Wait()
		a.mu.Unlock()
		if idle {
			a.handOver(ctx)
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-wait:
		case <-time.After(a.OrphanTimeout):
		}
	}
}

// idleLocked reports whether nothing runs and every response was read or had no reader within
// OrphanTimeout.
func (a *Agent) idleLocked() bool {
	if a.busyLocked() > 0 {
		return false
	}
	for _, r := range a.runs {
		if r.readers > 0 {
			return false
		}
		unread := r.state == control.StateEnded && !r.fullyRead
		if unread && time.Since(r.endedAt) < a.OrphanTimeout {
			return false
		}
	}
	return true
}

// Close stops the agent and cancels what still runs.
func (a *Agent) Close() {
	a.StartDrain()
	a.cancel()
	a.mu.Lock()
	for _, r := range a.runs {
		if r.cancel != nil {
			r.cancel()
		}
		if r.orphanTimer != nil {
			r.orphanTimer.Stop()
		}
	}
	a.mu.Unlock()
	a.work.Close()
}
