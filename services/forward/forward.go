package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/quarantine"
	"github.com/runworks/runworks/services/quota"
	"github.com/runworks/runworks/services/route"
	"github.com/runworks/runworks/services/streamorigin"
)

const (
	// defaultTimeout applies to calls for which neither caller nor route sets a timeout.
	defaultTimeout = 30 * time.Second
	// A stream's caller is expected to disconnect after the longest of minCallerTimeout,
	// callerTimeoutTargets times the target, and callerTimeoutGaps times the longest pause that it
	// expects between events. The platform's documentation describes this for callers.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	// answerTimeoutTargets is the number of targets after which a call is taken from a server that
	// has not responded, if another may run it.
	answerTimeoutTargets = 2
	// unresponsiveAfter is how long a server must have sent nothing for a call that the caller or
	// the deadline ends to count against it: many times the pause between events.
	unresponsiveAfter = time.Second
	// maxConfirmTime leaves the caller of a stream time to receive its end before minCallerTimeout.
	maxConfirmTime = 1500 * time.Millisecond
	// maxSends bounds the backend servers to which one call is sent, including those that rejected
	// it: each further one uses the retry budget.
	maxSends = 4
	// maxServers also counts unreachable servers: more of them in a row mean that this host is cut
	// off.
	maxServers = 12
)

var (
	// errAnswerTimeout is the cause if a server does not respond in time.
	errAnswerTimeout = errors.New("the backend server did not respond in time")
	// errServerRestarted is the cause if a server's incarnation has ended and its state of the call
	// is lost.
	errServerRestarted = errors.New("the backend server restarted")
)

// Forwarder handles the calls of one entry. Set the exported fields before use.
type Forwarder struct {
	// Table is the active routing; nil until one has been read.
	Table atomic.Pointer[route.Table]
	// NewerRouting returns the newest routing version that another entry reported, and when the first one
	// did; nil means that none is known.
	NewerRouting func() (version int64, reported time.Time)
	Dispatcher   *dispatch.Dispatcher
	// Slots grants the slots of backend servers; nil is Dispatcher.
	Slots   SlotSource
	Quota   *quota.Quota
	Budgets *Budgets
	// Quarantine holds the requests and prompt parts that make backend servers exit.
	Quarantine *quarantine.Quarantine
	// Memory bounds what is held for calls.
	Memory Memory
	// MaxResponseBytes limits what a call receives from its servers; 0 means no limit. A longer response is
	// aborted, as it may have no end.
	MaxResponseBytes int64
	// CompleteAtClose holds the services whose servers end a response without length or chunks by closing its connection
	// only: such an end counts as that of the response while the server says that it runs. For any other service a
	// response must show that it is whole.
	CompleteAtClose []string
	// Origins holds which software version began each resumable stream.
	Origins streamorigin.Table
	Sender  runworks.Sender
	Logger  hclog.Logger
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// Regions holds the region of each hall. A hall without one runs no call that is bound to
	// regions.
	Regions map[string]string
	// Ready is closed once the entry has read its state; nil means that it has.
	Ready <-chan struct{}
	// Stopping is set near the end of a planned stop: new streams, which may last long, are then
	// refused as not run.
	Stopping atomic.Bool

	active atomic.Int64
	// suspended is how long the host has been suspended since the start, in nanoseconds.
	suspended atomic.Int64
	durations durations
	// stopAt is when AbortPending will be called; nil if it is not planned.
	stopAt    atomic.Pointer[time.Time]
	abortOnce sync.Once
	// abortCtx is canceled when calls without a response are aborted.
	abortCtx context.Context
	abort    context.CancelFunc
	readers  readers
}

// SlotSource grants slots of backend servers, like dispatch.Dispatcher.
type SlotSource interface {
	Acquire(ctx context.Context, req *dispatch.Request) (*dispatch.Lease, error)
}

// slots returns the source of slots.
func (f *Forwarder) slots() SlotSource {
	if f.Slots != nil {
		return f.Slots
	}
	return f.Dispatcher
}

// Active returns the number of calls whose responses are not complete.
func (f *Forwarder) Active() int64 { return f.active.Load() }

