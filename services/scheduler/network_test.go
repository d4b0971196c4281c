package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
	"github.com/runworks/runworks/standin/memnet"
)

// fleetSlots is the number of slots of s0, the only server in tests with a network: too few for the
// dispatcher to keep some free of calls of a rank.
const fleetSlots = 3

// front is a front under test, assembled as package daemon does.
type front struct {
	exchange   *peers.Exchange
	dispatcher *dispatch.Dispatcher
	client     *Client
	server     *Server
	stopping   atomic.Bool
	http       *http.Server
	cancel     context.CancelFunc
}

// startFront starts a front on the host of the same name; one of a previous version does not schedule.
func startFront(t testing.TB, network *memnet.Network, name, incarnation string, cpu float64, previous bool) *front {
	t.Helper()
	l, err := network.Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	self := peers.Member{Name: name, Address: name + ":1", Hall: "a", Incarnation: runworks.Incarnation(incarnation), CPU: cpu}
	return newFront(t, l, network.Dialer(name), self, previous)
}

// startTCPFront starts a front on a port of this host.
func startTCPFront(t testing.TB, name string, cpu float64) *front {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := peers.Member{Name: name, Address: l.Addr().String(), Hall: "a", Incarnation: runworks.Incarnation(name + "-life"), CPU: cpu}
	return newFront(t, l, (&net.Dialer{}).DialContext, self, false)
}

func newFront(t testing.TB, l net.Listener, dial rpc.DialFunc, self peers.Member, previous bool) *front {
	t.Helper()
	set, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &front{}
	f.dispatcher = &dispatch.Dispatcher{Hall: "a", Self: self.Incarnation}
	f.dispatcher.SetServers([]runworks.Instance{{ID: "s0", Service: "llm", Hall: "a", Slots: fleetSlots}})
	f.server = &Server{Dispatcher: f.dispatcher, Ready: func() bool { return true }, Logger: hclog.NewNullLogger(), Metrics: set}
	f.exchange = &peers.Exchange{
		Self: self, Dial: dial, Keys: rpc.FleetKeys{"key"}, Logger: hclog.NewNullLogger(),
		Heartbeat: func() peers.Heartbeat {
			return peers.Heartbeat{Load: f.dispatcher.LocalLoad(), Stopping: f.stopping.Load()}
		},
		LimitUpdates:  func() runworks.LimitUse { return runworks.LimitUse{} },
		LimitSnapshot: func() runworks.LimitUse { return runworks.LimitUse{} },
		OnHandshake:   func(time.Time, *peers.Heartbeat) {},
		OnHeartbeat: func(_ time.Time, b *peers.Heartbeat) {
			f.dispatcher.SetPeerLoad(b.From.Incarnation, b.Load)
		},
		OnUnreachable: func(id runworks.Incarnation) {
			f.dispatcher.MarkPeerUnreachable(id)
			f.server.Lost(id)
			f.client.Disconnected(id)
		},
		OnReplaced: func(id runworks.Incarnation) {
			f.dispatcher.RemovePeer(id)
			f.server.Lost(id)
			f.client.Disconnected(id)
		},
	}
	f.client = &Client{
		Self: self, Dispatcher: f.dispatcher, Transport: f.exchange, Scheduled: func(string) bool { return !previous }, Stopping: f.stopping.Load,
		Logger: hclog.NewNullLogger(), Metrics: set,
	}
	if !previous {
		f.exchange.Slots, f.exchange.OnDisconnected = f.server, f.client.Disconnected
	}
	f.http = &http.Server{Handler: f.exchange} //nolint:gosec // a test's server
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	go func() { _ = f.http.Serve(l) }()
	for _, run := range []func(context.Context){f.exchange.Run, f.dispatcher.Run, f.client.Run} {
		go run(ctx)
	}
	return f
}

// kill stops a front as if its process was killed.
func (f *front) kill() {
	f.cancel()
	_ = f.http.Close()
}

// fleet is a set of fronts that know each other, by name.
type fleet struct {
	is      *is.I
	t       *testing.T
	network *memnet.Network
	fronts  map[string]*front
}

