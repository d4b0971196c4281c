package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
)

// fakeTransport is a Transport to two fronts, b and c, of which b is the scheduler.
type fakeTransport struct {
	mu     sync.Mutex
	states map[runworks.Incarnation]*peers.PeerState
	// answer answers requests; nil blocks until release is closed and then grants slot 1 of s0.
	answer  func(to runworks.Incarnation, r *peers.AcquireRequest) (*peers.AcquireReply, error)
	release chan struct{}
	asked   []runworks.Incarnation
	placed  map[runworks.Incarnation][]peers.Placement
	batches int
}

func (f *fakeTransport) PeerStates() []peers.PeerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []peers.PeerState
	for _, one := range f.states {
		out = append(out, *one)
	}
	return out
}

func (f *fakeTransport) LastSeen(id runworks.Incarnation) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if one := f.states[id]; one != nil {
		return one.LastSeen
	}
	return time.Time{}
}

func (f *fakeTransport) Acquire(_ context.Context, to runworks.Incarnation, r *peers.AcquireRequest) (*peers.AcquireReply, error) {
	f.mu.Lock()
	f.asked = append(f.asked, to)
	answer := f.answer
	f.mu.Unlock()
	if answer != nil {
		return answer(to, r)
	}
	<-f.release
	return granted(to, r)
}

func (f *fakeTransport) SendPlacements(_ context.Context, to runworks.Incarnation, list []peers.Placement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placed[to] = append(f.placed[to], list...)
	f.batches++
	return nil
}

// granted answers with slot 1 of s0.
func granted(runworks.Incarnation, *peers.AcquireRequest) (*peers.AcquireReply, error) {
	return &peers.AcquireReply{Server: "s0", Grant: 1}, nil
}

// hear records a heartbeat of all fronts.
func (f *fakeTransport) hear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.states {
		one.LastSeen = time.Now()
	}
}

// placements returns those that were reported to b.
func (f *fakeTransport) placements() []peers.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placed["b-life"]
}

func (f *fakeTransport) askedIDs() []runworks.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked
}

// clientTest is a client of the front a, whose dispatcher knows the server s0 with two slots.
type clientTest struct {
	*Client
	is        *is.I
	transport *fakeTransport
	stopping  bool
}

