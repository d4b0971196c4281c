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

// fullHeartbeat returns a heartbeat with a value in each field that a frame carries.
func fullHeartbeat() *Heartbeat {
	b := loadedHeartbeat()
	b.RoutingVersion = 17
	b.Load.ConsecutiveFailures = map[string]int{"i-failed": 3}
	b.Load.UnreadPromptTokens = map[string]int{"i-reading": 5000}
	b.Load.Ejected = []string{"i-ejected", "i-failed"}
	b.StoreLost = true
	b.Changes = []Change{{
		Subject: SubjectServers,
		From:    runworks.Position{Era: 2, Offset: 3},
		Next:    runworks.Position{Era: 2, Offset: 5},
		Records: []runworks.Record{{Key: "i-new", Value: []byte("{}")}, {Key: "i-gone", Value: []byte{}}},
	}}
	b.Limits.RecordsWritten, b.Limits.Complete = 4, true
	b.Limits.Customers["fraction"] = runworks.CustomerUse{Consumed: 0.25, ConsumedInWindow: 1e9, Reserved: -1}
	return b
}

// TestFrames decodes frames to equal heartbeats. Names are sent once, and renumbered when there
// are more than maxNames.
func TestFrames(t *testing.T) {
	is := is.New(t)
	var e encoder
	want := fullHeartbeat()
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
	is.Equal(second, again) // equal heartbeats have equal frames
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

// TestBadFrames checks that invalid frames are rejected, so that the connection is closed.
func TestBadFrames(t *testing.T) {
	is := is.New(t)
	var e encoder
	b := fullHeartbeat()
	first, err := e.encode(b)
	is.NoErr(err)
	second, err := e.encode(b)
	is.NoErr(err)
	_, err = (&decoder{}).decode(first) // before the handshake
	is.True(err != nil)
	_, err = (&decoder{from: b.From}).decode(second) // its names were sent in the first frame
	is.True(err != nil)
	for n := range first {
		_, err = (&decoder{from: b.From}).decode(first[:n])
		is.True(err != nil)
	}
	x := &inbound{Exchange: &Exchange{Logger: hclog.NewNullLogger()}}
	is.True(x.handleFrame(second) != nil)
}

// TestLateEntryKnowsNames connects an entry after names were sent in frames to others. It must
// learn them from its handshake.
func TestLateEntryKnowsNames(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, _ *entry) {
		a.setRunning(4)
		time.Sleep(time.Second)
		late := startEntry(t, network, "late", "key-of-the-fleet")
		late.SetMembers([]Member{a.Self})
		time.Sleep(time.Second)
		a.setRunning(5)
		time.Sleep(2 * DefaultInterval)
		is.Equal(late.runningAt("a"), 5)
		late.mu.Lock()
		is.Equal(late.handshakes, 1) // by the heartbeat, not by a second handshake
		late.mu.Unlock()
		late.cancel()
		_ = late.server.Close()
	})
}

// TestOlderVersionWithoutFrames exchanges heartbeats as JSON-RPC with an entry that does not
// support frames.
func TestOlderVersionWithoutFrames(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, _ *entry) {
		received := make(chan Heartbeat, 1000)
		l, err := network.Listen("old:1")
		is.NoErr(err)
		older := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // a test's server
			r.Header.Del(rpc.FramesHeader) // an older version does not know the header
			stream, err := rpc.Accept(w, r)
			if err != nil {
				return
			}
			<-rpc.Serve(context.Background(), stream, func(_ context.Context, method string, params json.RawMessage) (any, error) {
				var b Heartbeat
				err := json.Unmarshal(params, &b)
				if method == MethodHeartbeat {
					received <- b
				}
				return nil, err
			}).DisconnectNotify()
		})}
		go func() { _ = older.Serve(l) }()
		a.SetMembers([]Member{{Name: "old", Address: "old:1"}})
		time.Sleep(time.Second)
		a.setRunning(6)
		time.Sleep(2 * DefaultInterval)
		var last Heartbeat
		for len(received) > 0 {
			last = <-received
		}
		is.Equal(last.Load.Running["s"], 6)
		is.Equal(last.From.Name, "a")

		conn := rpc.Serve(context.Background(), dialEntry(is, network), rejectCall)
		beat := Heartbeat{From: Member{Name: "old", Address: "old:1", Incarnation: "old-life"}, Load: runworks.EntryLoad{Running: runworks.RunningCalls{"s": 8}}}
		is.NoErr(conn.Notify(context.Background(), MethodHandshake, beat))
		is.NoErr(conn.Notify(context.Background(), MethodHeartbeat, beat))
		synctest.Wait()
		time.Sleep(DefaultInterval)
		is.Equal(a.runningAt("old"), 8)
		_ = conn.Close()
		_ = older.Close()
	})
}

func dialEntry(is *is.I, network *memnet.Network) *rpc.Stream {
	stream, err := rpc.Dial(context.Background(), network.Dialer("old"), "a:1", rpc.FleetKeys{"key-of-the-fleet"})
	is.NoErr(err)
	return stream
}

// TestIdleEntriesStayLive guards against the removal of live entries: in a large installation
// idle heartbeats are sent at a long interval.
func TestIdleEntriesStayLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var list []*entry
		for _, name := range []string{"a", "b"} {
			const interval = 720 * time.Millisecond // 360 entries
			e := startWithInterval(t, network, interval, name, name, "key", name+"-life")
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
