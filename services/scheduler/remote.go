package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
)

const (
	// batchTime is how long a placement waits for others. It is small against the time for which a
	// slot is used, and at 100 calls per second halves the messages.
	batchTime = 10 * time.Millisecond
	// sendTimeout limits the send of a batch.
	sendTimeout = time.Second
)

// remote is an entry that schedules, from the first request to its loss. Client.mu guards it.
type remote struct {
	id runworks.Incarnation
	// waits is the number of requests that wait for a reply, and held the adopted grants.
	waits int
	held  map[int64]*heldGrant
	// pending are the placements to report. sending is set while a timer or a goroutine will send
	// them.
	pending []peers.Placement
	sending bool
	// gone is set, and lost is closed, once the entry counts as lost, for the given cause.
	gone  bool
	lost  chan struct{}
	cause fallback
	// closed is set if that is because its connection closed: it does not know its grants any longer.
	closed bool
}

// heldGrant is a grant that was adopted. It implements dispatch.Observer, whose methods are called with
// the dispatcher's lock held; that guards the fields that are not marked otherwise.
type heldGrant struct {
	client *Client
	remote *remote
	number int64
	// detached is set once the call counts at this entry, and the scheduler must not be told of it;
	// Client.mu guards it.
	detached         bool
	gaps             peers.Gaps
	events, expected int
}

// ReceivedFirstEvent implements dispatch.Observer.
func (h *heldGrant) ReceivedFirstEvent(after time.Duration) {
	h.report(peers.Placement{Grant: h.number, Read: true, FirstMs: inMilliseconds(after), Gaps: h.takeGaps()})
}

// ReceivedEvent implements dispatch.Observer. The gaps are reported with the end of the call.
func (h *heldGrant) ReceivedEvent(gap time.Duration, late bool) {
	h.gaps.N++
	h.gaps.SumMs += inMilliseconds(gap)
	if late {
		h.gaps.Late++
	}
}

// Completed implements dispatch.Observer.
func (h *heldGrant) Completed(expectedTokens, events int) {
	h.expected, h.events = expectedTokens, events
}

// Released implements dispatch.Observer.
func (h *heldGrant) Released(r dispatch.Result) {
	h.report(peers.Placement{Grant: h.number, Ended: resultNames[r], Gaps: h.takeGaps(), Events: h.events, ExpectedTokens: h.expected})
}

func (h *heldGrant) takeGaps() *peers.Gaps {
	if h.gaps.N == 0 {
		return nil
	}
	out := h.gaps
	h.gaps = peers.Gaps{}
	return &out
}

// abandoned is the placement that ends the grant without a result.
func (h *heldGrant) abandoned() peers.Placement {
	return peers.Placement{Grant: h.number, Ended: resultNames[dispatch.Abandoned]}
}

// report adds a placement to the next batch.
func (h *heldGrant) report(p peers.Placement) {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	if h.detached {
		return
	}
	if p.Ended != "" {
		delete(h.remote.held, h.number)
	}
	h.client.reportLocked(h.remote, p)
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// isDecodeError reports whether a reply arrived that is not what was expected.
func isDecodeError(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &kind)
}

// remoteLocked returns the state of a scheduler.
func (c *Client) remoteLocked(id runworks.Incarnation) *remote {
	r := c.remotes[id]
	if r == nil {
		r = &remote{id: id, held: make(map[int64]*heldGrant), lost: make(chan struct{})}
		if c.remotes == nil {
			c.remotes = make(map[runworks.Incarnation]*remote)
		}
		c.remotes[id] = r
	}
	return r
}

func (c *Client) addWait(r *remote, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.waits += n
}

// reportLocked adds a placement to the next batch.
func (c *Client) reportLocked(r *remote, p peers.Placement) {
	if r.closed {
		return
	}
	r.pending = append(r.pending, p)
	if !r.sending {
		r.sending = true
		time.AfterFunc(batchTime, func() { c.sendBatch(r) })
	}
}

// sendBatch sends the placements that wait, and those that arrive meanwhile after batchTime. Batches
// are sent one after the other, as a first event must not arrive after the end.
func (c *Client) sendBatch(r *remote) {
	c.mu.Lock()
	list := r.pending
	r.pending = nil
	c.mu.Unlock()
	if len(list) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		// After an error the connection closes, and the scheduler is lost.
		_ = c.Transport.SendPlacements(ctx, r.id, list)
		cancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sending = len(r.pending) > 0
	if r.sending {
		time.AfterFunc(batchTime, func() { c.sendBatch(r) })
	}
}

// Flush sends the placements that wait. It is called at the end of a planned stop, so that the slots of
// the last calls do not stay taken until this entry times out.
func (c *Client) Flush() {
	c.mu.Lock()
	var list []*remote
	for _, r := range c.remotes {
		if len(r.pending) > 0 {
			list = append(list, r)
		}
	}
	c.mu.Unlock()
	for _, r := range list {
		c.sendBatch(r)
	}
}

// Disconnected is called when the connection to an entry is closed, and when the entry restarted or
// timed out. Its waiting calls continue locally, and the calls that it granted count here.
func (c *Client) Disconnected(id runworks.Incarnation) { c.lose(id, causeDisconnected, true) }

// lose ends what a scheduler holds for this entry. If its connection is open, closed is unset, and it
// is told that it no longer counts the calls.
func (c *Client) lose(id runworks.Incarnation, cause fallback, closed bool) {
	lostAt := time.Now()
	c.mu.Lock()
	r := c.remotes[id]
	scheduled := r != nil
	for _, one := range c.current {
		scheduled = scheduled || one.Incarnation == id
	}
	if !scheduled {
		c.mu.Unlock()
		return
	}
	c.avoidLocked(avoided{id: id})
	if r != nil {
		delete(c.remotes, id)
		r.gone, r.cause, r.closed = true, cause, closed
		if closed {
			r.pending = nil
		}
		for _, h := range r.held {
			h.detached = true
			c.reportLocked(r, h.abandoned())
		}
		clear(r.held)
	}
	c.mu.Unlock()
	c.Dispatcher.CountGrants(id)
	if r != nil {
		close(r.lost) // the waiting calls continue here, and must find the slots of the running ones taken
	}
	time.AfterFunc(forgetTime, func() {
		if c.Transport.LastSeen(id).Before(lostAt) {
			c.Dispatcher.ForgetRunning(id)
		}
	})
}

// Run watches the schedulers of waiting and running calls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			c.loseSilent(now, now.Sub(last))
			last = now
		}
	}
}

// loseSilent loses the schedulers that are silent, unless too much time has passed since the last
// check.
func (c *Client) loseSilent(now time.Time, passed time.Duration) {
	if passed > watchInterval+stallTime {
		return
	}
	for _, id := range c.silent(now) {
		c.lose(id, causeSilent, false)
	}
}

// silent returns the schedulers that hold something of this entry and are silent.
func (c *Client) silent(now time.Time) []runworks.Incarnation {
	c.mu.Lock()
	silence := c.silence
	var used []runworks.Incarnation
	for id, r := range c.remotes {
		if r.waits > 0 || len(r.held) > 0 {
			used = append(used, id)
		}
	}
	c.mu.Unlock()
	var out []runworks.Incarnation
	for _, id := range used {
		if now.Sub(c.Transport.LastSeen(id)) > silence {
			out = append(out, id)
		}
	}
	return out
}