// withClient runs a test with a client in virtual time. All fronts are heard every 100 ms until
// silent is called.
func withClient(t *testing.T, test func(c *clientTest, silent func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		set, err := metrics.New()
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		f := &fakeTransport{release: make(chan struct{}), placed: map[runworks.Incarnation][]peers.Placement{}, states: map[runworks.Incarnation]*peers.PeerState{}}
		for name, cpu := range map[string]float64{"b": 0.8, "c": 0.4} {
			one := peerState(name, now)
			one.CPU = cpu
			f.states[one.Incarnation] = &one
		}
		d := &dispatch.Dispatcher{Hall: "a", Self: "a-life"}
		d.SetServers([]runworks.Instance{{ID: "s0", Service: "llm", Hall: "a", Slots: 2}})
		for _, id := range []runworks.Incarnation{"b-life", "c-life"} {
			d.SetPeerLoad(id, runworks.EntryLoad{})
		}
		c := &clientTest{is: is.New(t), transport: f}
		c.Client = &Client{
			Self: peers.Member{Name: "a", Hall: "a", Incarnation: "a-life", CPU: 0.1}, Dispatcher: d, Transport: f,
			Scheduled: func(service string) bool { return service == "llm" }, Stopping: func() bool { return c.stopping },
			Logger: hclog.NewNullLogger(), Metrics: set,
		}
		ctx, cancel := context.WithCancel(context.Background())
		var work sync.WaitGroup
		work.Go(func() { c.Run(ctx) })
		heartbeats, silent := context.WithCancel(ctx)
		work.Go(func() {
			for heartbeats.Err() == nil {
				f.hear()
				select {
				case <-heartbeats.Done():
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
		defer func() {
			silent()
			cancel()
			work.Wait()
			select {
			case <-f.release:
			default:
				close(f.release)
			}
			time.Sleep(time.Minute)
		}()
		test(c, silent)
	})
}

// batch waits until the placements that wait were sent.
func batch() {
	time.Sleep(batchTime)
	synctest.Wait()
}

func request(id string) *dispatch.Request {
	now := time.Now()
	return &dispatch.Request{
		ID: runworks.RequestID(id), Service: "llm", PromptTokens: 9000, MaxGap: 400 * time.Millisecond,
		Target: now.Add(time.Second), CallerTimeout: now.Add(4 * time.Second), Deadline: now.Add(15 * time.Second),
	}
}

// result is the result of a call's Acquire.
type result struct {
	lease *dispatch.Lease
	err   error
	after time.Duration
}

// start acquires a slot in the background.
func (c *clientTest) start(ctx context.Context, req *dispatch.Request) <-chan result {
	out := make(chan result, 1)
	began := time.Now()
	go func() {
		lease, err := c.Acquire(ctx, req)
		out <- result{lease, err, time.Since(began)}
	}()
	synctest.Wait()
	return out
}

// mustAcquire acquires a slot that must be available at once.
func (c *clientTest) mustAcquire(id string) *dispatch.Lease {
	r := <-c.start(context.Background(), request(id))
	c.is.NoErr(r.err)
	c.is.Equal(r.after, time.Duration(0))
	return r.lease
}

// counted returns how many calls, and how many of their unread tokens, count at this front.
func (c *clientTest) counted() [2]int {
	load := c.Dispatcher.LocalLoad()
	return [2]int{load.Running["s0"], load.UnreadPromptTokens["s0"]}
}

// hasMetric reports whether the metrics have a line.
func (c *clientTest) hasMetric(line string) bool {
	w := httptest.NewRecorder()
	c.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return strings.Contains(w.Body.String(), "\n"+line+"\n")
}

// TestGrantIsAdoptedAndReported guards against lost or early reports: the first event and the end are
// reported at most 10 ms later, gaps with the end only, and the call counts at the scheduler.
func TestGrantIsAdoptedAndReported(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		c.transport.answer = granted
		lease := c.mustAcquire("call")
		c.is.True(c.hasMetric(`runworks_scheduled_total{result="granted"} 1`))
		c.is.True(c.hasMetric("runworks_schedule_seconds_count 1"))
		c.is.Equal(c.transport.askedIDs(), []runworks.Incarnation{"b-life"})
		c.is.Equal(c.counted(), [2]int{})
		time.Sleep(250 * time.Millisecond)
		lease.RecordFirstEvent(9000)
		for range 100 {
			time.Sleep(time.Millisecond)
			lease.RecordEventGap(time.Millisecond)
		}
		lease.RecordEventGap(500 * time.Millisecond)
		c.is.Equal(c.transport.placements(), []peers.Placement{{Grant: 1, Read: true, FirstMs: 250}})
		lease.RecordLength(600, 102)
		lease.Release(dispatch.Served)
		batch()
		c.is.Equal(c.transport.placements()[1:], []peers.Placement{{
			Grant: 1, Ended: "served", Gaps: &peers.Gaps{N: 101, SumMs: 600, Late: 1}, Events: 102, ExpectedTokens: 600,
		}})
		c.is.Equal(c.counted(), [2]int{})
	})
}

// TestPlacementsAreBatched guards against one message for each placement.
func TestPlacementsAreBatched(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		next := int64(0)
		c.transport.answer = func(runworks.Incarnation, *peers.AcquireRequest) (*peers.AcquireReply, error) {
			next++
			return &peers.AcquireReply{Server: "s0", Grant: next}, nil
		}
		for i := range 20 {
			lease := c.mustAcquire(fmt.Sprint(i))
			lease.RecordFirstEvent(9000)
			lease.Release(dispatch.Served)
		}
		batch()
		c.is.Equal(len(c.transport.placements()), 40)
		c.is.Equal(c.transport.batches, 1)
		lease := c.mustAcquire("last")
		lease.Release(dispatch.Served)
		c.Flush() // a planned stop does not wait
		c.is.Equal(len(c.transport.placements()), 41)
	})
}