// withFleet runs a test with the fronts a, b and c, of which b is the largest and c the next.
func withFleet(t *testing.T, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{is: is.New(t), t: t, network: memnet.New(time.Millisecond), fronts: map[string]*front{}}
		defer func() {
			for _, one := range f.fronts {
				one.kill()
			}
			f.network.Close()
			time.Sleep(time.Minute)
		}()
		for name, cpu := range map[string]float64{"a": 0.1, "b": 0.8, "c": 0.4} {
			f.start(name, name+"-life", cpu, false)
		}
		time.Sleep(time.Second)
		test(f)
	})
}

// start starts a front that knows the others.
func (f *fleet) start(name, incarnation string, cpu float64, previous bool) {
	f.fronts[name] = startFront(f.t, f.network, name, incarnation, cpu, previous)
	var members []peers.Member
	for _, other := range f.fronts {
		members = append(members, other.exchange.Self)
	}
	for _, other := range f.fronts {
		other.exchange.SetMembers(members)
	}
}

// call acquires a slot in the background.
func (f *fleet) call(name, id string) <-chan result {
	c := &clientTest{Client: f.fronts[name].client}
	return c.start(context.Background(), request(id))
}

// mustCall returns a slot that must be granted within the round trip.
func (f *fleet) mustCall(name, id string) *dispatch.Lease {
	f.t.Helper()
	r := <-f.call(name, id)
	f.is.NoErr(r.err)
	if r.after > 5*time.Millisecond {
		f.t.Errorf("call %s waited %s", id, r.after)
	}
	return r.lease
}

// counts returns the running calls that each front counts itself, after the next heartbeats.
func (f *fleet) counts() map[string]int {
	time.Sleep(2*peers.DefaultInterval + batchTime)
	out := map[string]int{}
	for name, one := range f.fronts {
		if n := one.dispatcher.LocalLoad().Running["s0"]; n > 0 {
			out[name] = n
		}
	}
	return out
}

// known checks that each front knows of n running calls.
func (f *fleet) known(n int) {
	f.t.Helper()
	for name, one := range f.fronts {
		s := one.dispatcher.ServerStatuses()[0]
		own := one.dispatcher.LocalLoad().Running["s0"]
		if own+s.PeerCalls != n {
			f.t.Errorf("%s counts %d calls itself and %d of others, not %d in all", name, own, s.PeerCalls, n)
		}
	}
}

// TestFleetSharesSlots guards against fronts that collide: calls of three fronts get as many slots as
// there are, at once, and the others wait in one queue by rank.
func TestFleetSharesSlots(t *testing.T) {
	withFleet(t, func(f *fleet) {
		var running []*dispatch.Lease
		for i, name := range []string{"a", "b", "c"} {
			running = append(running, f.mustCall(name, fmt.Sprint("running-", i)))
		}
		f.is.Equal(f.counts(), map[string]int{"b": fleetSlots})
		f.known(fleetSlots)
		low := request("low")
		low.RouteRank, low.Target = 2, time.Now().Add(10*time.Second)
		second := (&clientTest{Client: f.fronts["c"].client}).start(context.Background(), low)
		time.Sleep(50 * time.Millisecond)
		high := request("high")
		high.Target = low.Target
		first := (&clientTest{Client: f.fronts["a"].client}).start(context.Background(), high)
		time.Sleep(50 * time.Millisecond)
		running[0].RecordFirstEvent(9000)
		running[0].Release(dispatch.Served)
		r := <-first
		f.is.NoErr(r.err)
		f.is.Equal(len(second), 0)
		f.is.Equal(f.counts(), map[string]int{"b": fleetSlots})
		r.lease.Release(dispatch.Served)
		r = <-second
		f.is.NoErr(r.err)
		r.lease.Release(dispatch.Served)
		for _, lease := range running[1:] {
			lease.Release(dispatch.Served)
		}
		f.is.Equal(f.counts(), map[string]int{})
		f.known(0)
		f.is.Equal(f.fronts["b"].server.Held(), 0)
	})
}

