package peers

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/rollout"
	"github.com/runworks/runworks/standin/memnet"
)

// TestSendRollouts guards against reports that lose a field on the wire, and against one that can't
// be decoded and closes the connection.
func TestSendRollouts(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		var mu sync.Mutex
		var received []rollout.Report
		var sender runworks.Incarnation
		b.OnRollouts = func(from runworks.Incarnation, list []rollout.Report) {
			mu.Lock()
			defer mu.Unlock()
			sender, received = from, append(received, list...)
		}
		ms := int64(1500)
		sent := rollout.Report{
			Service: "llm", TargetVersion: "v2", StartedAgo: &ms, ConfirmedAgo: &ms, State: runworks.RolloutRunning,
			Verdict: runworks.RolloutRolledBack, Reason: "too slow", Arrived: 100, Placed: 9,
			Cells: []rollout.Cell{{Server: "e1", Route: "chat", Counts: rollout.Counts{Ended: 8, Failed: 2, Cut: 1}, First: map[int]int{20: 5}, Gap: map[int]int{0: 1}}, {Route: "chat"}},
		}
		a.notifyAll(MethodRollouts, json.RawMessage(`{"from":"x","list":[{"arrived":"many"}]}`))
		a.SendRollouts([]rollout.Report{sent})
		time.Sleep(10 * time.Millisecond) // virtual time
		mu.Lock()
		defer mu.Unlock()
		is.Equal(sender, a.Self.Incarnation)
		is.Equal(received, []rollout.Report{sent})
	})
}
