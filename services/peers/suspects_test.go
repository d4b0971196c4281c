package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin/memnet"
)

// toldOf gives the requests that an entry was told of.
func (e *entry) toldOf() []runworks.Fingerprint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects
}

// TestSuspectsAreTold tells another entry of a suspect within some ways of the network, and
// one that could not be reached once it is back.
func TestSuspectsAreTold(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		a.SendSuspects(runworks.Suspect{Fingerprint: "f"})
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.toldOf(), []runworks.Fingerprint{"f"})
		a.mu.Lock()
		a.knows = []runworks.Suspect{{Fingerprint: "f"}, {Fingerprint: "g"}}
		a.mu.Unlock()
		cutForLong(network)
		is.Equal(b.toldOf(), []runworks.Fingerprint{"f", "f", "g"})
	})
}

// cutForLong keeps two entries apart until each counts the other as gone, and lets them find
// each other again.
func cutForLong(network *memnet.Network) {
	network.Cut("a", "b")
	time.Sleep(silentAfter + time.Second)
	network.Reset("a", "b")
	network.Mend("a", "b")
	time.Sleep(2 * lastRedial)
}
