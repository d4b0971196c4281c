package peers

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin/memnet"
)

// readersOf returns the names of the entries that read the store.
func readersOf(list []*entry) []string {
	var out []string
	for _, e := range list {
		if e.ReadsStore(e.storeIsLost()) {
			out = append(out, e.Self.Name)
		}
	}
	return out
}

// storeIsLost returns what the entry sends as StoreLost.
func (e *entry) storeIsLost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeLost
}

func (e *entry) setStoreLost(lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeLost = lost
}

// TestStoreReaders checks that two of seven entries read the store. Others replace one that is
// unreachable and those that lost the store, and some still try if all lost it.
func TestStoreReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var list []*entry
		for i := range 7 {
			e := startEntry(t, network, fmt.Sprint("e", i), "key")
			for _, other := range list {
				e.SetMembers([]Member{other.Self})
			}
			list = append(list, e)
		}
		time.Sleep(2 * time.Second)
		first := readersOf(list)
		is.Equal(len(first), StoreReaders)
		var rest []*entry
		for _, e := range list {
			if e.Self.Name == first[0] {
				for _, other := range list {
					if other != e {
						network.Partition(e.Self.Name, other.Self.Name)
					}
				}
				continue
			}
			rest = append(rest, e)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(readersOf(rest)), StoreReaders)
		is.Equal(len(readersOf(list)), StoreReaders+1) // the unreachable one reads for itself
		for _, e := range rest {
			e.setStoreLost(e.Self.Name == first[1])
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(readersOf(rest)), StoreReaders)
		is.True(readersOf(rest)[0] != first[1] && readersOf(rest)[1] != first[1])
		for _, e := range rest {
			e.setStoreLost(true)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(readersOf(rest)), StoreReaders)
		for _, e := range list {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

// receivedChanges returns the changes that the entry received.
func (e *entry) receivedChanges() []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.changes)
}

// TestSendChange checks that a change reaches other entries immediately, and once only.
func TestSendChange(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		time.Sleep(DefaultInterval / 2) // midway between two heartbeats
		c := Change{
			Subject: SubjectServers,
			From:    runworks.Position{Era: 2, Offset: 4},
			Next:    runworks.Position{Era: 2, Offset: 6},
			Records: []runworks.Record{{Key: "i-1", Value: []byte("x")}},
		}
		a.SendChange(c)
		time.Sleep(5 * time.Millisecond)
		is.Equal(b.receivedChanges(), []Change{c})
		time.Sleep(time.Second)
		is.Equal(b.receivedChanges(), []Change{c})
	})
}