// TestLocalCalls guards against requests to a scheduler where none is needed or allowed.
func TestLocalCalls(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		c.Dispatcher.SetServers([]runworks.Instance{{ID: "s0", Service: "llm", Slots: 2}, {ID: "p0", Service: "plain", Slots: 1}})
		bound := request("halls")
		bound.AllowsHall = func(string) bool { return true }
		plain := request("plain")
		plain.Service = "plain"
		for _, req := range []*dispatch.Request{bound, plain} {
			r := <-c.start(context.Background(), req)
			c.is.NoErr(r.err)
			r.lease.Release(dispatch.Served)
		}
		c.Self.CPU = 1 // this front schedules
		time.Sleep(viewAge)
		c.mustAcquire("own").Release(dispatch.Served)
		c.is.Equal(c.Schedulers(), map[string]string{"llm": "a"})
		c.is.Equal(len(c.transport.askedIDs()), 0)

		c.stopping = true
		c.transport.answer = granted
		time.Sleep(viewAge)
		c.mustAcquire("stopping").Release(dispatch.Served)
		c.is.Equal(c.Schedulers(), map[string]string{"llm": "b"})

		c.transport.mu.Lock()
		clear(c.transport.states)
		c.transport.mu.Unlock()
		c.stopping = false
		time.Sleep(viewAge)
		lease := c.mustAcquire("alone")
		lease.ApplyReport(&runworks.ServerReport{Limit: &runworks.RateLimit{Named: true, PerSecond: 1000}}, time.Now())
		lease.Release(dispatch.Served)
		c.is.Equal(len(c.transport.askedIDs()), 1)
	})
}

// TestLimitedServiceIsLocal guards against requests that the scheduler refuses: with a rate limit
// each front has a share of its own.
func TestLimitedServiceIsLocal(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		c.transport.answer = granted
		lease := c.mustAcquire("call")
		lease.ApplyReport(&runworks.ServerReport{Limit: &runworks.RateLimit{Named: true, PerSecond: 1000}}, time.Now())
		lease.Release(dispatch.Served)
		r := <-c.start(context.Background(), request("limited"))
		c.is.NoErr(r.err)
		c.is.Equal(len(c.transport.askedIDs()), 1)
	})
}

// TestFailedReplies guards against calls that fail or wait because of the scheduler: each continues
// locally at once. Where the scheduler is at fault, another one is asked for a second.
func TestFailedReplies(t *testing.T) {
	reply := func(r peers.AcquireReply) func() (*peers.AcquireReply, error) {
		return func() (*peers.AcquireReply, error) { return &r, nil }
	}
	fails := func(err error) func() (*peers.AcquireReply, error) {
		return func() (*peers.AcquireReply, error) { return nil, errorx.Decorate(err, "request a slot") }
	}
	for name, one := range map[string]struct {
		answer  func() (*peers.AcquireReply, error)
		cause   fallback
		avoided bool
	}{
		"connection closed":   {fails(jsonrpc2.ErrClosed), causeDisconnected, true},
		"error reply":         {fails(&jsonrpc2.Error{Message: "no method"}), causeReply, true},
		"undecodable reply":   {fails(&json.UnmarshalTypeError{}), causeReply, true},
		"empty reply":         {reply(peers.AcquireReply{}), causeReply, true},
		"no grant number":     {reply(peers.AcquireReply{Server: "s0"}), causeReply, true},
		"unknown refusal":     {reply(peers.AcquireReply{Refused: "later version"}), causeReply, true},
		"not the scheduler":   {reply(peers.AcquireReply{Refused: peers.RefusedNotScheduler}), causeNotScheduler, true},
		"invalid":             {reply(peers.AcquireReply{Refused: peers.RefusedInvalid}), causeInvalid, false},
		"no server known":     {reply(peers.AcquireReply{Refused: peers.RefusedNoServer}), causeNoServer, false},
		"server unknown here": {reply(peers.AcquireReply{Server: "s9", Grant: 1}), causeServer, false},
	} {
		t.Run(name, func(t *testing.T) {
			withClient(t, func(c *clientTest, _ func()) {
				c.transport.answer = func(to runworks.Incarnation, r *peers.AcquireRequest) (*peers.AcquireReply, error) {
					if to == "b-life" {
						return one.answer()
					}
					return granted(to, r)
				}
				first := c.mustAcquire("first")
				c.is.Equal(c.counted()[0], 1)
				c.is.True(c.hasMetric(fmt.Sprintf("runworks_scheduled_total{cause=%q,result=\"local\"} 1", string(one.cause))))
				first.Release(dispatch.Served)
				c.mustAcquire("second").Release(dispatch.Served)
				next := runworks.Incarnation("b-life")
				if one.avoided {
					next = "c-life"
				}
				c.is.Equal(c.transport.askedIDs(), []runworks.Incarnation{"b-life", next})
				time.Sleep(avoidTime)
				c.mustAcquire("third").Release(dispatch.Served)
				c.is.Equal(c.transport.askedIDs()[2], runworks.Incarnation("b-life"))
				batch()
				if name == "server unknown here" {
					c.is.Equal(c.transport.placements()[0], peers.Placement{Grant: 1, Ended: "abandoned"})
				}
			})
		})
	}
}

