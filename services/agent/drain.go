package agent

import (
	"context"
	"time"

	"github.com/runworks/runworks/services/control"
)

// StartDrain takes no new work from now on, gives waiting tickets back and tells all
// entries.
func (a *Agent) StartDrain() {
	a.mu.Lock()
	if a.leaving {
		a.mu.Unlock()
		return
	}
	a.leaving = true
	a.Logger.Info("leaving: no new work", "server", a.Server)
	a.giveBackLocked(control.RefusedDraining)
	beat := a.beatLocked()
	links := a.linksLocked()
	a.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Notify(a.life, control.MethodHeartbeat, beat)
	}
}

// linksLocked gives the connections to entries.
func (a *Agent) linksLocked() []*link {
	links := make([]*link, 0, len(a.links))
	for _, l := range a.links {
		links = append(links, l)
	}
	return links
}

// Drain leaves, and waits until what runs has ended and its answer was read.
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

// idleLocked says whether nothing runs and every answer has been read, or
// nobody came for it in time.
func (a *Agent) idleLocked() bool {
	if a.busyLocked() > 0 {
		return false
	}
	for _, r := range a.runs {
		if r.readers > 0 {
			return false
		}
		unread := r.state == control.StateEnded && !r.whole
		if unread && time.Since(r.ended) < a.OrphanTimeout {
			return false
		}
	}
	return true
}

// Close ends the agent; what still runs is cut.
func (a *Agent) Close() {
	a.StartDrain()
	a.end()
	a.mu.Lock()
	for _, r := range a.runs {
		if r.cancel != nil {
			r.cancel()
		}
		if r.orphan != nil {
			r.orphan.Stop()
		}
	}
	a.mu.Unlock()
	a.work.Close()
}
