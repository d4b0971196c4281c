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
	// recheck is how often waiting calls are looked at without an event:
	// suspensions end by themselves.
	recheck = 50 * time.Millisecond
	// maxPassed bounds the calls that are passed over in one look because no free
	// server suits them.
	maxPassed = 32
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
	RequestPermits func(loan *Loan)

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
	rankStats map[int]*rankRecord
	// startShares are the parts of the starts that the tiers get while their calls wait.
	startShares map[int]float64
	// duration is how long a call has its slot on average, in seconds; 0 is not known.
	duration average
	// served is how many answers went into it.
	served int
	// responseTime is the mean time from a call's start to the head of its answer, in
	// seconds; 0 is not known.
	responseTime average
	// readings tell how long the fastest server takes to the first event.
	readings readings
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
func (d *Dispatcher) Acquire(ctx context.Context, ask *Request) (*Lease, error) {
	w, lease, err := d.enter(ask)
	if lease != nil || err != nil {
		return lease, err
	}
	target := time.NewTimer(time.Until(ask.Target))
	defer target.Stop()
	patience := time.NewTimer(time.Until(ask.lastStart()))
	defer patience.Stop()
	for {
		select {
		case lease := <-w.lease:
			return w.granted(lease)
		case <-target.C:
			if err := d.demote(w); err != nil {
				return nil, err
			}
		case <-patience.C:
			return d.leave(w, runworks.ErrTimeLimit)
		case <-ctx.Done():
			return d.leave(w, context.Cause(ctx))
		}
	}
}

// enter takes a free slot at once, or puts the call among those that wait.
func (d *Dispatcher) enter(ask *Request) (*waiter, *Lease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[ask.Service]
	now := time.Now()
	if s == nil || !s.any(now, ask) {
		return nil, nil, runworks.ErrNoServer
	}
	s.arrivals++
	w := &waiter{ask: ask, lease: make(chan *Lease, 1), number: s.arrivals}
	w.fits = s.fitsAny(now, s.outlook(), ask, s.canWait(now, ask))
	if err := s.judge(now, w); err != nil {
		return nil, nil, err
	}
	if !d.waitLocked(s, w) {
		return nil, nil, runworks.ErrShortage
	}
	d.pumpLocked(s)
	select {
	case lease := <-w.lease:
		lease, err := w.granted(lease)
		return nil, lease, err
	default:
		return w, nil, nil
	}
}

// Run looks at the waiting calls from time to time, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	again := time.NewTicker(recheck)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
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
	var passed []*waiter
	for s.queue.Len() > 0 && len(passed) < maxPassed {
		open := d.turns(now, s, s.open(now))
		if len(open) == 0 {
			break
		}
		t := s.queue.Pop(now, func(rank int) bool { return s.anyFor(open, rank) })
		if t == nil {
			break
		}
		w := s.waiters[t.ID]
		delete(s.waiters, t.ID)
		to := d.choose(now, s, open, w)
		if to == nil {
			passed = append(passed, w)
			continue
		}
		to.reading += w.ask.PromptTokens
		s.noteStart(t.Tier)
		lease := &Lease{Instance: to.Instance, dispatcher: d, server: to, service: s.name, routeRank: routeRank(t.Tier), began: now, reading: w.ask.PromptTokens}
		to.take(now, lease)
		w.lease <- lease
	}
	for _, w := range passed {
		if !d.waitLocked(s, w) {
			w.giveUp(runworks.ErrShortage)
		}
	}
	d.borrowLocked(now, s)
}

// any says whether a backend server is known that the call may go to. One that a server
// failed does not wait for what the limit of another gives, or its rest leaves: it has an
// answer, and the slot is of more use to a call that has none. A stream that goes on does wait.
func (s *service) any(now time.Time, ask *Request) bool {
	for _, one := range s.servers {
		if !one.Draining && !slices.Contains(ask.Exclude, one.life) && (!ask.Retry || ask.Resumed || !one.withheld(now)) {
			return true
		}
	}
	return false
}
