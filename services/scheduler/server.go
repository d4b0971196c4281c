package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
)

const (
	// cancelMemory is for how long a cancellation that arrived before its request is kept. Requests
	// are handled concurrently, so it may overtake the request, by milliseconds.
	cancelMemory = time.Second
	// expiryMargin is how long after its call's deadline a grant that is not reported as ended expires:
	// several times what the report takes. Grants are checked each sweepInterval.
	expiryMargin  = 2 * time.Second
	sweepInterval = time.Second
	// maxCancellations bounds those of one session.
	maxCancellations = 1000
	// ignoredLogInterval is the least time between two log lines about ignored messages.
	ignoredLogInterval = time.Second
	// minWait is the time in the dispatcher from which a request counts as having waited.
	minWait = time.Millisecond
)

// Server grants slots to the calls of other entries. Set the exported fields before use.
type Server struct {
	Dispatcher *dispatch.Dispatcher
	// Ready reports whether this entry has read its state; until then it grants nothing.
	Ready   func() bool
	Logger  hclog.Logger
	Metrics *metrics.Set

	// mu is never held while the dispatcher is called.
	mu       sync.Mutex
	sessions map[*peers.Session]*session
	// current holds the newest session of each entry.
	current map[runworks.Incarnation]*session
	// lastGrant is the number of the last grant.
	lastGrant int64
	// sweptAt is when expired grants were last ended.
	sweptAt time.Time
	// ignored counts the messages that were ignored since the last log line about them.
	ignored       int
	ignoredLogged time.Time
}

// session is what one connection of an entry holds.
type session struct {
	*peers.Session
	// over is set once the connection is closed, or the entry opened another one: nothing can be
	// granted any longer.
	over bool
	// lost is set from the loss of the entry until its next request.
	lost bool
	// waiting holds the requests that wait, with the functions that cancel them.
	waiting map[runworks.RequestID]context.CancelFunc
	// canceled holds the requests that were canceled before they arrived, and when.
	canceled map[runworks.RequestID]time.Time
	grants   map[int64]grant
}

// grant is a granted slot.
type grant struct {
	lease        *dispatch.Lease
	promptTokens int
	// expires is when the call is over at the latest.
	expires time.Time
}

// Opened implements peers.SlotServer. What an older session of the entry holds has ended: the entry
// counts its running calls itself since that was closed.
func (v *Server) Opened(s *peers.Session) {
	v.mu.Lock()
	if v.sessions == nil {
		v.sessions, v.current = make(map[*peers.Session]*session), make(map[runworks.Incarnation]*session)
	}
	var ended []*dispatch.Lease
	if old := v.current[s.From.Incarnation]; old != nil {
		old.over = true
		ended = old.end()
	}
	one := &session{
		Session: s, waiting: make(map[runworks.RequestID]context.CancelFunc), canceled: make(map[runworks.RequestID]time.Time),
		grants: make(map[int64]grant),
	}
	v.sessions[s], v.current[s.From.Incarnation] = one, one
	v.mu.Unlock()
	v.Dispatcher.EndGrants(ended)
}

// Closed implements peers.SlotServer. The entry's running calls stay counted until it reports them,
// with its next handshake, or is lost.
func (v *Server) Closed(s *peers.Session) {
	v.mu.Lock()
	one := v.sessions[s]
	delete(v.sessions, s)
	var ended []*dispatch.Lease
	if one != nil {
		one.over = true
		one.cancelAll()
		if one.lost {
			ended = v.dropLocked(one)
		}
	}
	v.mu.Unlock()
	v.Dispatcher.EndGrants(ended)
}

// Lost ends what an entry holds that timed out or restarted. The dispatcher must have been told. The
// connection of an entry that held slots is closed: if the entry was only slow, it would go on as if its
// calls counted here.
func (v *Server) Lost(id runworks.Incarnation) {
	v.mu.Lock()
	one := v.current[id]
	var ended []*dispatch.Lease
	switch {
	case one == nil:
	case one.over:
		ended = v.dropLocked(one)
	default:
		// The entry may be heard again on the same connection.
		one.lost = true
		ended = one.end()
	}
	v.mu.Unlock()
	v.Dispatcher.EndGrants(ended)
	if len(ended) > 0 {
		one.Close()
	}
}

// dropLocked ends and removes an entry's current session.
func (v *Server) dropLocked(one *session) []*dispatch.Lease {
	if v.current[one.From.Incarnation] == one {
		delete(v.current, one.From.Incarnation)
	}
	return one.end()
}

// end cancels the waiting requests and returns the granted slots, to be freed.
func (s *session) end() []*dispatch.Lease {
	s.cancelAll()
	out := make([]*dispatch.Lease, 0, len(s.grants))
	for _, one := range s.grants {
		out = append(out, one.lease)
	}
	clear(s.grants)
	return out
}

