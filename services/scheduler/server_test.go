package scheduler

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
)

// serverTest is a server whose dispatcher knows the server s0 with one slot, and a session of the
// front b with it.
type serverTest struct {
	*Server
	is      *is.I
	session *peers.Session
}

func withServer(t *testing.T, test func(v *serverTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		set, err := metrics.New()
		if err != nil {
			t.Fatal(err)
		}
		d := &dispatch.Dispatcher{Hall: "a", Self: "a-life"}
		d.SetServers([]runworks.Instance{{ID: "s0", Service: "llm", Hall: "a", Slots: 1}})
		d.SetPeerLoad("b-life", runworks.EntryLoad{})
		v := &serverTest{is: is.New(t), Server: &Server{Dispatcher: d, Ready: func() bool { return true }, Logger: hclog.NewNullLogger(), Metrics: set}}
		v.session = v.open()
		test(v)
	})
}

// open opens a session of b.
func (v *serverTest) open() *peers.Session {
	s := &peers.Session{From: peers.Member{Name: "b", Hall: "a", Incarnation: "b-life"}}
	v.Opened(s)
	return s
}

func message(id string) *peers.AcquireRequest {
	return encodeRequest(time.Now(), request(id), "a")
}

// start requests a slot in the background.
func (v *serverTest) start(s *peers.Session, id string) <-chan *peers.AcquireReply {
	out := make(chan *peers.AcquireReply, 1)
	go func() { out <- v.Acquire(context.Background(), s, message(id)) }()
	synctest.Wait()
	return out
}

// grant returns the number of a grant that must be available at once.
func (v *serverTest) grant(s *peers.Session, id string) int64 {
	reply := <-v.start(s, id)
	v.is.Equal(reply.Refused, "")
	v.is.Equal(reply.Server, "s0")
	return reply.Grant
}

// state returns the running calls, their unread tokens, the waiting calls, and the grants.
func (v *serverTest) state() [4]int {
	load := v.Dispatcher.LocalLoad()
	return [4]int{load.Running["s0"], load.UnreadPromptTokens["s0"], load.Waiting["llm"].Calls, v.Held()}
}

// TestRequestCodec guards against fields that are lost between the two dispatchers, and against clocks
// that are compared.
func TestRequestCodec(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	req := &dispatch.Request{
		ID: "call", Service: "llm", Rank: 1, RouteRank: 2, Customer: "c", PromptTokens: 3, MaxTokens: 4, ExpectedTokens: 5, Resumed: true, Retry: true,
		MaxGap: 400 * time.Millisecond, Target: now.Add(-time.Second), CallerTimeout: now.Add(2 * time.Second), Deadline: now.Add(3 * time.Second),
		Exclude: []string{"s1"}, Version: "v1", Hall: "h",
	}
	later := time.Hour
	got, ok := decodeRequest(now.Add(later), encodeRequest(now, req, "h"), "b-life")
	is.True(ok)
	want := *req
	want.ID = "b-life/call"
	want.Target, want.CallerTimeout, want.Deadline = req.Target.Add(later), req.CallerTimeout.Add(later), req.Deadline.Add(later)
	is.Equal(*got, want)
	req.CallerTimeout = time.Time{}
	got, _ = decodeRequest(now, encodeRequest(now, req, "h"), "b-life")
	is.True(got.CallerTimeout.IsZero())
	for i, change := range []func(r *peers.AcquireRequest){
		func(r *peers.AcquireRequest) { r.ID = "" },
		func(r *peers.AcquireRequest) { r.Service = "" },
		func(r *peers.AcquireRequest) { r.Rank = -1 },
		func(r *peers.AcquireRequest) { r.RouteRank = maxRank + 1 },
		func(r *peers.AcquireRequest) { r.PromptTokens = -1 },
		func(r *peers.AcquireRequest) { r.MaxTokens = math.MaxInt },
		func(r *peers.AcquireRequest) { r.ExpectedTokens = -1 },
		func(r *peers.AcquireRequest) { r.MaxGapMs = math.MaxInt64 },
		func(r *peers.AcquireRequest) { r.TargetMs = math.MinInt64 },
		func(r *peers.AcquireRequest) { r.CallerMs = -1 },
		func(r *peers.AcquireRequest) { r.DeadlineMs = 0 },
		func(r *peers.AcquireRequest) { r.Exclude = make([]string, maxExcluded+1) },
	} {
		r := encodeRequest(now, req, "h")
		change(r)
		_, ok := decodeRequest(now, r, "b-life")
		if ok {
			t.Errorf("change %d was accepted", i)
		}
	}
}