// TestUnusableServersAreExcluded guards against grants that this front can't use: the scheduler would
// grant the idle slots of a server that asked only this front to send nothing, again and again.
func TestUnusableServersAreExcluded(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		c.Dispatcher.SetServers([]runworks.Instance{{ID: "s0", Service: "llm", Slots: 2}, {ID: "s1", Service: "llm", Slots: 2}})
		var excluded []string
		c.transport.answer = func(_ runworks.Incarnation, r *peers.AcquireRequest) (*peers.AcquireReply, error) {
			excluded = r.Exclude
			return &peers.AcquireReply{Server: "s0", Grant: 1}, nil
		}
		lease := c.mustAcquire("first")
		c.is.Equal(len(excluded), 0)
		lease.ApplyReport(&runworks.ServerReport{Backoff: time.Second}, time.Now())
		lease.Release(dispatch.Rejected)
		req := request("second")
		req.Exclude = []string{"tried"}
		r := <-c.start(context.Background(), req)
		c.is.NoErr(r.err)
		c.is.Equal(r.lease.Instance.ID, "s1") // from the local dispatcher
		c.is.Equal(excluded, []string{"tried", "s0"})
		c.is.Equal(req.Exclude, []string{"tried"})
	})
}

// TestRefusals guards against refusals that lose their reason or their time.
func TestRefusals(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		var reply peers.AcquireReply
		c.transport.answer = func(runworks.Incarnation, *peers.AcquireRequest) (*peers.AcquireReply, error) { return &reply, nil }
		refused := func(r peers.AcquireReply) error {
			reply = r
			out := <-c.start(context.Background(), request("call"))
			c.is.Equal(out.lease, nil)
			return out.err
		}
		c.is.True(errors.Is(refused(peers.AcquireReply{Refused: peers.RefusedTimeLimit, WaitedMs: 900}), runworks.ErrTimeLimit))
		c.is.True(c.hasMetric(`runworks_scheduled_total{result="refused"} 1`))
		c.is.True(!c.hasMetric("runworks_schedule_seconds_count 1")) // it waited
		err := refused(peers.AcquireReply{Refused: peers.RefusedShortage, Cause: "queue is full", RetryAfterMs: 1250})
		c.is.True(errors.Is(err, runworks.ErrShortage))
		var refusal *dispatch.Refusal
		c.is.True(errors.As(err, &refusal))
		c.is.Equal(refusal.RetryAfter, 1250*time.Millisecond)
		c.is.Equal(c.counted(), [2]int{})
	})
}

// TestSchedulerCloses guards against calls that wait for a scheduler that was killed, and against
// running calls that count nowhere: both continue at this front at once, and the calls that the
// scheduler reported are forgotten once the other fronts report them.
func TestSchedulerCloses(t *testing.T) {
	// closesAfter is between two looks of the client at its schedulers: one that misses the scheduler
	// before the connection is closed reports to it.
	const closesAfter = watchInterval + watchInterval/2
	withClient(t, func(c *clientTest, _ func()) {
		c.transport.answer = granted
		running := c.mustAcquire("running")
		c.transport.answer = nil
		c.Dispatcher.SetPeerLoad("b-life", runworks.EntryLoad{Running: runworks.RunningCalls{"s0": 1}})
		waiting := c.start(context.Background(), request("waiting"))
		time.Sleep(closesAfter)
		c.is.Equal(c.counted(), [2]int{})
		c.transport.mu.Lock()
		delete(c.transport.states, "b-life")
		c.transport.mu.Unlock()
		c.Disconnected("b-life")
		synctest.Wait()
		c.is.Equal(c.counted(), [2]int{1, 9000})
		c.is.Equal(len(waiting), 0) // both slots count as taken: by the call, and by the scheduler's report
		r := <-waiting
		c.is.NoErr(r.err)
		c.is.Equal(r.after, closesAfter+forgetTime)
		c.is.Equal(c.counted(), [2]int{2, 18000})
		close(c.transport.release) // a grant that arrives late
		running.RecordFirstEvent(9000)
		running.Release(dispatch.Served)
		r.lease.Release(dispatch.Served)
		time.Sleep(time.Second)
		c.is.Equal(c.counted(), [2]int{})
		c.is.Equal(len(c.transport.placements()), 0) // it does not know its grants any longer
	})
}

