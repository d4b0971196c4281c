package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/runworks/runworks"
)

// ErrNotScheduled means that this entry grants no slots of the service to other entries: a backend
// server of it has a rate limit, of which each entry has a share of its own.
var ErrNotScheduled = errors.New("slots of the service are not granted to other entries")

// Observer is notified of the progress of a call whose slot another entry granted. Its methods are
// called with a lock held and must not block.
type Observer interface {
	// ReceivedFirstEvent is called with the time from the send to the first event.
	ReceivedFirstEvent(after time.Duration)
	// ReceivedEvent is called with the time between two events, and whether callers allow less.
	ReceivedEvent(gap time.Duration, late bool)
	// Completed is called with the tokens that the caller of a complete answer expected, and its
	// events.
	Completed(expectedTokens, events int)
	// Released is called once, with how the call ended.
	Released(r Result)
}

// AcquireFor is like Acquire, for a call that another entry sends. It also returns ErrNotScheduled.
// The call counts at this entry until the lease is released or the other entry is gone.
func (d *Dispatcher) AcquireFor(ctx context.Context, req *Request, entry runworks.Incarnation) (*Lease, error) {
	return d.acquire(ctx, req, entry)
}

// Adopt returns a lease of a slot that another entry, the scheduler, granted to a call of this one.
// It returns nil if the server, named by its incarnation, is unknown here or must get no call.
func (d *Dispatcher) Adopt(server string, req *Request, scheduler runworks.Incarnation, observer Observer) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := d.servers[server]
	if s == nil || s.Service != req.Service || s.Draining || s.backoff.active(now) || s.failing(now, d.services[s.Service]) || !req.allows(s) || d.bars(s) {
		return nil
	}
	lease := &Lease{
		Instance: s.Instance, dispatcher: d, server: s, service: s.Service, route: req.Route, routeRank: req.RouteRank, began: now,
		unreadTokens: req.PromptTokens, scheduler: scheduler, observer: observer,
	}
	if _, live := d.peers[scheduler]; !live {
		lease.scheduler = ""
		s.ownUnread += lease.unreadTokens
	}
	s.addLease(now, lease)
	return lease
}

// dropGrantsLocked ends what this entry and a lost one counted for each other: the slots granted to
// the lost entry are free, and the calls whose slots it granted count here.
func (d *Dispatcher) dropGrantsLocked(lost runworks.Incarnation) {
	for _, s := range d.servers {
		for lease := range s.leases {
			switch lost {
			case lease.entry:
				lease.once.Do(lease.releaseSlotLocked)
			case lease.scheduler:
				s.countedElsewhere--
				s.ownUnread += lease.unreadTokens
				lease.scheduler = ""
			}
		}
	}
}

// RecordRemoteFirstEvent records that the first event of a call for which a slot was granted to
// another entry arrived a time after the send, for a prompt of promptTokens tokens.
func (l *Lease) RecordRemoteFirstEvent(promptTokens int, after time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.recordFirstEventLocked(promptTokens, after)
}

// RecordRemoteGaps records the gaps between events of a call for which a slot was granted to another
// entry: their number and sum, and how many of them were longer than callers allow.
func (l *Lease) RecordRemoteGaps(n int, sum time.Duration, late int) {
	if n <= 0 || late < 0 || late > n || sum < 0 {
		return
	}
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	mean := sum.Seconds() / float64(n)
	for i := range min(n, maxRemoteGaps) {
		l.server.meanGap.add(mean, gapWeight)
		l.server.steadyGap.add(mean, steadyWeight)
		stalled := 0.0
		if i < late {
			stalled = 1
		}
		l.server.lateGaps += stallWeight * (stalled - l.server.lateGaps)
	}
}

// maxRemoteGaps bounds the gaps that one notice adds: several times the events of a second.
const maxRemoteGaps = 200

// Refusal is an error of Acquire that says when a caller should return.
type Refusal struct {
	Err error
	// RetryAfter is the time until then.
	RetryAfter time.Duration
	// Basis is what the time was derived from, for the log.
	Basis string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the reason of the refusal.
func (r *Refusal) Unwrap() error { return r.Err }

// anyLimited reports whether a server of the service has a rate limit.
func (s *service) anyLimited(now time.Time) bool {
	return slices.ContainsFunc(s.servers, func(one *server) bool { return one.limit.Active(now) })
}