// TestPlacementsAreApplied guards against a slot that stays taken after its call ended, and against a
// prompt that counts as unread after its first event.
func TestPlacementsAreApplied(t *testing.T) {
	withServer(t, func(v *serverTest) {
		number := v.grant(v.session, "call")
		next := v.start(v.session, "next")
		v.is.Equal(v.state(), [4]int{1, 9000, 1, 1})
		v.Placed(v.session, []peers.Placement{{Grant: number, Read: true, FirstMs: 200}})
		v.is.Equal(v.state(), [4]int{1, 0, 1, 1})
		time.Sleep(700 * time.Millisecond)
		v.Placed(v.session, []peers.Placement{{Grant: number, Ended: "served", Gaps: &peers.Gaps{N: 2, SumMs: 80}, Events: 3, ExpectedTokens: 18}})
		reply := <-next
		v.is.Equal(reply.Server, "s0")
		v.is.Equal(reply.WaitedMs, int64(700))
		v.is.Equal(v.state(), [4]int{1, 9000, 0, 1})
		v.Placed(v.session, []peers.Placement{{Grant: reply.Grant, Ended: "unreachable"}})
		v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
		v.is.Equal(v.Dispatcher.LocalLoad().Ejected, []string{"s0"})
	})
}

// TestInvalidPlacements guards against messages that free another call's slot, or one twice, and
// against an end that is lost because of its numbers.
func TestInvalidPlacements(t *testing.T) {
	withServer(t, func(v *serverTest) {
		number := v.grant(v.session, "call")
		other := &peers.Session{From: peers.Member{Name: "c", Incarnation: "c-life"}}
		v.Opened(other)
		v.Placed(other, []peers.Placement{{Grant: number, Ended: "served"}}) // of another entry
		v.Placed(&peers.Session{}, []peers.Placement{{Grant: number, Ended: "served"}})
		for _, p := range []peers.Placement{
			{}, {Grant: number + 1, Ended: "served"}, {Grant: -number, Ended: "served"}, {Grant: number, Ended: "later version"},
			{Grant: number, Read: true, FirstMs: -1}, {Grant: number, Read: true, FirstMs: 1e300},
			{Grant: number, Read: true, Gaps: &peers.Gaps{}}, {Grant: number, Read: true, Gaps: &peers.Gaps{N: 1, SumMs: -1}},
			{Grant: number, Read: true, Gaps: &peers.Gaps{N: 1, SumMs: 1, Late: 2}}, {Grant: number, Read: true, Events: -1},
		} {
			v.Placed(v.session, []peers.Placement{p})
			v.is.Equal(v.state(), [4]int{1, 9000, 0, 1})
		}
		v.Placed(v.session, []peers.Placement{{Grant: number, Ended: "abandoned", FirstMs: math.Inf(1)}})
		v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
		next := v.grant(v.session, "next")
		v.Placed(v.session, []peers.Placement{{Grant: number, Ended: "served"}}) // repeated
		v.is.Equal(v.state(), [4]int{1, 9000, 0, 1})
		v.Placed(v.session, []peers.Placement{{Grant: next, Ended: "served"}})
		v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
	})
}

// TestCancel guards against a place in the queue that is kept for a caller that left, also where the
// notice overtakes the request, and against a second request under an id that waits.
func TestCancel(t *testing.T) {
	withServer(t, func(v *serverTest) {
		v.grant(v.session, "call")
		waiting := v.start(v.session, "waiting")
		v.is.Equal((<-v.start(v.session, "waiting")).Refused, peers.RefusedInvalid)
		v.is.Equal(v.state(), [4]int{1, 9000, 1, 1})
		v.Placed(v.session, []peers.Placement{{Canceled: "waiting"}})
		v.is.True((<-waiting).Refused != "")
		v.is.Equal(v.state(), [4]int{1, 9000, 0, 1})
		v.Placed(v.session, []peers.Placement{{Canceled: "early"}})
		v.is.Equal((<-v.start(v.session, "early")).Refused, peers.RefusedInvalid)
		v.Placed(v.session, []peers.Placement{{Canceled: "early"}})
		time.Sleep(cancelMemory + 1)
		again := v.start(v.session, "early")
		v.is.Equal(len(again), 0) // it waits
		v.Placed(v.session, []peers.Placement{{Canceled: "early"}})
		<-again
		for i := range 2 * maxCancellations {
			v.Placed(v.session, []peers.Placement{{Canceled: runworks.RequestID(fmt.Sprint(i))}})
		}
		v.is.True(len(v.sessions[v.session].canceled) <= maxCancellations)
	})
}

