package peers

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// TestStoppingFrames guards against an appended field that a previous version can't decode: only a
// stopping entry sends it, and all of the frame is decoded with it.
func TestStoppingFrames(t *testing.T) {
	is := is.New(t)
	var e encoder
	want := fullHeartbeat()
	f := e.frame(want)
	plain, err := f.encode()
	is.NoErr(err)
	is.Equal(int(plain[0]), stoppingFrameHead-1)
	is.NoErr(cbor.Unmarshal(plain, &frame{})) // as a previous version does
	full, err := f.encodeStopping()
	is.NoErr(err)
	is.True(cbor.Unmarshal(full, &frame{}) != nil) // it would close the connection
	want.Stopping = true
	for _, data := range [][]byte{full, plain} {
		c := decoder{from: want.From}
		got, err := c.decode(data)
		is.NoErr(err)
		is.Equal(got, want)
		want.Stopping = false
	}
	for n := range full {
		_, err = (&decoder{from: want.From}).decode(full[:n])
		is.True(err != nil)
	}
}

// slotServer is a SlotServer that records what it is called with.
type slotServer struct {
	mu     sync.Mutex
	events []string
	open   map[*Session]bool
	placed []Placement
	// undecodable counts the messages that could not be decoded.
	undecodable int
	request     AcquireRequest
	// block, unless nil, holds replies until it is closed.
	block chan struct{}
}

func (s *slotServer) Opened(one *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[one] = true
	s.events = append(s.events, "opened "+one.From.Name)
}

func (s *slotServer) Closed(one *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, one)
	s.events = append(s.events, "closed "+one.From.Name)
}

func (s *slotServer) Acquire(_ context.Context, one *Session, r *AcquireRequest) *AcquireReply {
	s.mu.Lock()
	s.request = *r
	known, block := s.open[one], s.block
	s.mu.Unlock()
	if block != nil {
		<-block
	}
	if !known {
		return &AcquireReply{Refused: RefusedNotScheduler}
	}
	return &AcquireReply{Server: "s0/7", Grant: 1<<53 + 1}
}

func (s *slotServer) Placed(_ *Session, list []Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = append(s.placed, list...)
}

func (s *slotServer) Undecodable(*Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undecodable++
}

