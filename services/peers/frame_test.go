package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// wholeBeat is a heartbeat with something in each field that a frame carries.
func wholeBeat() *Heartbeat {
	b := busyBeat()
	b.RoutingVersion = 17
	b.Load.ConsecutiveFailures = map[string]int{"i-failed": 3}
	b.Load.UnreadPromptTokens = map[string]int{"i-reading": 5000}
	b.Load.Ejected = []string{"i-left-out", "i-failed"}
	b.StoreLost = true
	b.Changes = []Change{{Subject: SubjectServers, From: runworks.Position{Era: 2, Offset: 3}, Next: runworks.Position{Era: 2, Offset: 5}, Records: []runworks.Record{{Key: "i-new", Value: []byte("{}")}, {Key: "i-gone", Value: []byte{}}}}}
	b.Limits.RecordsWritten, b.Limits.Complete = 4, true
	b.Limits.Customers["fraction"] = runworks.CustomerUse{Consumed: 0.25, ConsumedInWindow: 1e9, Reserved: -1}
	return b
}

// TestFrames reads a heartbeat back as it was, names told once, and numbered anew when
// there are too many.
func TestFrames(t *testing.T) {
	is := is.New(t)
	var e encoder
	want := wholeBeat()
	c := decoder{from: want.From}
	first, err := e.encode(want)
	is.NoErr(err)
	got, err := c.decode(first)
	is.NoErr(err)
	is.Equal(got, want)
	second, err := e.encode(want)
	is.NoErr(err)
	is.True(3*len(second) < 2*len(first))
	again, err := e.encode(want)
	is.NoErr(err)
	is.Equal(second, again) // what says the same looks the same
	got, err = c.decode(second)
	is.NoErr(err)
	is.Equal(got, want)
	for i := range maxNames {
		want.Load.Running = runworks.RunningCalls{fmt.Sprint("s", i): 1}
		data, err := e.encode(want)
		is.NoErr(err)
		got, err = c.decode(data)
		is.NoErr(err)
		is.Equal(got.Load.Running, want.Load.Running)
	}
	is.True(len(c.names) < maxNames)
}

// TestBadFrames refuses what can't be a heartbeat of this connection, so that it begins
// anew.
func TestBadFrames(t *testing.T) {
	is := is.New(t)
	var e encoder
	b := wholeBeat()
	first, err := e.encode(b)
	is.NoErr(err)
	second, err := e.encode(b)
	is.NoErr(err)
	_, err = (&decoder{}).decode(first) // before the greeting
	is.True(err != nil)
	_, err = (&decoder{from: b.From}).decode(second) // its names were told before
	is.True(err != nil)
	for n := range first {
		_, err = (&decoder{from: b.From}).decode(first[:n])
		is.True(err != nil)
	}
	x := &hearing{Exchange: &Exchange{Logger: hclog.NewNullLogger()}}
	is.True(x.takeFrame(second) != nil)
}

// TestLateEntryKnowsTheNames connects an entry when names have long been told.
func TestLateEntryKnowsTheNames(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, _ *entry) {
		a.tell(4)
		time.Sleep(time.Second)
		late := startEntry(t, network, "late", "key-of-the-fleet")
		late.SetMembers([]Member{a.Self})
		time.Sleep(time.Second)
		a.tell(5)
		time.Sleep(2 * DefaultInterval)
		is.Equal(late.runsAt("a"), 5)
		late.mu.Lock()
		is.Equal(late.greetings, 1) // by its heartbeat, not as the connection began anew
		late.mu.Unlock()
		late.cancel()
		_ = late.server.Close()
	})
}

// TestOlderVersionHears tells an entry that reads no frames by JSON-RPC, and hears one.
func TestOlderVersionHears(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, _ *entry) {
		heard := make(chan Heartbeat, 1000)
		l, err := network.Listen("old:1")
		is.NoErr(err)
		older := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // a test's server
			r.Header.Del(rpc.FramesHeader) // an older version neither knows nor answers it
			stream, err := rpc.Accept(w, r)
			if err != nil {
				return
			}
			<-rpc.Serve(context.Background(), stream, func(_ context.Context, method string, params json.RawMessage) (any, error) {
				var b Heartbeat
				err := json.Unmarshal(params, &b)
				if method == MethodHeartbeat {
					heard <- b
				}
				return nil, err
			}).DisconnectNotify()
		})}
		go func() { _ = older.Serve(l) }()
		a.SetMembers([]Member{{Name: "old", Address: "old:1"}})
		time.Sleep(time.Second)
		a.tell(6)
		time.Sleep(2 * DefaultInterval)
		var last Heartbeat
		for len(heard) > 0 {
			last = <-heard
		}
		is.Equal(last.Load.Running["s"], 6)
		is.Equal(last.From.Name, "a")

		conn := rpc.Serve(context.Background(), dialled(is, network), refuse)
		beat := Heartbeat{From: Member{Name: "old", Address: "old:1", Incarnation: "old-life"}, Load: runworks.EntryLoad{Running: runworks.RunningCalls{"s": 8}}}
		is.NoErr(conn.Notify(context.Background(), MethodHandshake, beat))
		is.NoErr(conn.Notify(context.Background(), MethodHeartbeat, beat))
		synctest.Wait()
		time.Sleep(DefaultInterval)
		is.Equal(a.runsAt("old"), 8)
		_ = conn.Close()
		_ = older.Close()
	})
}

func dialled(is *is.I, network *memnet.Network) *rpc.Stream {
	stream, err := rpc.Dial(context.Background(), network.Dialer("old"), "a:1", rpc.FleetKeys{"key-of-the-fleet"})
	is.NoErr(err)
	return stream
}

// TestQuietEntriesStayHeard lets entries of a large fleet, whose heartbeats are further
// apart, have nothing new to tell: none counts as gone.
func TestQuietEntriesStayHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var list []*entry
		for _, name := range []string{"a", "b"} {
			const every = 720 * time.Millisecond // 360 entries
			e := startEvery(t, network, every, name, name, "key", name+"-life")
			list = append(list, e)
		}
		list[0].SetMembers([]Member{list[1].Self})
		time.Sleep(20 * time.Second)
		for _, e := range list {
			is.Equal(len(e.gone), 0)
			is.Equal(e.LiveCount(), 1)
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}
