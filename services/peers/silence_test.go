package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
