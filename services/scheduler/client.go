package scheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
)

const (
	// avoidTime is for how long an entry is not asked after a failure.
	avoidTime = time.Second
	// viewAge is the age up to which the choice of the schedulers is used again. It bounds its cost,
	// which grows with the number of entries, and is well below the heartbeat interval.
	viewAge = 20 * time.Millisecond
	// watchInterval is how often the schedulers of waiting and running calls are checked for silence.
	watchInterval = 25 * time.Millisecond
	// stallTime is how late a check may be. A later one says that this process got no processor time,
	// so that heartbeats wait to be read and no entry is known to be silent.
	stallTime = 100 * time.Millisecond
	// forgetTime is how long after its loss the calls that a scheduler reported are forgotten. By
	// then the other entries have reported those that they count themselves. Otherwise each call would
	// count twice until the scheduler times out, and no slot would seem free.
	forgetTime = 2 * peers.DefaultInterval
)

// fallback is an error that sends a call to the local dispatcher: the cause, as in metrics and in the
// log.
type fallback string

// Error implements error.
func (f fallback) Error() string { return "no scheduler: " + string(f) }

// The causes for which a call uses the local dispatcher.
const (
	causeOwn          fallback = "own"
	causeAlone        fallback = "alone"
	causeHalls        fallback = "halls"
	causeLimit        fallback = "limit"
	causeDisconnected fallback = "disconnected"
	causeSilent       fallback = "silent"
	causeNotScheduler fallback = "not_scheduler"
	causeNoServer     fallback = "no_server"
	causeReply        fallback = "reply"
	causeInvalid      fallback = "invalid"
	causeServer       fallback = "server"
)

// Transport carries messages to other entries, like peers.Exchange.
type Transport interface {
	PeerStates() []peers.PeerState
	LastSeen(id runworks.Incarnation) time.Time
	Acquire(ctx context.Context, to runworks.Incarnation, r *peers.AcquireRequest) (*peers.AcquireReply, error)
	SendPlacements(ctx context.Context, to runworks.Incarnation, list []peers.Placement) error
}

// Client acquires slots for the calls of this entry: from the entry that schedules the service, and
// otherwise from its own dispatcher. Set the exported fields before use.
type Client struct {
	Self       peers.Member
	Dispatcher *dispatch.Dispatcher
	Transport  Transport
	// Scheduled reports whether one entry grants the slots of a service.
	Scheduled func(service string) bool
	// Stopping reports whether the planned stop of this entry began; it then schedules nothing.
	Stopping func() bool
	Logger   hclog.Logger
	Metrics  *metrics.Set

	// mu may be locked while the dispatcher's lock is held, and never the other way round.
	mu sync.Mutex
	// members are the candidates as of viewedAt. They were derived from others, the scope, and
	// silence, the time without a heartbeat after which one of those is no scheduler.
	members  []peers.Member
	others   []peers.PeerState
	silence  time.Duration
	viewedAt time.Time
	// chosen holds the choice by service, as of viewedAt, and current the last one that was logged.
	chosen  map[string]peers.Member
	current map[string]peers.Member
	avoided map[avoided]time.Time
	remotes map[runworks.Incarnation]*remote
}

// Acquire waits for a slot like dispatch.Dispatcher.Acquire. A failure of the scheduler is never its
// error: the call then continues at the local dispatcher.
func (c *Client) Acquire(ctx context.Context, req *dispatch.Request) (*dispatch.Lease, error) {
	if !c.Scheduled(req.Service) {
		return c.Dispatcher.Acquire(ctx, req)
	}
	if req.AllowsHall != nil {
		return c.acquireLocally(ctx, req, causeHalls)
	}
	known := c.Dispatcher.Scheduling(req.Service)
	if known.Limited {
		return c.acquireLocally(ctx, req, causeLimit)
	}
	r, cause := c.schedulerOf(time.Now(), req.Service)
	if r == nil {
		return c.acquireLocally(ctx, req, cause)
	}
	lease, err := c.request(ctx, r, req, known.Unusable)
	if errors.As(err, &cause) {
		return c.acquireLocally(ctx, req, cause)
	}
	return lease, err
}

// acquireLocally acquires a slot from the local dispatcher.
func (c *Client) acquireLocally(ctx context.Context, req *dispatch.Request, cause fallback) (*dispatch.Lease, error) {
	metrics.Count(c.Metrics.Scheduled, metrics.Result("local"), metrics.Cause(string(cause)))
	return c.Dispatcher.AcquireShared(ctx, req)
}

// answer is the reply to a request for a slot.
type answer struct {
	reply *peers.AcquireReply
	err   error
}

// wait is a request that waits for its reply.
type wait struct {
	replied chan answer
	// left is set once nobody waits for the reply any longer; Client.mu guards it.
	left bool
}

