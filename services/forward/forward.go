package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/quarantine"
	"github.com/runworks/runworks/services/quota"
	"github.com/runworks/runworks/services/route"
)

const (
	// defaultTimeout bounds a call whose caller and route name no time.
	defaultTimeout = 30 * time.Second
	// A caller leaves a stream after a silence of the longest of minPatience,
	// targetPatience times the target, and gapPatience times the longest pause that
	// it expects between events (the callers' side of the platform's pages).
	minPatience    = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
	// silentTargets is after how many times its target a call is taken from a server
	// that gave no answer, if another may have it.
	silentTargets = 2
	// silence is how long a server with a call gives nothing before its end, by the
	// caller or the clock, counts against it: many times the pause between events.
	silence = time.Second
	// maxSends bounds the backend servers that are asked for one call, those
	// that turned it away included: each takes a part of the retry budget.
	maxSends = 4
	// maxTries bounds those that can't be reached as well: more of them in a row say
	// that this host is cut off.
	maxTries = 12
)

var (
	// errSilent says that a server gave no answer in time.
	errSilent = errors.New("the backend server stays silent")
	// errStartedAgain says that a server's life is over, and what it had of a call lost.
	errStartedAgain = errors.New("the backend server started again")
)

// Forwarder owns the calls of one entry; set the exported fields before use.
type Forwarder struct {
	// Table is the routing in force; nil as long as none was read.
	Table      atomic.Pointer[route.Table]
	Dispatcher *dispatch.Dispatcher
	Quota      *quota.Quota
	Budgets    *Budgets
	// Quarantine knows the requests that end backend servers.
	Quarantine *quarantine.Quarantine
	Sender     runworks.Sender
	Logger     hclog.Logger
	Metrics    *metrics.Set
	Tracer     trace.Tracer
	// Ready is closed once the entry has read its state; nil if it has.
	Ready <-chan struct{}
	// Stopping is set near the end of a planned stop: streams, which may last, are
	// refused as not run.
	Stopping atomic.Bool

	active atomic.Int64
	// suspended is how long the host was suspended since the start.
	suspended atomic.Int64
	once      sync.Once
	// ending is over when calls without an answer are given up on.
	ending context.Context
	end    context.CancelFunc
}

// Active gives how many calls have no whole answer yet.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// call is one call on its way.
type call struct {
	f      *Forwarder
	in     *runworks.Inbound
	cancel context.CancelFunc

	table    *route.Table
	route    *runworks.Route
	customer *runworks.RoutedCustomer
	service  string
	deadline time.Time
	// suspended is how long the host had been suspended as the call came.
	suspended int64
	rank      int

	// print is what fingerprint gives, once it was asked for.
	print runworks.Fingerprint
	// tried are the lives of the servers that had the call, and ran counts those of them
	// that may have run it.
	tried []string
	ran   int
	// sending is the context of the last attempt and its answer.
	sending context.Context
	// sends counts those that a byte of the call was sent to.
	sends int
	// verdict is what the customer's limit let the call through on, with its draw.
	verdict quota.Decision
	// waited is the time spent in the queue.
	waited time.Duration
	// sent is when the call went to the last server.
	sent time.Time
	// firstByte is when the answer's head was there; zero if it never was.
	firstByte time.Time
	// events is how many events of a stream were passed on, and longestPause the longest
	// time between two of them at one server.
	events       int
	longestPause time.Duration
	// lastEvent is when the last event was passed on; zero before the first.
	lastEvent time.Time
}

// Serve gives the answer to a call; the error is a *runworks.Failure. The caller
// of Serve closes the answer's body. The end of ctx gives the call up.
func (f *Forwarder) Serve(ctx context.Context, in *runworks.Inbound) (*runworks.Reply, error) {
	c := &call{f: f, in: in, suspended: f.suspended.Load()}
	f.active.Add(1)
	ctx, span := f.Tracer.Start(ctx, tracing.SpanEntry)
	defer span.End()
	f.awaitOpened(ctx)
	if failure := c.admit(); failure != nil {
		c.finish(failure.Outcome, 0, failure.Err)
		return nil, failure
	}
	ctx, answered, cancel := f.untilGivenUp(ctx)
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, c.deadline, runworks.ErrTimeLimit)
	c.cancel = func() {
		cancelDeadline()
		cancel()
	}
	reply, failure := c.serve(ctx)
	answered()
	if failure != nil {
		c.giveBack(failure)
		c.finish(failure.Outcome, 0, failure.Err)
		return nil, failure
	}
	return reply, nil
}

