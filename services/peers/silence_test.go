package peers

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// TestEntriesHearEachOtherAfterSilence guards against an entry that is never heard again because the
// connection on which it sends carries nothing any more, in one direction or both, once or repeatedly.
func TestEntriesHearEachOtherAfterSilence(t *testing.T) {
	const heardWithin = minPeerTimeout + 2*idleInterval
	for _, from := range []string{"a", "b", ""} {
		inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
			for running := 1; running <= 3; running++ {
				network.Silence(func(opener, _ string) bool { return from == "" || opener == from })
				time.Sleep(time.Duration(running) * 70 * time.Millisecond)
				a.setRunning(running)
				b.setRunning(running)
				time.Sleep(heardWithin)
				is.Equal([]int{a.runningAt("b"), b.runningAt("a")}, []int{running, running})
				is.Equal([]int{a.LiveCount(), b.LiveCount()}, []int{1, 1})
				is.Equal(network.Connections(), 2) // no end of a silent one is left open
			}
		})
	}
}

// TestConnectionsStayOpen guards against connections that are opened again though they work.
func TestConnectionsStayOpen(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		time.Sleep(time.Minute)
		is.Equal([]int{a.handshakeCount(), b.handshakeCount()}, []int{1, 1})
	})
}

// dialStuck returns a dial function that reaches at address an entry which accepts connections and then
// reads nothing from them, and all others by dial.
func dialStuck(address string, dial rpc.DialFunc) rpc.DialFunc {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		if to != address {
			return dial(ctx, network, to)
		}
		local, remote := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
				_, _ = io.WriteString(remote, "HTTP/1.1 101 Switching Protocols\r\n"+rpc.FramesHeader+": 2\r\n\r\n")
			}
		}()
		return local, nil
	}
}

// TestStuckEntryDelaysNoHeartbeat guards against an entry that others do not hear while it sends its state to
// one which does not read.
func TestStuckEntryDelaysNoHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		a := startWith(t, network, &Exchange{
			Self: Member{Name: "a", Address: "a:1", Incarnation: "a-life"},
			Dial: dialStuck("stuck:1", network.Dialer("a")), Keys: rpc.FleetKeys{"key"},
		})
		b := startEntry(t, network, "b", "key")
		a.SetMembers([]Member{b.Self, {Name: "stuck", Address: "stuck:1", Incarnation: "stuck-life"}})
		time.Sleep(time.Second)
		for running := range 50 {
			a.setRunning(running)
			time.Sleep(2 * DefaultInterval)
			is.Equal(b.runningAt("a"), running)
		}
		endNetwork(network, a, b)
	})
}

// TestLateEntryIsNotConnectedAgain guards against connections to an entry short of processor that are opened
// again and again as it sends late, which delays it further.
func TestLateEntryIsNotConnectedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		a := startEntry(t, network, "a", "key")
		late := startWithInterval(t, network, 2*time.Second, "late", "late", "key", "late-life")
		a.SetMembers([]Member{late.Self})
		for range 60 {
			late.Exchange.mu.Lock()
			late.sentLateAt = time.Now()
			late.Exchange.mu.Unlock()
			time.Sleep(time.Second)
		}
		// Those of the start, and one of a before it knows that the other one is late.
		is.True(a.handshakeCount()+late.handshakeCount() <= 3)
		late.setRunning(5)
		time.Sleep(3 * time.Second)
		is.Equal(a.runningAt("late"), 5)
		endNetwork(network, a, late)
	})
}

// TestStartingEntryIsNotConnectedAgain guards against a starting entry that gets to nothing, as all others connect
// to it again and send it their whole state each time that they have not heard it for 1.5 s.
func TestStartingEntryIsNotConnectedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		l, err := network.Listen("starting:1")
		is.NoErr(err)
		var accepted atomic.Int64
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // a test's server
			time.Sleep(1500 * time.Millisecond)
			if stream, err := rpc.Accept(w, r); err == nil {
				accepted.Add(1)
				_, _ = io.Copy(io.Discard, stream)
			}
		})}
		go func() { _ = server.Serve(l) }()
		a := startEntry(t, network, "a", "key")
		a.SetMembers([]Member{{Name: "starting", Address: "starting:1", Incarnation: "starting-life"}})
		time.Sleep(20 * time.Second)
		is.True(accepted.Load() > 1) // a connection may be silent for good
		is.True(accepted.Load() <= 3)
		_ = server.Close()
		endNetwork(network, a)
	})
}

// TestLateSendIsRecorded checks that an entry knows when it sends so late that others may take it for silent.
func TestLateSendIsRecorded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	x := Exchange{Logger: hclog.New(&hclog.LoggerOptions{Output: &out})}
	now := time.Now()
	x.recordSend(now)
	x.recordSend(now.Add(idleInterval))
	is.True(x.sentLateAt.IsZero())
	is.True(!x.sendsLateLocked(now))
	now = now.Add(minPeerTimeout)
	is.True(x.sendsLateLocked(now)) // while the late one is still to be sent
	x.recordSend(now)
	is.Equal(x.sentLateAt, now)
	now = now.Add(minPeerTimeout)
	x.recordSend(now)
	is.Equal(strings.Count(out.String(), "heartbeats are sent late"), 1) // not one for each
	is.True(x.sendsLateLocked(now))
	now = now.Add(pauseMemory)
	x.sendAt = now
	is.True(!x.sendsLateLocked(now))
}

// TestUnreadMessagesAreNoSilence guards against an entry that takes all others for silent, and connects to
// them again, while it is itself late in reading what they sent.
func TestUnreadMessagesAreNoSilence(t *testing.T) {
	for _, unread := range []bool{false, true} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		dialed := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // a test's server
			if stream, err := rpc.Accept(w, r); err == nil && unread {
				<-dialed
				_, _ = stream.Write([]byte{200, 1}) // the length of a message
			}
		})}
		go func() { _ = server.Serve(l) }()
		stream, err := rpc.Dial(t.Context(), (&net.Dialer{}).DialContext, l.Addr().String(), rpc.FleetKeys{"key"})
		is.NoErr(err)
		close(dialed)
		for unread && !stream.HasUnread() {
			runtime.Gosched()
		}
		outbound, err := rpc.Dial(t.Context(), (&net.Dialer{}).DialContext, l.Addr().String(), rpc.FleetKeys{"key"})
		is.NoErr(err)
		conn := rpc.ServeFrames(t.Context(), outbound, rejectCall, nil)
		old := time.Now().Add(-time.Minute)
		x := &Exchange{
			Logger: hclog.NewNullLogger(), OnUnreachable: func(runworks.Incarnation) {},
			links:        map[string]*link{"b": {conn: conn, heardAt: old, openedAt: old}},
			inbounds:     map[runworks.Incarnation]*inbound{"b-life": {stream: stream}},
			incarnations: map[string]runworks.Incarnation{"b": "b-life"},
			peers:        map[runworks.Incarnation]*peerState{"b-life": {name: "b", lastSeen: old}},
		}
		x.closeUnheard(time.Now())
		x.removeTimedOut(time.Now())
		is.Equal(x.links["b"].unheard > 0, !unread)
		is.Equal(x.LiveCount() == 1, unread)
		is.NoErr(stream.Close())
		is.NoErr(server.Close())
		_ = conn.Close()
	}
}
