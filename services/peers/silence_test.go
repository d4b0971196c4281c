package peers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
		for _, e := range []*entry{a, b} {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}
