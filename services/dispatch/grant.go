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

// ErrEntryLost means that the entry that asked for a slot timed out or restarted while its call
// waited.
var ErrEntryLost = errors.New("the entry that sends the call is lost")

// grantingTime is for how long after a request of another entry this one counts as the scheduler of
// the service: many times the time between two requests where slots are contended.
const grantingTime = 2 * time.Second

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
// It returns nil if the server, named by its incarnation, is unknown here or must get no call, and
// if the scheduler is not heard: it may have ended the grant.
func (d *Dispatcher) Adopt(server string, req *Request, scheduler runworks.Incarnation, observer Observer) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := d.servers[server]
	if _, live := d.peers[scheduler]; !live {
		return nil
	}
	if s == nil || s.Service != req.Service || s.Draining || s.unusable(now, d.services[s.Service]) || !req.allows(s) || d.bars(s) {
		return nil
	}
	lease := &Lease{
		Instance: s.Instance, dispatcher: d, server: s, service: s.Service, route: req.Route, routeRank: req.RouteRank, began: now,
		unreadTokens: req.PromptTokens, scheduler: scheduler, observer: observer,
	}
	// The call never waits in the queue here, where these would be recorded.
	d.services[s.Service].recordRequest(req)
	lease.forecast = d.forecast(now, d.services[s.Service]).leaseForecast(s, req)
	lease.aheadTokens = s.ownUnread + s.peerUnread
	s.addLease(now, lease)
	return lease
}

// dropGrantsLocked ends what this entry and a lost one counted for each other: the slots granted to
// the lost entry are free, its calls wait no longer, and the calls whose slots it granted count here.
func (d *Dispatcher) dropGrantsLocked(lost runworks.Incarnation) {
	if lost == "" {
		return // it would stand for the calls of this entry
	}
	for _, s := range d.services {
		for id, w := range s.waiters {
			if w.entry == lost {
				s.queue.Remove(id)
				s.drop(id, ErrEntryLost)
			}
		}
	}
	for _, s := range d.servers {
		for lease := range s.leases {
			if lease.entry == lost {
				lease.releaseSlotLocked()
			}
		}
	}
	d.countGrantsLocked(lost)
}

// CountGrants counts the running calls whose slots the given entry, the scheduler, granted at this
// entry from now on. The scheduler is lost, or will be told that it no longer counts them.
func (d *Dispatcher) CountGrants(scheduler runworks.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countGrantsLocked(scheduler)
}

func (d *Dispatcher) countGrantsLocked(scheduler runworks.Incarnation) {
	for _, s := range d.servers {
		for lease := range s.leases {
			if lease.scheduler == scheduler {
				s.countedElsewhere--
				s.ownUnread += lease.unreadTokens
				s.trackUnread(time.Now())
				lease.scheduler = ""
				if svc := d.services[lease.service]; svc != nil {
					svc.measured.recordHold(lease.routeRank)
				}
			}
		}
	}
}

// EndGrants frees the slots that were granted to another entry, which counts those calls itself.
func (d *Dispatcher) EndGrants(leases []*Lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, lease := range leases {
		if !lease.released {
			lease.releaseSlotLocked()
		}
	}
	for _, lease := range leases {
		d.pumpLocked(d.services[lease.service])
	}
}

// ForgetRunning forgets the running calls and unread prompts that an entry reported, until its next
// report: it was the scheduler and is lost, so that the entries that send its calls count them.
func (d *Dispatcher) ForgetRunning(from runworks.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.peers[from]
	if !known {
		return
	}
	load := old
	load.Running, load.UnreadPromptTokens = nil, nil
	d.peers[from] = load
	d.replacePeerLoadLocked(&old, &load, d.pumpLocked)
}

// Scheduling is what is known of a service that decides whether its slots are granted by one entry.
type Scheduling struct {
	// ReportsSlowness is set once a backend server reported how slow it is.
	ReportsSlowness bool
	// Limited is set while a backend server has a rate limit.
	Limited bool
	// Unusable lists the incarnations of the servers that this entry must not use, but others may:
	// it ejected them, or they asked it to send nothing.
	Unusable []string
}

// Scheduling returns what is known of a service.
func (d *Dispatcher) Scheduling(name string) Scheduling {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		return Scheduling{}
	}
	now := time.Now()
	out := Scheduling{ReportsSlowness: s.reportsSlowness, Limited: s.anyLimited(now)}
	for _, one := range s.servers {
		if !one.Draining && one.unusable(now, s) {
			out.Unusable = append(out.Unusable, one.incarnation)
		}
	}
	return out
}

// unusable reports whether this entry ejected the server, or was asked by it to send nothing.
func (s *server) unusable(now time.Time, svc *service) bool {
	return s.backoff.active(now) || s.failing(now, svc)
}

// grantsToOthers reports whether other entries asked for slots recently.
func (s *service) grantsToOthers(now time.Time) bool {
	return !s.grantedAt.IsZero() && now.Sub(s.grantedAt) <= grantingTime
}

// recordRequest records the bounds of ranks and pauses in a call.
func (s *service) recordRequest(req *Request) {
	s.recordRank(req.RouteRank)
	if gap := req.MaxGap; gap > 0 && (s.maxGap == 0 || gap < s.maxGap) {
		s.maxGap = gap
	}
}

// RecordRemoteFirstEvent records that the first event of a call for which a slot was granted to
// another entry arrived a time after the send, for a prompt of promptTokens tokens.
func (l *Lease) RecordRemoteFirstEvent(promptTokens int, after time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.server.lastReceived = time.Now()
	l.recordFirstEventLocked(promptTokens, after)
}

// RecordRemoteGaps records the gaps between events of a call for which a slot was granted to another
// entry: their number and sum, and how many of them were longer than callers allow.
func (l *Lease) RecordRemoteGaps(n int, sum time.Duration, late int) {
	if n <= 0 || late < 0 || late > n || sum <= 0 {
		return
	}
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.server.lastReceived = time.Now()
	l.server.recordGaps(l.server.lastReceived, n, sum, late)
	mean := sum.Seconds() / float64(n)
	for i := range min(n, maxRemoteGaps) {
		stalled := 0
		if i < late {
			stalled = 1
		}
		l.server.addGap(mean, stalled)
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
