package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/reservation"
)

const (
	// DefaultMaxWaiting bounds the calls that wait at an entry for one service.
	DefaultMaxWaiting = 2000
	// recheckInterval is how often waiting calls are looked at without an event:
	// suspensions end by themselves.
	recheckInterval = 50 * time.Millisecond
	// maxSkipped bounds the calls that are passed over in one look because no free
	// server suits them.
	maxSkipped = 32
)

// Request is a call that wants a backend server.
type Request struct {
	ID      runworks.RequestID
	Service string
	// Rank is the customer's, or else the route's; RouteRank decides between calls
	// of the same rank.
	Rank      int
	RouteRank int
	Customer  string
	// PromptTokens and MaxTokens are the sizes that the caller states.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's guess of the answer's length; 0 if none.
	ExpectedTokens int
	// Resumed says that the call goes on with an answer that broke off.
	Resumed bool
	// Retry says that it ran at a server, which failed it.
	Retry bool
	// MaxGap is the longest pause between events that keeps an answer in time; 0 if none.
	MaxGap time.Duration
	// Target is when the answer, or the first event, is expected.
	Target time.Time
	// CallerTimeout is when a caller leaves who saw nothing of the answer; zero is the
	// deadline.
	CallerTimeout time.Time
	// Deadline is when the call is given up.
	Deadline time.Time
	// Exclude are the lives of the servers that had the call already.
	Exclude []string
}

// Dispatcher places the calls of one entry; set the exported fields before use.
type Dispatcher struct {
	// Hall is where the entry stands.
	Hall string
	// Self names the entry's life to the other entries.
	Self runworks.Incarnation
	// MaxWaiting is DefaultMaxWaiting if zero.
	MaxWaiting int
	// OnEject is told of a server that is left out, after how many failures in a
	// row and for how long; nil tells nobody. It must not wait.
	OnEject func(server runworks.Instance, failures int, wait time.Duration)
	// OnUnresponsive is told of a server that gives nothing to the calls it has, or that it
	// was heard again; nil tells nobody. It must not wait.
	OnUnresponsive func(server runworks.Instance, silent bool)
	// OnPeerEject is told how many other entries leave a server out, when the first does
	// and when none does any more; nil tells nobody. It must not wait.
	OnPeerEject func(server runworks.Instance, entries int)
	// OnDraining is told of a server that says that it leaves, from names the entry that told of
	// it and is empty for the server itself; OnRest of one that wants nothing from this entry
	// for a time. Nil tells nobody. They must not wait.
	OnDraining func(server runworks.Instance, from string)
	OnBackoff  func(server runworks.Instance, lasts time.Duration)
	// OnRateLimit is told what changed of a server's limit; nil tells nobody. It must not wait.
	OnRateLimit func(server runworks.Instance, change LimitChange)
	// SendServerNotice is told what the other entries are to be told of a server's words; nil tells
	// nobody. It must not wait.
	SendServerNotice func(notice runworks.ServerNotice)
	// RequestPermits is told what another entry is to be asked for, whose answer goes to Borrowed; nil
	// asks nobody. It must not wait.
	RequestPermits func(loan *PermitTransfer)

	mu sync.Mutex
	// servers holds the servers by their lives, and newest by their ids.
	servers  map[string]*server
	newest   map[string]*server
	services map[string]*service
	peers    map[runworks.Incarnation]runworks.EntryLoad
	// unreachable are since when other entries are silent that do not count as gone yet.
	unreachable map[runworks.Incarnation]time.Time
	// pendingNotices are words of servers that are not known yet.
	pendingNotices map[string]earlyWord
	// expiredReports are words of servers whose records went of late.
	expiredReports map[string]lapsedWords
}