// inSchedulingNetwork runs a test with entries a and b that grant slots, b with the given server and
// half a processor.
func inSchedulingNetwork(t *testing.T, test func(is *is.I, network *memnet.Network, a, b *entry, server *slotServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		server := &slotServer{open: map[*Session]bool{}}
		list := map[string]*entry{}
		for _, name := range []string{"a", "b"} {
			x := &Exchange{
				Self: Member{Name: name, Address: name + ":1", Hall: "h", Incarnation: runworks.Incarnation(name + "-life")},
				Dial: network.Dialer(name), Keys: rpc.FleetKeys{"key"},
			}
			x.Slots = &slotServer{open: map[*Session]bool{}}
			if name == "b" {
				x.Self.CPU, x.Slots = 0.5, server
			}
			list[name] = startWith(t, network, x)
		}
		a, b := list["a"], list["b"]
		a.SetMembers([]Member{a.Self, b.Self})
		time.Sleep(time.Second)
		test(is.New(t), network, a, b, server)
		for _, e := range list {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

// TestAcquireOverConnection carries a request, its reply and placements between two entries, and
// guards against wire fields that are lost on the way.
func TestAcquireOverConnection(t *testing.T) {
	inSchedulingNetwork(t, func(is *is.I, _ *memnet.Network, a, _ *entry, server *slotServer) {
		ctx := context.Background()
		r := &AcquireRequest{
			ID: "call", Service: "llm", Rank: 1, RouteRank: 2, Customer: "c", PromptTokens: 3, MaxTokens: 4, ExpectedTokens: 5,
			Resumed: true, Retry: true, Hall: "h", MaxGapMs: 400, TargetMs: -5, CallerMs: 2000, DeadlineMs: 3000, Exclude: []string{"s1/2"},
		}
		reply, err := a.Acquire(ctx, "b-life", r)
		is.NoErr(err)
		is.Equal(*reply, AcquireReply{Server: "s0/7", Grant: 1<<53 + 1})
		server.mu.Lock()
		is.Equal(server.request, *r)
		server.mu.Unlock()
		list := []Placement{
			{Grant: reply.Grant, Read: true, FirstMs: 12.5, Ended: "served", Gaps: &Gaps{N: 3, SumMs: 7.5, Late: 1}, Events: 4, ExpectedTokens: 9},
			{Canceled: "another"},
		}
		is.NoErr(a.SendPlacements(ctx, "b-life", list))
		time.Sleep(10 * time.Millisecond)
		server.mu.Lock()
		is.Equal(server.placed, list)
		server.mu.Unlock()
		_, err = a.Acquire(ctx, "unknown", r)
		is.True(err != nil)
	})
}

// TestUndecodableMessages guards against messages that are ignored without a trace, and against an entry
// that loses its connection, and all that it holds, because of one.
func TestUndecodableMessages(t *testing.T) {
	inSchedulingNetwork(t, func(is *is.I, _ *memnet.Network, a, b *entry, server *slotServer) {
		conn := a.connTo("b-life")
		is.True(conn.Call(context.Background(), MethodAcquire, map[string]any{"id": 7}, nil) != nil)
		is.NoErr(conn.Notify(context.Background(), MethodPlacements, map[string]any{"placements": []any{map[string]any{"grant": "x"}}}))
		time.Sleep(10 * time.Millisecond)
		server.mu.Lock()
		is.Equal(server.undecodable, 2)
		is.Equal(len(server.placed), 0)
		server.mu.Unlock()
		is.Equal(len(a.lostIDs())+len(b.lostIDs()), 0)
	})
}

// TestSchedulerState guards against an entry that is asked although it is stopping, silent or not
// connected.
func TestSchedulerState(t *testing.T) {
	inSchedulingNetwork(t, func(is *is.I, network *memnet.Network, a, b *entry, _ *slotServer) {
		only := func() PeerState {
			list := a.PeerStates()
			is.Equal(len(list), 1)
			is.Equal(a.LastSeen("b-life"), list[0].LastSeen)
			return list[0]
		}
		of := only()
		is.True(of.Schedules && of.Connected && !of.Stopping)
		is.Equal(of.Member, Member{Name: "b", Hall: "h", Incarnation: "b-life", CPU: 0.5})
		is.True(time.Since(of.LastSeen) <= idleInterval+5*time.Millisecond)
		b.setStopping()
		time.Sleep(2 * DefaultInterval)
		is.True(only().Stopping && only().Schedules)
		network.Partition("a", "b")
		time.Sleep(time.Second)
		is.True(time.Since(only().LastSeen) >= time.Second)
		time.Sleep(time.Second)
		is.Equal(a.LastSeen("b-life"), time.Time{})
	})
}

// TestStopWithPreviousVersion guards against frames that a previous version can't decode, which would
// close its connection again and again: it is not told of the stop and stays connected.
func TestStopWithPreviousVersion(t *testing.T) {
	inSchedulingNetwork(t, func(is *is.I, network *memnet.Network, a, b *entry, _ *slotServer) {
		previous := startEntry(t, network, "previous", "key")
		previous.SetMembers([]Member{b.Self})
		time.Sleep(time.Second)
		for _, one := range b.PeerStates() {
			is.Equal(one.Schedules, one.Name == "a")
		}
		b.setStopping()
		b.setRunning(3)
		time.Sleep(time.Second)
		is.Equal(previous.runningAt("b"), 3)
		is.Equal(len(previous.lostIDs())+len(b.lostIDs()), 0)
		is.True(!previous.PeerStates()[0].Stopping)
		is.True(a.PeerStates()[0].Stopping)
		previous.cancel()
		_ = previous.server.Close()
	})
}

// TestLostConnectionEndsSession guards against a request that waits at a lost connection, and against
// a session that outlives its connection: the close ends the call, and both sides are notified before
// the connection is opened again.
func TestLostConnectionEndsSession(t *testing.T) {
	inSchedulingNetwork(t, func(is *is.I, network *memnet.Network, a, _ *entry, server *slotServer) {
		server.mu.Lock()
		server.block = make(chan struct{})
		server.mu.Unlock()
		failed := make(chan error, 1)
		go func() {
			_, err := a.Acquire(context.Background(), "b-life", &AcquireRequest{ID: "waits"})
			failed <- err
		}()
		time.Sleep(10 * time.Millisecond)
		network.Reset("a", "b")
		time.Sleep(5 * time.Millisecond)
		is.True(<-failed != nil)
		is.Equal(a.lostIDs(), []runworks.Incarnation{"b-life"})
		close(server.block)
		time.Sleep(time.Second)
		server.mu.Lock()
		defer server.mu.Unlock()
		is.Equal(server.events, []string{"opened a", "closed a", "opened a"})
	})
}