// TestSchedulerKilled guards against calls that are lost, or count twice or not at all, when the
// scheduler is killed: waiting ones continue at their fronts, and the next scheduler is asked.
func TestSchedulerKilled(t *testing.T) {
	withFleet(t, func(f *fleet) {
		var running []*dispatch.Lease
		for i, name := range []string{"a", "c", "a"} {
			running = append(running, f.mustCall(name, fmt.Sprint("running-", i)))
		}
		time.Sleep(100 * time.Millisecond)
		waiting := f.call("a", "waiting")
		time.Sleep(10 * time.Millisecond)
		f.fronts["b"].kill()
		f.network.CloseListener("b:1")
		f.network.Reset("a", "b")
		f.network.Reset("c", "b")
		delete(f.fronts, "b")
		time.Sleep(5 * time.Millisecond)
		f.is.Equal(f.fronts["a"].dispatcher.WaitingCalls()["llm"], 1)
		f.is.Equal(f.counts(), map[string]int{"a": 2, "c": 1})
		f.known(fleetSlots)
		running[0].Release(dispatch.Served)
		r := <-waiting
		f.is.NoErr(r.err)
		r.lease.Release(dispatch.Served)
		f.is.Equal(f.counts(), map[string]int{"a": 1, "c": 1})
		next := f.mustCall("a", "next")
		f.is.Equal(f.fronts["a"].client.Schedulers()["llm"], "c")
		f.is.Equal(f.counts(), map[string]int{"a": 1, "c": 2})
		f.known(fleetSlots)
		next.Release(dispatch.Served)
		for _, lease := range running[1:] {
			lease.Release(dispatch.Served)
		}
		f.is.Equal(f.counts(), map[string]int{})
		f.known(0)
	})
}

// TestSchedulerPartitioned guards against calls that wait for a scheduler that can't be reached, and
// against calls that count twice after the partition, which may end before either side times out.
func TestSchedulerPartitioned(t *testing.T) {
	for _, duration := range []time.Duration{700 * time.Millisecond, 5 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				lease := f.mustCall("a", "running")
				f.is.Equal(f.counts(), map[string]int{"b": 1})
				f.network.Partition("a", "b")
				r := <-f.call("a", "waiting")
				f.is.NoErr(r.err)
				f.is.True(r.after <= silenceTimeout+watchInterval)
				f.is.Equal(f.fronts["a"].dispatcher.LocalLoad().Running["s0"], 2)
				time.Sleep(duration - r.after)
				f.network.Heal("a", "b")
				time.Sleep(3 * time.Second)
				f.is.Equal(f.counts(), map[string]int{"a": 2})
				f.known(2)
				lease.Release(dispatch.Served)
				r.lease.Release(dispatch.Served)
				f.is.Equal(f.counts(), map[string]int{})
				f.known(0)
				f.is.Equal(f.fronts["b"].server.Held(), 0)
				lease = f.mustCall("a", "again")
				f.is.Equal(f.counts(), map[string]int{"b": 1})
				lease.Release(dispatch.Served)
			})
		})
	}
}

// TestSchedulerStops guards against calls that ask a front that is stopping, and against reports that
// it no longer gets.
func TestSchedulerStops(t *testing.T) {
	withFleet(t, func(f *fleet) {
		running := f.mustCall("a", "running")
		f.fronts["b"].stopping.Store(true)
		time.Sleep(100 * time.Millisecond)
		for _, name := range []string{"a", "b"} {
			next := f.mustCall(name, "next of "+name)
			f.is.Equal(f.fronts[name].client.Schedulers()["llm"], "c")
			f.is.Equal(f.counts(), map[string]int{"b": 1, "c": 1})
			next.Release(dispatch.Served)
		}
		running.Release(dispatch.Served)
		f.is.Equal(f.counts(), map[string]int{})
	})
}

// TestSenderKilled guards against slots that stay taken by a front that is gone, or by its previous
// incarnation: they are free after the peer timeout, or once the next incarnation is heard.
func TestSenderKilled(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart=", restart), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				for i := range fleetSlots {
					f.mustCall("a", fmt.Sprint("running-", i))
				}
				lost := f.call("a", "lost")
				time.Sleep(10 * time.Millisecond)
				waiting := f.call("c", "waiting")
				time.Sleep(10 * time.Millisecond)
				f.fronts["a"].kill()
				f.network.CloseListener("a:1")
				f.network.Reset("a", "b")
				f.network.Reset("a", "c")
				delete(f.fronts, "a")
				longest := 2 * time.Second
				if restart {
					f.start("a", "a-second-life", 0.1, false)
					longest = 200 * time.Millisecond
				}
				r := <-waiting
				f.is.NoErr(r.err)
				f.is.True(r.after <= longest)
				f.is.Equal(f.counts(), map[string]int{"b": 1})
				f.known(1)
				f.is.Equal(f.fronts["b"].dispatcher.WaitingCalls()["llm"], 0)
				r.lease.Release(dispatch.Served)
				if r := <-lost; r.lease != nil { // it continued at the killed front
					r.lease.Release(dispatch.Abandoned)
				}
			})
		})
	}
}