// service holds the backend servers of a service and the calls that wait.
type service struct {
	name    string
	servers []*server
	queue   reservation.Queue
	waiters map[runworks.RequestID]*waiter
	// peers is how many other peers are heard.
	peers int
	// arrivals is how many calls arrivals.
	arrivals int
	// highestRank and lowestRank are the bounds of the routes' ranks that were seen: 0 is
	// the highestRank rank there is.
	highestRank, lowestRank int
	anyRank                 bool
	// rankStats tell of the routes' ranks.
	rankStats map[int]*rankStats
	// startShares are the parts of the starts that the tiers get while their calls wait.
	startShares map[int]float64
	// duration is how long a call has its slot on average, in seconds; 0 is not known.
	duration average
	// served is how many answers went into it.
	served int
	// responseTime is the mean time from a call's start to the head of its answer, in
	// seconds; 0 is not known.
	responseTime average
	// prefill tell how long the fastest server takes to the first event.
	prefill prefillModel
	// maxGap is the shortest of the longest pauses that callers allow; 0 is not known.
	maxGap time.Duration
	// tokensPerEvent is how many of the tokens that callers expect an event stands for,
	// on average; 0 is not known.
	tokensPerEvent average
	permitRequests borrowing
}

// Acquire waits until a backend server is free for the call. The errors are
// ErrNoServer if none is known, ErrShortage if too many wait, ErrTimeLimit at
// the call's deadline, and the cause of ctx.
func (d *Dispatcher) Acquire(ctx context.Context, req *Request) (*Lease, error) {
	w, lease, err := d.admit(req)
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

// admit takes a free slot at once, or puts the call among those that wait.
func (d *Dispatcher) admit(req *Request) (*waiter, *Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[req.Service]
	now := time.Now()
	if s == nil || !s.hasServerFor(now, req) {
		return nil, nil, runworks.ErrNoServer
	}
	s.arrivals++
	w := &waiter{req: req, lease: make(chan *Lease, 1), arrival: s.arrivals}
	w.feasible = s.anyMeetsTarget(now, s.forecast(), req, s.canWait(now, req))
	if err := s.checkAdmission(now, w); err != nil {
		return nil, nil, err
	}
	if !d.enqueueLocked(s, w) {
		return nil, nil, runworks.ErrShortage
	}
	d.pumpLocked(s)
	select {
	case lease := <-w.lease:
		lease, err := w.result(lease)
		return nil, lease, err
	default:
		return w, nil, nil
	}
}

// Run looks at the waiting calls from time to time, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.pumpAll()
		}
	}
}

func (d *Dispatcher) pumpAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.watchSilenceLocked(now)
	d.tendLimitsLocked(now)
	d.tendLapsedLocked(now)
	for _, s := range d.services {
		s.prune(now)
		d.pumpLocked(s)
	}
}

// pumpLocked gives free slots to the calls that wait, the first by tier first. A
// call that no free server suits is passed over.
func (d *Dispatcher) pumpLocked(s *service) {
	if s == nil {
		return
	}
	now := time.Now()
	var skipped []*waiter
	for s.queue.Len() > 0 && len(skipped) < maxSkipped {
		available := d.serversInTurn(now, s, s.available(now))
		if len(available) == 0 {
			break
		}
		t := s.queue.Pop(now, func(rank int) bool { return s.anyFree(available, rank) })
		if t == nil {
			break
		}
		w := s.waiters[t.ID]
		delete(s.waiters, t.ID)
		target := d.choose(now, s, available, w)
		if target == nil {
			skipped = append(skipped, w)
			continue
		}
		target.reading += w.req.PromptTokens
		s.recordStart(t.Tier)
		lease := &Lease{Instance: target.Instance, dispatcher: d, server: target, service: s.name, routeRank: routeRank(t.Tier), began: now, unreadTokens: w.req.PromptTokens}
		target.take(now, lease)
		w.lease <- lease
	}
	for _, w := range skipped {
		if !d.enqueueLocked(s, w) {
			w.abandon(runworks.ErrShortage)
		}
	}
	d.borrowLocked(now, s)
}

// hasServerFor says whether a backend server is known that the call may go to. One that a server
// failed does not wait for what the limit of another gives, or its rest leaves: it has an
// answer, and the slot is of more use to a call that has none. A stream that goes on does wait.
func (s *service) hasServerFor(now time.Time, req *Request) bool {
	for _, one := range s.servers {
		if !one.Draining && !slices.Contains(req.Exclude, one.life) && (!req.Retry || req.Resumed || !one.withheld(now)) {
			return true
		}
	}
	return false
}