// TestSessionEnds guards against slots that nobody frees: each way in which the connection of an entry
// ends, or the entry is lost, and in any order, frees them once, and its waiting calls end.
func TestSessionEnds(t *testing.T) {
	lost := func(v *serverTest) {
		v.Dispatcher.MarkPeerUnreachable("b-life")
		v.Lost("b-life")
	}
	closed := func(v *serverTest) { v.Closed(v.session) }
	opened := func(v *serverTest) { v.open() }
	for name, steps := range map[string][]func(v *serverTest){
		"closed, then lost":   {closed, lost},
		"closed, then opened": {closed, opened},
		"opened, then closed": {opened, closed},
		"lost, then closed":   {lost, closed},
		"lost, then opened":   {lost, opened, closed},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(v *serverTest) {
				number := v.grant(v.session, "call")
				waiting := v.start(v.session, "waiting")
				steps[0](v)
				v.is.True((<-waiting).Refused != "")
				v.is.Equal(v.state()[2], 0)
				for _, step := range steps[1:] {
					step(v)
				}
				v.Placed(v.session, []peers.Placement{{Grant: number, Ended: "served"}}) // arrives late
				v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
				v.is.Equal((<-v.start(v.session, "late")).Refused, peers.RefusedNotScheduler)
				v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
			})
		})
	}
}

// TestClosedConnectionKeepsCount guards against calls that count nowhere while the entry that runs
// them opens a new connection.
func TestClosedConnectionKeepsCount(t *testing.T) {
	withServer(t, func(v *serverTest) {
		v.grant(v.session, "call")
		v.Closed(v.session)
		v.is.Equal(v.state(), [4]int{1, 9000, 0, 1})
		v.open()
		v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
	})
}

// TestEntryHeardAgain guards against an entry that gets no slots after a partition that left its
// connection open, and against slots that it keeps when it is lost again.
func TestEntryHeardAgain(t *testing.T) {
	withServer(t, func(v *serverTest) {
		for range 2 {
			v.grant(v.session, "call")
			v.Dispatcher.MarkPeerUnreachable("b-life")
			v.Lost("b-life")
			v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
			v.Dispatcher.SetPeerLoad("b-life", runworks.EntryLoad{})
		}
	})
}

// TestRefusesUntilReady guards against a front that grants slots before it knows the servers and the
// calls of the others.
func TestRefusesUntilReady(t *testing.T) {
	withServer(t, func(v *serverTest) {
		ready := false
		v.Ready = func() bool { return ready }
		v.is.Equal((<-v.start(v.session, "call")).Refused, peers.RefusedNotScheduler)
		ready = true
		v.grant(v.session, "call")
		r := message("call")
		r.Rank = -1
		v.is.Equal(v.Acquire(context.Background(), v.session, r).Refused, peers.RefusedInvalid)
		r = message("another")
		r.Service = "unknown"
		v.is.Equal(v.Acquire(context.Background(), v.session, r).Refused, peers.RefusedNoServer)
		r = message("late")
		r.DeadlineMs, r.CallerMs, r.TargetMs = 1, 1, 1
		reply := v.Acquire(context.Background(), v.session, r)
		v.is.True(reply.Refused == peers.RefusedShortage || reply.Refused == peers.RefusedTimeLimit)
	})
}

// TestGrantExpires guards against a slot that stays taken for good when the report of the call's end is
// lost.
func TestGrantExpires(t *testing.T) {
	withServer(t, func(v *serverTest) {
		r := message("call")
		reply := v.Acquire(context.Background(), v.session, r)
		v.is.Equal(reply.Server, "s0")
		time.Sleep(time.Duration(r.DeadlineMs)*time.Millisecond + expiryMargin)
		v.endExpired(time.Now())
		v.is.Equal(v.Held(), 1) // it may still be reported
		time.Sleep(sweepInterval)
		v.endExpired(time.Now())
		v.is.Equal(v.state(), [4]int{0, 0, 0, 0})
	})
}

// TestInvalidRequestKeepsScheduler guards against a caller that makes its front leave the scheduler: a
// request that can't be granted concerns its own call only.
func TestInvalidRequestKeepsScheduler(t *testing.T) {
	is := is.New(t)
	r := encodeRequest(time.Now(), &dispatch.Request{ID: "call", Service: "llm", ExpectedTokens: math.MaxInt, Target: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)}, "a")
	_, ok := decodeRequest(time.Now(), r, "b-life")
	is.True(ok)
}