// TestSlowSender guards against calls that count nowhere: the scheduler takes a front for lost that was
// only slow, and frees its slots, while the front hears the scheduler and goes on.
func TestSlowSender(t *testing.T) {
	withFleet(t, func(f *fleet) {
		lease := f.mustCall("a", "running")
		f.is.Equal(f.counts(), map[string]int{"b": 1})
		f.fronts["b"].exchange.OnUnreachable("a-life")
		f.is.Equal(f.fronts["b"].dispatcher.LocalLoad().Running["s0"], 0)
		time.Sleep(time.Second)
		f.is.Equal(f.counts(), map[string]int{"a": 1})
		f.known(1)
		lease.Release(dispatch.Served)
		lease = f.mustCall("a", "next")
		f.is.Equal(f.counts(), map[string]int{"b": 1})
		f.known(1)
		lease.Release(dispatch.Served)
	})
}

// TestPreviousVersionBeside guards against a rolling upgrade in which calls count wrongly: a front of
// the previous version, larger than all, is not asked, and its calls are known by heartbeat.
func TestPreviousVersionBeside(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.start("previous", "previous-life", 2, true)
		time.Sleep(time.Second)
		own := f.mustCall("previous", "own")
		f.is.Equal(f.counts(), map[string]int{"previous": 1})
		f.known(1)
		var leases []*dispatch.Lease
		for i := range fleetSlots - 1 {
			leases = append(leases, f.mustCall("a", fmt.Sprint(i)))
		}
		f.is.Equal(f.counts(), map[string]int{"previous": 1, "b": fleetSlots - 1})
		f.known(fleetSlots)
		waiting := f.call("a", "waiting")
		time.Sleep(100 * time.Millisecond)
		f.is.Equal(len(waiting), 0)
		own.Release(dispatch.Served)
		r := <-waiting
		f.is.NoErr(r.err)
		for _, lease := range append(leases, r.lease) {
			lease.Release(dispatch.Served)
		}
		f.is.Equal(f.counts(), map[string]int{})
	})
}

// TestCallerLeavesQueue guards against a place in the scheduler's queue that outlives its caller.
func TestCallerLeavesQueue(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for i := range fleetSlots {
			f.mustCall("a", fmt.Sprint("running-", i))
		}
		left := errors.New("the caller left")
		ctx, leave := context.WithCancelCause(context.Background())
		waiting := (&clientTest{Client: f.fronts["a"].client}).start(ctx, request("waiting"))
		time.Sleep(10 * time.Millisecond)
		f.is.Equal(f.fronts["b"].dispatcher.WaitingCalls()["llm"], 1)
		leave(left)
		f.is.True(errors.Is((<-waiting).err, left))
		time.Sleep(batchTime + 5*time.Millisecond)
		f.is.Equal(f.fronts["b"].dispatcher.WaitingCalls()["llm"], 0)
		f.is.Equal(f.counts(), map[string]int{"b": fleetSlots})
	})
}

// BenchmarkScheduledCall measures one scheduled call at the front and at the scheduler together, over
// TCP: request, grant, first event, gaps and end. cpu-ns/op is the processor time of both. A tenth of a
// core at 600 calls per second is 167,000 ns for the scheduler alone.
func BenchmarkScheduledCall(b *testing.B) {
	from, to := startTCPFront(b, "a", 0.1), startTCPFront(b, "b", 0.8)
	defer from.kill()
	defer to.kill()
	members := []peers.Member{from.exchange.Self, to.exchange.Self}
	from.exchange.SetMembers(members)
	to.exchange.SetMembers(members)
	for len(from.exchange.PeerStates())+len(to.exchange.PeerStates()) < 2 || !from.exchange.Connected("b") {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	before := processorTime(b)
	var n atomic.Int64
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			lease, err := from.client.Acquire(context.Background(), request(fmt.Sprint(n.Add(1))))
			if err != nil {
				b.Error(err)
				return
			}
			lease.RecordFirstEvent(9000)
			for range 10 {
				lease.RecordEventGap(time.Millisecond)
			}
			lease.Release(dispatch.Served)
		}
	})
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		b.Fatal(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
