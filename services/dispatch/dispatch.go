package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/enginemodel"
	"github.com/runworks/runworks/services/reservation"
	"github.com/runworks/runworks/services/returns"
)

// DefaultMaxWaiting is the default limit of calls that wait at an entry for one service.
const DefaultMaxWaiting = 2000

// Request describes a call that needs a backend server.
type Request struct {
	ID      runworks.RequestID
	Service string
	// Route is the name of the call's route.
	Route string
	// Rank is the customer's rank, or the route's if the customer has none; 0 is the highest.
	// RouteRank orders calls of the same rank.
	Rank      int
	RouteRank int
	Customer  string
	// PromptTokens and MaxTokens are the sizes that the caller states.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the answer's length; 0 if it gave none.
	ExpectedTokens int
	// Resumed reports whether the call continues an answer that broke off.
	Resumed bool
	// Retry reports whether a server has run the call and failed it.
	Retry bool
	// MaxGap is the longest gap between two events with which an answer is still on time; 0
	// is no limit.
	MaxGap time.Duration
	// Target is when the answer, or its first event, is due.
	Target time.Time
	// CallerTimeout is when a caller that has received no part of the answer is expected to
	// disconnect; zero is Deadline.
	CallerTimeout time.Time
	// Deadline is when the call is abandoned.
	Deadline time.Time
	// Exclude lists the incarnations of the servers to which the call was already sent.
	Exclude []string
	// Hall is the hall of the entry that sends the call; empty is that of this entry.
	Hall string
	// Version is the only software version of servers that may run the call; empty means all.
	Version string
	// AllowsHall reports whether the call may run in a hall; nil means in all.
	AllowsHall func(hall string) bool
}

// allows reports whether the call may be sent to a server.
func (a *Request) allows(one *server) bool {
	return !slices.Contains(a.Exclude, one.incarnation) && (a.Version == "" || a.Version == one.Version) && (a.AllowsHall == nil || a.AllowsHall(one.Hall))
}

// Dispatcher assigns the calls of one entry to backend servers. The exported fields must be
// set before use. Callbacks may be nil; they are called with a lock held and must not block.
type Dispatcher struct {
	// Hall is the hall of this entry.
	Hall string
	// Self identifies the incarnation of this entry to the other entries.
	Self runworks.Incarnation
	// MaxWaiting limits the calls that wait for one service; 0 is DefaultMaxWaiting.
	MaxWaiting int
	// OnEject is called with a server that is ejected, after how many consecutive failures,
	// and for how long.
	OnEject func(server runworks.Instance, failures int, wait time.Duration)
	// OnUnresponsive is called when a server stops sending anything to the calls that it has,
	// and when it sends again.
	OnUnresponsive func(server runworks.Instance, unresponsive bool)
	// OnPeerEject is called with the number of other entries that eject a server when there
	// are enough of them for it to be ejected here, and when there no longer are.
	OnPeerEject func(server runworks.Instance, entries int)
	// OnDraining is called with a server that reports that it is draining; from names the
	// entry that passed the report on and is empty if the server sent it. OnBackoff is called
	// with a server that asked this entry to send nothing for a time.
	OnDraining func(server runworks.Instance, from string)
	OnBackoff  func(server runworks.Instance, duration time.Duration)
	// OnRateLimit is called with a change of a server's rate limit.
	OnRateLimit func(server runworks.Instance, change LimitChange)
	// SendServerNotice is called with a server notice to be sent to the other entries.
	SendServerNotice func(notice runworks.ServerNotice)
	// ColdStart returns how the servers of a service behave after their start; nil means as later.
	ColdStart func(service string) ColdStart
	// OnRefuse is called with the rank of a call that is refused, why, and what the time was derived
	// from after which its caller should return. It is called only where this entry schedules the
	// service.
	OnRefuse func(rank int, cause RefusalCause, basis string)
	// ForecastByEngine places calls by the models of their engines. Without it that applies to the
	// services whose servers report their slowness.
	ForecastByEngine bool
	// CustomerUse returns the tokens that each customer consumed recently at all entries. It orders
	// waiting calls where this entry schedules a service; nil means that it is unknown.
	CustomerUse func(now time.Time) map[string]float64
	// RequestPermits is called with a request for permits to be sent to another entry, whose
	// reply goes to FinishTransfer. Without it no permits are requested.
	RequestPermits func(transfer *PermitTransfer)

	mu sync.Mutex
	// gate restricts the servers during a roll-out; nil if none is ordered.
	gate *Gate
	// servers is keyed by incarnation; newest holds the latest incarnation by server ID.
	servers  map[string]*server
	newest   map[string]*server
	services map[string]*service
	peers    map[runworks.Incarnation]runworks.EntryLoad
	// unreachable holds since when entries that timed out, and do not count as gone yet, have
	// been unreachable.
	unreachable map[runworks.Incarnation]time.Time
	// use caches CustomerUse.
	use recentUse
	// listed is set once a list of servers was received.
	listed bool
	// pendingNotices are notices of servers that are not known yet.
	pendingNotices map[string]earlyNotice
	// earlyEstimates are estimates of engines that are not known yet.
	earlyEstimates map[string]earlyEstimate
	// expiredReports are reports of servers whose records expired recently.
	expiredReports map[string]expiredReport
	// queuePasses counts the passes over queues with waiting calls.
	queuePasses int64
}

