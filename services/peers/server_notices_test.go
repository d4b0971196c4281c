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

// receivedNotices returns the lists of server notices that the entry received.
func (e *entry) receivedNotices() [][]runworks.ServerNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.noticeLists
}

func serverLimit(server string, perSecond float64) runworks.ServerNotice {
	return runworks.ServerNotice{Server: server, Limit: &runworks.RateLimit{Named: true, PerSecond: perSecond}}
}

// TestSendServerNotice checks that a notice arrives within several network delays. Many notices
// in a row arrive in one further message, with the latest rate limit of each server and whether
// it is draining. An entry that was unreachable receives the notices with its next handshake.
func TestSendServerNotice(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		a.SendServerNotice(serverLimit("s", 1))
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.receivedNotices(), [][]runworks.ServerNotice{{serverLimit("s", 1)}})
		for i := range 300 {
			a.SendServerNotice(serverLimit(fmt.Sprintf("s%03d", i), 1))
			a.SendServerNotice(serverLimit(fmt.Sprintf("s%03d", i), 2))
			a.SendServerNotice(runworks.ServerNotice{Server: fmt.Sprintf("s%03d", i), Draining: i%2 == 1})
		}
		time.Sleep(2 * noticeInterval)
		received := b.receivedNotices()
		is.Equal(len(received), 2)
		is.Equal(len(received[1]), 300)
		is.Equal(received[1][7].Limit.PerSecond, 2.0)
		is.True(received[1][7].Draining)
		is.True(!received[1][8].Draining)
		is.True(received[1][7].LimitAgeMs <= noticeInterval.Milliseconds())
		time.Sleep(time.Second)
		a.SendServerNotice(serverLimit("s", 3))
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.receivedNotices()[2:], [][]runworks.ServerNotice{{serverLimit("s", 3)}})
		a.mu.Lock()
		a.knownNotices = []runworks.ServerNotice{serverLimit("s", 3), serverLimit("t", 4)}
		a.mu.Unlock()
		cutUntilTimeout(network)
		is.Equal(b.receivedNotices()[3:], [][]runworks.ServerNotice{{serverLimit("s", 3), serverLimit("t", 4)}})
	})
}

// TestRequestPermits checks that no more permits are taken than were requested, and none from an
// entry that is unknown or unreachable.
func TestRequestPermits(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		var server string
		b.TransferPermits = func(s string, permits int) int {
			server = s
			return permits + 1
		}
		n, err := a.RequestPermits(context.Background(), b.Self.Incarnation, PermitRequest{Server: "s", Permits: 2})
		is.NoErr(err)
		is.Equal(n, 2)
		is.Equal(server, "s")
		_, err = a.RequestPermits(context.Background(), "nobody", PermitRequest{Server: "s", Permits: 2})
		is.True(err != nil)
		network.Partition("a", "b")
		start := time.Now()
		_, err = a.RequestPermits(context.Background(), b.Self.Incarnation, PermitRequest{Server: "s", Permits: 2})
		is.True(err != nil)
		is.Equal(time.Since(start), permitTimeout)
	})
}
