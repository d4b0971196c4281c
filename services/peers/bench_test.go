package peers

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// BenchmarkHeartbeat sends the heartbeat of an entry under load to another one, which processes
// it.
func BenchmarkHeartbeat(b *testing.B) {
	is := is.New(b)
	network := memnet.New(0)
	defer network.Close()
	to := startEntry(b, network, "b", "key")
	defer to.cancel()
	beat := loadedHeartbeat()
	from := &Exchange{
		Self: beat.From, Dial: network.Dialer("a"), Keys: rpc.FleetKeys{"key"}, Logger: hclog.NewNullLogger(),
		Heartbeat: func() Heartbeat { return Heartbeat{} }, LimitSnapshot: func() runworks.LimitUse { return runworks.LimitUse{} },
	}
	from.SetMembers([]Member{to.Self})
	for !from.Connected("b") {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		beat.RoutingVersion++
		data, err := from.encoder.encode(beat)
		is.NoErr(err)
		near, _ := from.conns()
		from.sendTo(context.Background(), near, data, beat)
		for to.routingVersionOf(beat.From.Incarnation) != beat.RoutingVersion {
			runtime.Gosched()
		}
	}
}

// routingVersionOf returns the routing version that an incarnation last sent to the entry.
func (e *entry) routingVersionOf(incarnation runworks.Incarnation) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[incarnation].RoutingVersion
}

// loadedHeartbeat returns a heartbeat as a large installation sends it under load.
func loadedHeartbeat() *Heartbeat {
	b := &Heartbeat{
		From:      Member{Name: "a", Address: "a:1", Incarnation: runworks.NewIncarnation()},
		Positions: map[Subject]runworks.Position{SubjectRouting: {Era: 1, Offset: 12}, SubjectServers: {Era: 1, Offset: 1234}},
	}
	b.Load = runworks.EntryLoad{Running: runworks.RunningCalls{}, Waiting: runworks.WaitingCalls{"llm": {Rank: 2, Calls: 14}}}
	b.Load.ConsecutiveFailures, b.Load.UnreadPromptTokens = map[string]int{}, map[string]int{}
	for i := range 12 {
		b.Load.Running[fmt.Sprintf("i-71af67%04x", i)] = 1
	}
	b.Limits = runworks.LimitUse{Version: 1234, Customers: map[string]runworks.CustomerUse{}}
	for i := range 20 {
		b.Limits.Customers[fmt.Sprintf("customer-%d", i)] = runworks.CustomerUse{
			Consumed: 123456 + float64(i), ConsumedInWindow: 23456, Reserved: 3456,
		}
	}
	return b
}