func (s *session) cancelAll() {
	for _, cancel := range s.waiting {
		cancel()
	}
}

// Held returns the number of slots that are granted to other entries.
func (v *Server) Held() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, one := range v.current {
		n += len(one.grants)
	}
	return n
}

// Acquire implements peers.SlotServer. It waits for a slot as long as a call of this entry would.
func (v *Server) Acquire(ctx context.Context, s *peers.Session, r *peers.AcquireRequest) *peers.AcquireReply {
	now := time.Now()
	req, ok := decodeRequest(now, r, s.From.Incarnation)
	if !ok {
		v.ignore(s, "implausible request")
		return refuse(peers.RefusedInvalid, "implausible request")
	}
	if !v.Ready() {
		return refuse(peers.RefusedNotScheduler, "state not read yet")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.endExpired(now)
	one, refusal := v.register(now, s, r.ID, cancel)
	if refusal != nil {
		return refusal
	}
	lease, err := v.Dispatcher.AcquireFor(ctx, req, s.From.Incarnation)
	number := v.finish(ctx, one, r, lease)
	switch {
	case err != nil:
		return encodeRefusal(err)
	case number == 0:
		lease.Release(dispatch.Abandoned)
		return refuse(peers.RefusedInvalid, "the request was canceled")
	}
	reply := &peers.AcquireReply{Server: lease.Instance.IncarnationID(), Grant: number}
	if waited := time.Since(now); waited >= minWait {
		reply.WaitedMs = waited.Milliseconds()
	}
	return reply
}

func refuse(reason, cause string) *peers.AcquireReply {
	return &peers.AcquireReply{Refused: reason, Cause: cause}
}

// endExpired ends grants whose calls are over by their deadlines, once a second. The end of a call may
// not have been reported: a message is lost if the connection breaks while it is sent.
func (v *Server) endExpired(now time.Time) {
	var expired []*dispatch.Lease
	v.mu.Lock()
	if now.Sub(v.sweptAt) >= sweepInterval {
		v.sweptAt = now
		for _, one := range v.sessions {
			for number, g := range one.grants {
				if now.After(g.expires) {
					delete(one.grants, number)
					expired = append(expired, g.lease)
				}
			}
		}
	}
	v.mu.Unlock()
	for _, lease := range expired {
		lease.Release(dispatch.Abandoned)
	}
}

// register adds a waiting request to its session. It returns a refusal if nothing can be granted to it.
func (v *Server) register(now time.Time, s *peers.Session, id runworks.RequestID, cancel context.CancelFunc) (one *session, refusal *peers.AcquireReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	one = v.sessions[s]
	if one == nil || one.over {
		return nil, refuse(peers.RefusedNotScheduler, "the connection is closed")
	}
	one.lost = false
	if at, ok := one.canceled[id]; ok {
		delete(one.canceled, id)
		if now.Sub(at) <= cancelMemory {
			return nil, refuse(peers.RefusedInvalid, "the request was canceled")
		}
	}
	if one.waiting[id] != nil {
		return nil, refuse(peers.RefusedInvalid, "a request with this id waits")
	}
	one.waiting[id] = cancel
	return one, nil
}

// finish removes a waiting request and records what was granted to it. It returns the number of the
// grant, or 0 if the slot must be freed: the request was canceled, as it also is with the end of its
// session, and nobody would report the end of the call.
func (v *Server) finish(ctx context.Context, one *session, r *peers.AcquireRequest, lease *dispatch.Lease) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(one.waiting, r.ID)
	if lease == nil || ctx.Err() != nil {
		return 0
	}
	v.lastGrant++
	expires := time.Now().Add(time.Duration(r.DeadlineMs)*time.Millisecond + expiryMargin)
	one.grants[v.lastGrant] = grant{lease: lease, promptTokens: r.PromptTokens, expires: expires}
	return v.lastGrant
}

// Undecodable implements peers.SlotServer.
func (v *Server) Undecodable(s *peers.Session, _ error) { v.ignore(s, "undecodable message") }

// ignore counts and logs a message that is ignored.
func (v *Server) ignore(s *peers.Session, cause string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ignoreLocked(s, cause)
}

func (v *Server) ignoreLocked(s *peers.Session, cause string) {
	metrics.Count(v.Metrics.ScheduleMessagesIgnored, metrics.Cause(cause))
	v.ignored++
	now := time.Now()
	if now.Sub(v.ignoredLogged) < ignoredLogInterval {
		return
	}
	v.Logger.Warn("scheduling messages ignored", "name", s.From.Name, "cause", cause, "count", v.ignored)
	v.ignored, v.ignoredLogged = 0, now
}