// admit finds route, customer and service, and draws on the customer's limit.
func (c *call) admit() *runworks.Failure {
	now := time.Now()
	if c.table = c.f.Table.Load(); c.table == nil {
		return runworks.NotRun(runworks.ErrNotReady, retryNotReady)
	}
	var err error
	if c.route, err = c.table.Route(c.in.Host, c.in.Path); err != nil {
		return runworks.NotRun(err, 0)
	}
	if c.f.Stopping.Load() && c.route.Kind == runworks.CallStream {
		return runworks.NotRun(runworks.ErrStopping, retryTurnedAway)
	}
	if c.customer, err = c.table.Customer(c.route, c.in.APIKey); err != nil {
		return runworks.NotRun(err, 0)
	}
	c.rank = c.route.Rank
	if wait := c.held(now); wait > 0 {
		metrics.Count(c.f.Metrics.Quarantined, metrics.Rank(c.rank))
		return runworks.NotRun(runworks.ErrQuarantined, wait)
	}
	if c.customer != nil {
		if c.customer.Rank != nil {
			c.rank = *c.customer.Rank
		}
		if failure := c.take(now); failure != nil {
			return failure
		}
	}
	c.service = route.PickService(c.route, c.in.ID)
	c.deadline = c.in.Received.Add(c.allowed())
	c.f.Budgets.RecordCall(c.service)
	return nil
}

// take sets tokens of the customer's limit aside, which the first send draws.
func (c *call) take(now time.Time) *runworks.Failure {
	tokens := c.in.Tokens(c.customer.TokensPerCall)
	v := c.f.Quota.Reserve(now, c.customer, tokens)
	switch {
	case v.NotReady:
		return runworks.NotRun(errorx.Decorate(runworks.ErrNotReady, "what the customer drew before the start is not known yet"), v.Wait+rand.N(retryNotReadySpread))
	case v.Wait > 0:
		return runworks.NotRun(errorx.Decorate(runworks.ErrLimit, "%.0f tokens asked, %.0f used, %.0f held and %.0f assumed of %.0f, %d other entries counted",
			tokens, v.Consumed, v.Reserved, v.Assumed, v.Allowed, v.OtherEntries), v.Wait+rand.N(retryOpenSpread))
	}
	c.verdict = v
	return nil
}

// giveBack returns what a call that did not run took of its customer's limit.
func (c *call) giveBack(failure *runworks.Failure) {
	if failure.Outcome == runworks.OutcomeNotRun {
		c.verdict.Debit.Refund()
	}
}

// allowed is how long the call is held at most.
func (c *call) allowed() time.Duration {
	allowed := defaultTimeout
	if c.route.Timeout > 0 {
		allowed = c.route.Timeout
	}
	if c.in.Timeout > 0 {
		allowed = min(allowed, c.in.Timeout)
	}
	return allowed
}

// serve sends the call until there is an answer, or nothing more may be tried.
func (c *call) serve(ctx context.Context) (*runworks.Reply, *runworks.Failure) {
	var last *runworks.Failure
	for {
		lease, failure := c.acquire(ctx)
		if failure != nil {
			if last != nil && errors.Is(failure, runworks.ErrNoServer) {
				// All that there are had the call: the last of them tells why.
				failure = last
			}
			return nil, failure
		}
		reply, failure := c.attempt(ctx, lease, "")
		if failure == nil {
			return c.answer(ctx, lease, reply)
		}
		last = failure
		if !c.mayTryAgain(ctx, failure) {
			return nil, failure
		}
		metrics.Count(c.f.Metrics.Retries, metrics.Result(string(failure.Outcome)))
	}
}

// acquire waits for a backend server.
func (c *call) acquire(ctx context.Context) (*dispatch.Lease, *runworks.Failure) {
	began := time.Now()
	lease, err := c.f.Dispatcher.Acquire(ctx, c.ask())
	c.waited += time.Since(began)
	metrics.Observe(c.f.Metrics.WaitSeconds, time.Since(began).Seconds(), metrics.Rank(c.rank))
	if err == nil {
		if err = c.over(ctx); err == nil {
			return lease, nil
		}
		// The slot came as the call was given up on: what nobody waits for must not run.
		lease.Release(dispatch.Abandoned)
	}
	if c.ran > 0 {
		return nil, &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
	}
	return nil, runworks.NotRun(err, c.retryAfter())
}
