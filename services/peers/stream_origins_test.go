package peers

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin/memnet"
)

func (e *entry) streamState() (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.knownOrigins == nil {
		return nil, errors.New("no such state")
	}
	return StreamState{Origins: e.knownOrigins}, nil
}

// TestRequestStreams guards against an entry that takes what it knows of streams for complete though another one has not
// answered, and against one that waits for an entry which can't answer.
func TestRequestStreams(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		request := func() (int, bool) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return a.RequestStreams(ctx)
		}
		answered, missing := request()
		is.Equal(answered, 0) // of an older version
		is.True(!missing)

		b.mu.Lock()
		b.knownOrigins = []runworks.StreamOrigin{{Stream: "1", Service: "llm", Version: "v2", LeftMs: 1000}}
		b.mu.Unlock()
		answered, missing = request()
		is.Equal(answered, 1)
		is.True(!missing)
		a.mu.Lock()
		is.Equal(a.origins, b.knownOrigins)
		a.mu.Unlock()

		network.Silence(func(string, string) bool { return true })
		answered, missing = request()
		is.Equal(answered, 0)
		is.True(missing)
	})
}

// TestAllRead guards against an entry that takes others for ones that know a change before they have said so, and against one that waits
// for those that say nothing, and so know themselves that they lack something.
func TestAllRead(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		change := runworks.Position{Era: 1, Offset: 7}
		allRead := func() bool { return a.AllRead(time.Now(), change) }
		is.True(!allRead())
		for _, read := range []runworks.Position{{Era: 1, Offset: 6}, change, {Era: 2}} {
			b.mu.Lock()
			b.read = read
			b.mu.Unlock()
			time.Sleep(2 * idleInterval)
			is.Equal(allRead(), !change.After(read))
		}
		change.Era = 3
		network.Partition("a", "b")
		began := time.Now()
		for !allRead() {
			time.Sleep(DefaultInterval)
		}
		is.True(a.MissesEntry(time.Now()))
		is.True(time.Since(began) >= idleInterval+DefaultInterval)
		is.True(time.Since(began) < minPeerTimeout)
		time.Sleep(2 * minPeerTimeout)
		is.True(allRead())
		network.Heal("a", "b")
		time.Sleep(2 * minPeerTimeout)
		is.True(!allRead())
	})
}

// TestCutOff guards against an entry that takes itself for connected though it may be cut off, alone or with others, and against
// one that takes itself for cut off because another one has exited, or because the store responds to nobody.
func TestCutOff(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		is.True(!a.MissesEntry(time.Now()))
		is.True(!a.CutOff()) // b reads the store
		b.mu.Lock()
		b.storeLost = true
		b.mu.Unlock()
		time.Sleep(time.Second)
		is.True(!a.CutOff()) // nobody reads it, and all are heard

		network.Partition("a", "b")
		time.Sleep(idleInterval + 3*DefaultInterval)
		is.True(a.MissesEntry(time.Now()))
		time.Sleep(2 * minPeerTimeout)
		is.Equal(a.LiveCount(), 0)
		is.True(a.MissesEntry(time.Now()))
		is.True(a.CutOff())
		network.Heal("a", "b")
		time.Sleep(2 * cutMemory)
		is.True(!a.MissesEntry(time.Now()))
		is.True(!a.CutOff())

		network.CloseListener(b.Self.Address)
		b.cancel()
		network.Reset("a", "b")
		time.Sleep(minPeerTimeout / 2)
		is.True(!a.MissesEntry(time.Now()))
		time.Sleep(2 * minPeerTimeout)
		is.Equal(a.LiveCount(), 0)
		is.True(!a.MissesEntry(time.Now()))
	})
}