// TestSchedulerFreezes guards against calls that wait for a scheduler that is frozen or unreachable,
// and against calls that count twice when it continues: it is told that they left.
func TestSchedulerFreezes(t *testing.T) {
	withClient(t, func(c *clientTest, silent func()) {
		c.transport.answer = granted
		running := c.mustAcquire("running")
		c.transport.answer = func(runworks.Incarnation, *peers.AcquireRequest) (*peers.AcquireReply, error) {
			<-c.transport.release
			return &peers.AcquireReply{Server: "s0", Grant: 2}, nil
		}
		time.Sleep(90 * time.Millisecond)
		silent()
		waiting := c.start(context.Background(), request("waiting"))
		r := <-waiting
		c.is.NoErr(r.err)
		c.is.True(r.after <= silenceTimeout+watchInterval)
		c.is.True(r.after > silenceTimeout-100*time.Millisecond)
		c.is.Equal(c.counted(), [2]int{2, 18000})
		batch()
		c.is.Equal(c.transport.placements(), []peers.Placement{{Grant: 1, Ended: "abandoned"}, {Canceled: "waiting"}})
		close(c.transport.release)
		batch()
		c.is.Equal(c.transport.placements()[2:], []peers.Placement{{Grant: 2, Ended: "abandoned"}})
		running.Release(dispatch.Served)
		r.lease.Release(dispatch.Served)
		batch()
		c.is.Equal(len(c.transport.placements()), 3)
	})
}

// TestStallIsNoSilence guards against a front that leaves its scheduler because it got no processor time
// itself: the heartbeats that arrived meanwhile are not read yet.
func TestStallIsNoSilence(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		c.transport.answer = granted
		lease := c.mustAcquire("call")
		later := time.Now().Add(silenceTimeout + time.Second)
		c.loseSilent(later, watchInterval+stallTime+1)
		c.is.Equal(c.counted(), [2]int{})
		c.loseSilent(later, watchInterval+stallTime)
		c.is.Equal(c.counted(), [2]int{1, 9000})
		lease.Release(dispatch.Served)
	})
}

// TestWaitsWhileSchedulerIsHeard guards against calls that leave a scheduler that has no free slot yet.
func TestWaitsWhileSchedulerIsHeard(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		waiting := c.start(context.Background(), request("waiting"))
		time.Sleep(3 * time.Second)
		c.is.Equal(len(waiting), 0)
		close(c.transport.release)
		r := <-waiting
		c.is.NoErr(r.err)
		c.is.Equal(c.counted(), [2]int{})
		r.lease.Release(dispatch.Served)
	})
}

// TestCallerLeaves guards against a place in the scheduler's queue, or a slot, that is kept for a
// caller that left.
func TestCallerLeaves(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		left := errors.New("the caller left")
		ctx, leave := context.WithCancelCause(context.Background())
		waiting := c.start(ctx, request("waiting"))
		leave(left)
		r := <-waiting
		c.is.True(errors.Is(r.err, left))
		batch()
		c.is.Equal(c.transport.placements(), []peers.Placement{{Canceled: "waiting"}})
		close(c.transport.release) // the scheduler had granted the slot
		batch()
		c.is.Equal(c.transport.placements()[1:], []peers.Placement{{Grant: 1, Ended: "abandoned"}})
		c.is.Equal(c.counted(), [2]int{})
	})
}

// TestLossDuringAdoption guards against a call that counts nowhere if the scheduler is lost between
// its reply and the adoption.
func TestLossDuringAdoption(t *testing.T) {
	withClient(t, func(c *clientTest, _ func()) {
		req := request("call")
		r, _ := c.schedulerOf(time.Now(), "llm")
		c.lose("b-life", causeSilent, false)
		lease := c.adopt(r, req, &peers.AcquireReply{Server: "s0", Grant: 4})
		c.is.Equal(c.counted(), [2]int{1, 9000})
		lease.Release(dispatch.Served)
		batch()
		c.is.Equal(c.transport.placements(), []peers.Placement{{Grant: 4, Ended: "abandoned"}})
		c.is.Equal(c.counted(), [2]int{})
	})
}