type call struct {
	f      *Forwarder
	in     *runworks.Inbound
	cancel context.CancelFunc
	// detach ends the effect of AbortPending on the call; nil once the response has begun.
	detach func() bool

	table    *route.Table
	route    *runworks.Route
	customer *runworks.RoutedCustomer
	service  string
	deadline time.Time
	// suspendedBefore is Forwarder.suspended when the call arrived.
	suspendedBefore int64
	rank            int

	// cachedTraits is set by traits; nil until then.
	cachedTraits []runworks.Trait
	// tried are the incarnations of the servers that were tried, and ran counts those that may have
	// run the call.
	tried []string
	ran   int
	// reruns counts those runs at servers that may have run the call before.
	reruns int
	// attemptCtx is the context of the last attempt and its response.
	attemptCtx context.Context
	// sends counts the attempts that sent at least one byte of the call.
	sends int
	// decision is the decision of the customer's limit, with the reserved tokens.
	decision quota.Decision
	// waited is the time spent in the queue.
	waited time.Duration
	// retryTime is the time that the caller is told to return after, and retryBasis what it was derived
	// from for a call that found no capacity; both are unset if none is told.
	retryTime  time.Duration
	retryBasis string
	// sent is when the call was sent to the last server.
	sent time.Time
	// firstByte is when the head of the response arrived; zero if it has not.
	firstByte time.Time
	// firstEvent is when the first event of the last server arrived, and was expected.
	firstEvent firstEvent
	// stream is the response to a stream call; nil before, and for other responses.
	stream *stream
	// received is the number of bytes that were received of responses passed on as they arrive.
	received int64
	// events counts the events of a stream that were passed on, and longestPause is the longest
	// time between two of them from one server.
	events       int
	longestPause time.Duration
	// origin is the origin of a resumable stream; empty until its first event.
	origin runworks.StreamOrigin
	// resolvedAt is when the origin of a stream that the caller resumes was first looked up; zero if it resumes none.
	resolvedAt time.Time
	// continuedAfter are the IDs of the events after which servers were to continue the stream, in order; an
	// empty one is the beginning of the stream.
	continuedAfter []string
	// versions are the software versions of the servers that responded, in order.
	versions []string
	// end is the end of the last server's response.
	end responseEnd
	// unfinishedEvent is the size in bytes of the event inside which the response ended; 0 if it
	// ended between events.
	unfinishedEvent int
	// lastEvent is when the last event was passed on; zero before the first.
	lastEvent time.Time
	// readerBlocked is the time that a stream waited for its caller to read.
	readerBlocked time.Duration
}

// Serve returns the response to a call; the error is a *runworks.Failure. The caller of Serve
// closes the response body. The end of ctx aborts the call.
func (f *Forwarder) Serve(ctx context.Context, in *runworks.Inbound) (*runworks.Reply, error) {
	c := &call{f: f, in: in, suspendedBefore: f.suspended.Load()}
	f.active.Add(1)
	ctx, span := f.Tracer.Start(ctx, tracing.SpanEntry)
	defer span.End()
	f.awaitReady(ctx)
	if failure := c.admit(ctx); failure != nil {
		c.finishFailed(failure)
		return nil, failure
	}
	ctx, detach, cancel := f.withAbort(ctx)
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, c.deadline, runworks.ErrTimeLimit)
	c.cancel = func() {
		cancelDeadline()
		cancel()
	}
	c.detach = detach
	reply, failure := c.serve(ctx)
	if failure != nil {
		c.releaseTokens(failure)
		c.finishFailed(failure)
		return nil, failure
	}
	return reply, nil
}

// serve sends the call until there is a response or no further attempt is allowed.
func (c *call) serve(ctx context.Context) (*runworks.Reply, *runworks.Failure) {
	var last *runworks.Failure
	for {
		lease, failure := c.acquire(ctx)
		if failure != nil {
			if last != nil && errors.Is(failure, runworks.ErrNoServer) {
				// All servers have been tried: the last failure says more than the missing server.
				failure, c.retryBasis = last, ""
			}
			return nil, failure
		}
		reply, failure := c.attempt(ctx, lease, "")
		if failure == nil {
			return c.handleReply(ctx, lease, reply)
		}
		last = failure
		if !c.mayRetry(ctx, failure) {
			return nil, failure
		}
		metrics.Count(c.f.Metrics.Retries, metrics.Result(string(failure.Outcome)))
	}
}

// acquire waits for a slot at a backend server.
func (c *call) acquire(ctx context.Context) (*dispatch.Lease, *runworks.Failure) {
	start := time.Now()
	lease, err := c.f.slots().Acquire(ctx, c.dispatchRequest())
	c.waited += time.Since(start)
	metrics.Observe(c.f.Metrics.WaitSeconds, time.Since(start).Seconds(), metrics.Rank(c.rank))
	if err == nil {
		if err = c.abortCause(ctx); err == nil {
			return lease, nil
		}
		// The slot was granted as the call was aborted. A call whose caller no longer waits must
		// not run.
		lease.Release(dispatch.Abandoned)
	}
	if c.ran > 0 {
		return nil, &runworks.Failure{Err: err, Outcome: runworks.OutcomeUnknown}
	}
	return nil, runworks.NotRun(err, c.retryAfter(err))
}
