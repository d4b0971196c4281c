package peers

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/services/enginemodel"
	"github.com/runworks/runworks/standin/memnet"
)

// modelLog holds the estimates that an entry received.
type modelLog struct {
	mu       sync.Mutex
	lists    [][]enginemodel.Estimate
	rejected int
}

func (l *modelLog) add(_ string, list []enginemodel.Estimate, rejected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = append(l.lists, list)
	l.rejected += rejected
}

func (l *modelLog) received() ([][]enginemodel.Estimate, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lists, l.rejected
}

// TestEngineModelsAreSent guards against a front that learns of engines only by its own calls: what
// another sends arrives, all of it with the handshake after the connection was lost.
func TestEngineModelsAreSent(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		var log modelLog
		b.EngineModels.OnReceive = log.add
		one := enginemodel.Estimate{Server: "s", GapMs: 20, Samples: 40}
		all := []enginemodel.Estimate{one, {Server: "t", GapMs: 30, Samples: 50}}
		a.SendEngineModels(nil)
		a.SendEngineModels([]enginemodel.Estimate{one})
		time.Sleep(5 * time.Millisecond)
		lists, _ := log.received()
		is.Equal(lists, [][]enginemodel.Estimate{{one}})
		a.EngineModels.All = func() []enginemodel.Estimate { return all }
		cutUntilTimeout(network)
		lists, rejected := log.received()
		is.Equal(lists[len(lists)-1], all)
		is.Equal(rejected, 0)
	})
}

// TestAbsurdEngineModels guards against a connection that ends, or an estimate that is lost, because
// of an implausible one in the same message, and against one that can't be decoded.
func TestAbsurdEngineModels(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		var log modelLog
		b.EngineModels.OnReceive = log.add
		a.notifyAll(MethodEngineModels, map[string]string{"list": "none"})
		time.Sleep(5 * time.Millisecond)
		good := enginemodel.Estimate{Server: "s", GapMs: 20, Samples: 40}
		a.SendEngineModels([]enginemodel.Estimate{{Server: "t", GapMs: -1, Samples: 40}, good})
		time.Sleep(5 * time.Millisecond)
		lists, rejected := log.received()
		is.Equal(lists, [][]enginemodel.Estimate{{good}})
		is.Equal(rejected, 1)
		is.True(a.Connected("b"))
	})
}

// TestEngineModelsToOlderVersion guards against a connection to an entry of a version without engine
// models that ends because of them.
func TestEngineModelsToOlderVersion(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, _ *entry) {
		a.notifyAll("entry.of_a_later_version", map[string]string{})
		time.Sleep(time.Second)
		is.True(a.Connected("b"))
	})
}
