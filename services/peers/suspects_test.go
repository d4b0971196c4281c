package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin/memnet"
)

// receivedSuspects returns the fingerprints of the suspects that the entry received.
func (e *entry) receivedSuspects() []runworks.Fingerprint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects
}

// TestSendSuspects checks that a suspect arrives within several network delays, and that an entry
// that was unreachable receives all suspects with its next handshake.
func TestSendSuspects(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		a.SendSuspects(runworks.Suspect{Fingerprint: "f"})
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.receivedSuspects(), []runworks.Fingerprint{"f"})
		a.mu.Lock()
		a.knownSuspects = []runworks.Suspect{{Fingerprint: "f"}, {Fingerprint: "g"}}
		a.mu.Unlock()
		cutUntilTimeout(network)
		is.Equal(b.receivedSuspects(), []runworks.Fingerprint{"f", "f", "g"})
	})
}

// cutUntilTimeout cuts the connection of a and b until each timed out at the other, and restores
// it.
func cutUntilTimeout(network *memnet.Network) {
	network.Partition("a", "b")
	time.Sleep(minPeerTimeout + time.Second)
	network.Reset("a", "b")
	network.Heal("a", "b")
	time.Sleep(2 * maxRedialWait)
}