// request acquires a slot from the scheduler, at none of the unusable servers. A failure of the
// scheduler is a fallback.
func (c *Client) request(ctx context.Context, r *remote, req *dispatch.Request, unusable []string) (*dispatch.Lease, error) {
	start := time.Now()
	w := &wait{replied: make(chan answer, 1)}
	message := encodeRequest(start, req, c.Self.Hall)
	if message.Exclude = slices.Concat(req.Exclude, unusable); len(message.Exclude) > maxExcluded {
		message.Exclude = message.Exclude[:maxExcluded]
	}
	c.addWait(r, 1)
	defer c.addWait(r, -1)
	go func() {
		// It ends with the reply or the connection. A write blocks while the scheduler does not read.
		reply, err := c.Transport.Acquire(context.Background(), r.id, message)
		c.deliver(r, w, answer{reply, err})
	}()
	select {
	case a := <-w.replied:
		return c.conclude(r, req, a, start)
	case <-r.lost:
		if a, ok := c.leave(r, w, req.ID); ok {
			c.discard(r, a)
		}
		return nil, r.cause
	case <-ctx.Done():
		if a, ok := c.leave(r, w, req.ID); ok {
			c.discard(r, a)
		}
		return nil, context.Cause(ctx)
	}
}

// deliver passes a reply to the call, or frees its slot if the call no longer waits.
func (c *Client) deliver(r *remote, w *wait, a answer) {
	c.mu.Lock()
	left := w.left
	if !left {
		w.replied <- a
	}
	c.mu.Unlock()
	if left {
		c.discard(r, a)
	}
}

// leave ends the wait for a reply and tells the scheduler. It returns the reply if there is one.
func (c *Client) leave(r *remote, w *wait, id runworks.RequestID) (answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.left = true
	select {
	case a := <-w.replied:
		return a, true
	default:
	}
	c.reportLocked(r, peers.Placement{Canceled: id})
	return answer{}, false
}

// discard frees the slot of a reply that is not used.
func (c *Client) discard(r *remote, a answer) {
	if a.err != nil || a.reply.Grant == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(r, peers.Placement{Grant: a.reply.Grant, Ended: resultNames[dispatch.Abandoned]})
}

// conclude adopts the slot of a reply, or returns its refusal or a fallback.
func (c *Client) conclude(r *remote, req *dispatch.Request, a answer, start time.Time) (*dispatch.Lease, error) {
	if a.err != nil {
		return nil, c.fail(r, a.err)
	}
	reply := a.reply
	if reply.WaitedMs == 0 {
		metrics.Observe(c.Metrics.ScheduleSeconds, time.Since(start).Seconds())
	}
	if reply.Refused == "" {
		if reply.Server == "" || reply.Grant <= 0 {
			return nil, c.avoid(r, "", causeReply)
		}
		lease := c.adopt(r, req, reply)
		if lease == nil {
			c.discard(r, a)
			return nil, causeServer
		}
		metrics.Count(c.Metrics.Scheduled, metrics.Result("granted"))
		return lease, nil
	}
	if err := decodeRefusal(reply); err != nil {
		metrics.Count(c.Metrics.Scheduled, metrics.Result("refused"))
		return nil, err
	}
	switch reply.Refused {
	case peers.RefusedNoServer:
		return nil, causeNoServer
	case peers.RefusedInvalid:
		return nil, causeInvalid
	case peers.RefusedNotScheduler:
		return nil, c.avoid(r, req.Service, causeNotScheduler)
	}
	return nil, c.avoid(r, "", causeReply)
}

// fail records that a request got no reply, and returns the cause.
func (c *Client) fail(r *remote, err error) fallback {
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		return c.avoid(r, "", causeReply) // it could not decode the request, or does not know it
	}
	if isDecodeError(err) {
		return c.avoid(r, "", causeReply)
	}
	c.lose(r.id, causeDisconnected, true)
	return causeDisconnected
}

// adopt takes the granted slot; nil if it must not be used here.
func (c *Client) adopt(r *remote, req *dispatch.Request, reply *peers.AcquireReply) *dispatch.Lease {
	h := &heldGrant{client: c, remote: r, number: reply.Grant}
	lease := c.Dispatcher.Adopt(reply.Server, req, r.id, h)
	if lease == nil {
		return nil
	}
	c.mu.Lock()
	gone := r.gone
	if gone {
		h.detached = true
		c.reportLocked(r, h.abandoned())
	} else {
		r.held[reply.Grant] = h
	}
	c.mu.Unlock()
	if gone { // the scheduler was lost since its reply
		c.Dispatcher.CountGrants(r.id)
	}
	return lease
}
