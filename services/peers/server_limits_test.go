package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin/memnet"
)

// limitsOf gives the tellings of servers' limits that an entry heard.
func (e *entry) limitsOf() [][]runworks.ServerLimit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serverLimits
}

func serverLimit(server string, perSecond float64) runworks.ServerLimit {
	return runworks.ServerLimit{Server: server, RateLimit: runworks.RateLimit{Named: true, PerSecond: perSecond}}
}

// TestServerLimitsAreTold tells another entry of a limit within some ways of the network, of
// many that come at once in a second telling with the newest of each, and one that could not
// be reached once it is back.
func TestServerLimitsAreTold(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		a.TellServerLimit(serverLimit("s", 1))
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.limitsOf(), [][]runworks.ServerLimit{{serverLimit("s", 1)}})
		for i := range 300 {
			a.TellServerLimit(serverLimit(fmt.Sprintf("s%03d", i), 1))
			a.TellServerLimit(serverLimit(fmt.Sprintf("s%03d", i), 2))
		}
		time.Sleep(2 * limitsPause)
		told := b.limitsOf()
		is.Equal(len(told), 2)
		is.Equal(len(told[1]), 300)
		is.Equal(told[1][7].PerSecond, 2.0)
		is.True(told[1][7].AgeMs <= limitsPause.Milliseconds())
		time.Sleep(time.Second)
		a.TellServerLimit(serverLimit("s", 3))
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.limitsOf()[2:], [][]runworks.ServerLimit{{serverLimit("s", 3)}})
		a.mu.Lock()
		a.knowsLimits = []runworks.ServerLimit{serverLimit("s", 3), serverLimit("t", 4)}
		a.mu.Unlock()
		cutForLong(network)
		is.Equal(b.limitsOf()[3:], [][]runworks.ServerLimit{{serverLimit("s", 3), serverLimit("t", 4)}})
	})
}

// TestLend asks another entry for requests that it has at hand of a server's limit: no more
// than were asked for are taken, and none from an entry that can't be reached.
func TestLend(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		var server string
		b.Lend = func(s string, requests int) int {
			server = s
			return requests + 1
		}
		n, err := a.Borrow(context.Background(), b.Self.Incarnation, LendCall{Server: "s", Requests: 2})
		is.NoErr(err)
		is.Equal(n, 2)
		is.Equal(server, "s")
		_, err = a.Borrow(context.Background(), "nobody", LendCall{Server: "s", Requests: 2})
		is.True(err != nil)
		network.Cut("a", "b")
		began := time.Now()
		_, err = a.Borrow(context.Background(), b.Self.Incarnation, LendCall{Server: "s", Requests: 2})
		is.True(err != nil)
		is.Equal(time.Since(began), lendTimeout)
	})
}
