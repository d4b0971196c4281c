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

// wordsOf gives the tellings of servers' words that an entry heard.
func (e *entry) wordsOf() [][]runworks.ServerNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serverWords
}

func serverLimit(server string, perSecond float64) runworks.ServerNotice {
	return runworks.ServerNotice{Server: server, Limit: &runworks.RateLimit{Named: true, PerSecond: perSecond}}
}

// TestServerWordsAreTold tells another entry of a limit within some ways of the network, of
// many words that come at once in a second telling, with the newest limit of each server and
// that it leaves, and an entry that could not be reached once it is back.
func TestServerWordsAreTold(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		a.SendServerNotice(serverLimit("s", 1))
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.wordsOf(), [][]runworks.ServerNotice{{serverLimit("s", 1)}})
		for i := range 300 {
			a.SendServerNotice(serverLimit(fmt.Sprintf("s%03d", i), 1))
			a.SendServerNotice(serverLimit(fmt.Sprintf("s%03d", i), 2))
			a.SendServerNotice(runworks.ServerNotice{Server: fmt.Sprintf("s%03d", i), Draining: i%2 == 1})
		}
		time.Sleep(2 * wordsPause)
		told := b.wordsOf()
		is.Equal(len(told), 2)
		is.Equal(len(told[1]), 300)
		is.Equal(told[1][7].Limit.PerSecond, 2.0)
		is.True(told[1][7].Draining)
		is.True(!told[1][8].Draining)
		is.True(told[1][7].LimitAgeMs <= wordsPause.Milliseconds())
		time.Sleep(time.Second)
		a.SendServerNotice(serverLimit("s", 3))
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.wordsOf()[2:], [][]runworks.ServerNotice{{serverLimit("s", 3)}})
		a.mu.Lock()
		a.knowsWords = []runworks.ServerNotice{serverLimit("s", 3), serverLimit("t", 4)}
		a.mu.Unlock()
		cutForLong(network)
		is.Equal(b.wordsOf()[3:], [][]runworks.ServerNotice{{serverLimit("s", 3), serverLimit("t", 4)}})
	})
}

// TestLend asks another entry for requests that it has at hand of a server's limit: no more
// than were asked for are taken, and none from an entry that can't be reached.
func TestLend(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		var server string
		b.TransferPermits = func(s string, requests int) int {
			server = s
			return requests + 1
		}
		n, err := a.RequestPermits(context.Background(), b.Self.Incarnation, PermitRequest{Server: "s", Permits: 2})
		is.NoErr(err)
		is.Equal(n, 2)
		is.Equal(server, "s")
		_, err = a.RequestPermits(context.Background(), "nobody", PermitRequest{Server: "s", Permits: 2})
		is.True(err != nil)
		network.Cut("a", "b")
		began := time.Now()
		_, err = a.RequestPermits(context.Background(), b.Self.Incarnation, PermitRequest{Server: "s", Permits: 2})
		is.True(err != nil)
		is.Equal(time.Since(began), lendTimeout)
	})
}