// service holds the backend servers of a service and the calls that wait for them.
type service struct {
	name string
	// servers are the servers that may get calls now, and all those of the service.
	servers, all []*server
	queue        reservation.Queue
	waiters      map[runworks.RequestID]*waiter
	// peers is the number of other entries that are reachable.
	peers int
	// peerPumpAt is when the load of another entry last started a pass over the queue, and peerPumpDue is
	// set while the next such pass waits for its time.
	peerPumpAt  time.Time
	peerPumpDue bool
	// arrivals counts the calls that arrived.
	arrivals int
	// highestRank and lowestRank are the bounds of the route ranks seen so far; 0 is the
	// highest possible rank.
	highestRank, lowestRank int
	anyRank                 bool
	// rankStats is keyed by route rank.
	rankStats map[int]*rankStats
	// startShares holds the fraction of all starts that each tier gets while it has calls
	// waiting.
	startShares map[int]float64
	// duration is the mean time in seconds for which a call holds its slot; 0 is unknown.
	duration average
	// served counts the calls in duration.
	served int
	// responseTime is the mean time in seconds from a call's start to the head of its answer;
	// 0 is unknown.
	responseTime average
	// prefill estimates the time to the first event at the fastest server.
	prefill prefillModel
	// maxGap is the lowest MaxGap of all calls so far; 0 is unknown.
	maxGap time.Duration
	// tokensPerEvent is the mean number of expected tokens that one event accounts for; 0 is
	// unknown.
	tokensPerEvent average
	permitRequests permitRequests
	// fleet is what the models of the servers have in common.
	fleet enginemodel.Fleet
	// grantedAt is when another entry last asked for a slot; zero if none has.
	grantedAt time.Time
	// reportsSlowness is set once a server reported how slow it is.
	reportsSlowness bool
	// measured holds the measured rates of the service.
	measured capacity
	// use returns what customers consumed recently.
	use func(now time.Time) map[string]float64
	// sharedAt is when AcquireShared was last called for the service.
	sharedAt time.Time
	// owedStart is set while a call is placed that starts by the minimum share of its rank.
	owedStart bool
	// returns holds the times at which refused callers were told to return.
	returns returns.Book
}

// Acquire waits until a backend server is free for the call. It returns ErrNoServer if no
// server is known, ErrShortage if the queue is full or the call is not likely to start in
// time, ErrTimeLimit if it has not started by the last moment that CallerTimeout and Deadline
// allow, and the cause of ctx. ErrShortage is wrapped in a *Refusal where this entry schedules the
// service for others.
func (d *Dispatcher) Acquire(ctx context.Context, req *Request) (*Lease, error) {
	return d.acquire(ctx, req, "")
}

// AcquireShared is Acquire for a call of a service that one entry schedules as a rule. Ranks keep their
// minimum shares also while this entry schedules it for no other.
func (d *Dispatcher) AcquireShared(ctx context.Context, req *Request) (*Lease, error) {
	d.mu.Lock()
	if s := d.services[req.Service]; s != nil {
		s.sharedAt = time.Now()
	}
	d.mu.Unlock()
	return d.acquire(ctx, req, "")
}

// acquire is Acquire for a call that the given entry sends; empty is this entry.
func (d *Dispatcher) acquire(ctx context.Context, req *Request, entry runworks.Incarnation) (*Lease, error) {
	w, lease, err := d.admit(req, entry)
	if lease != nil || err != nil {
		return lease, err
	}
	target := time.NewTimer(time.Until(req.Target))
	defer target.Stop()
	lastStart := time.NewTimer(time.Until(req.lastStart()))
	defer lastStart.Stop()
	for {
		select {
		case lease := <-w.lease:
			return w.result(lease)
		case <-target.C:
			if err := d.demote(w); err != nil {
				return nil, err
			}
		case <-lastStart.C:
			return d.cancel(w, runworks.ErrTimeLimit)
		case <-ctx.Done():
			return d.cancel(w, context.Cause(ctx))
		}
	}
}

// admit assigns a free slot at once or puts the call in the queue.
func (d *Dispatcher) admit(req *Request, entry runworks.Incarnation) (*waiter, *Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[req.Service]
	now := time.Now()
	d.applyGateLocked(s)
	if s == nil || !s.hasServerFor(now, req) {
		return nil, nil, runworks.ErrNoServer
	}
	if entry != "" {
		if s.anyLimited(now) {
			return nil, nil, ErrNotScheduled
		}
		s.grantedAt = now
	}
	s.arrivals++
	s.recordArrival(now, req)
	d.countArrivalLocked(req)
	w := &waiter{req: req, entry: entry, lease: make(chan *Lease, 1), arrival: s.arrivals}
	w.feasible = s.anyMeetsTarget(now, d.forecast(now, s), req, s.canWait(now, req))
	refusal := s.checkAdmission(now, w)
	if refusal != nil && !d.startsAtOnce(now, s, w) {
		return nil, nil, d.refuse(now, s, w, CauseArrival, refusal)
	}
	if !d.enqueueLocked(s, w) {
		return nil, nil, d.refuse(now, s, w, CauseQueueFull, runworks.ErrShortage)
	}
	d.pumpLocked(s)
	select {
	case lease := <-w.lease:
		lease, err := w.result(lease)
		return nil, lease, err
	default:
	}
	if refusal != nil { // a call that waits took the free server
		s.queue.Remove(req.ID)
		delete(s.waiters, req.ID)
		return nil, nil, d.refuse(now, s, w, CauseArrival, refusal)
	}
	return w, nil, nil
}

// startsAtOnce reports whether a free server suits a call for which there is no capacity behind the
// calls that wait: these may need other servers, as for long prompts. It is false where this entry
// does not schedule the service.
func (d *Dispatcher) startsAtOnce(now time.Time, s *service, w *waiter) bool {
	return s.schedules(now) && d.choose(now, s, d.forecast(now, s), d.serversInTurn(now, s, s.available(now)), w) != nil
}
