package peers

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// TestOffsetsWithoutEras connects entries of a version that sends offsets without eras. They must
// not be used as positions, and such an entry must not be counted as a reader of the store. In
// the other direction, heartbeats carry offsets that it can read.
func TestOffsetsWithoutEras(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, _ *entry) {
		readers := 0
		conn := rpc.Serve(context.Background(), dialEntry(is, network), rejectCall)
		for _, name := range []string{"old-1", "old-2", "old-3", "old-4", "old-5", "old-6"} {
			heartbeat := map[string]any{
				"from":      Member{Name: name, Address: name + ":1", Incarnation: runworks.Incarnation(name)},
				"positions": map[Subject]int64{SubjectServers: 9},
			}
			is.NoErr(conn.Notify(context.Background(), MethodHandshake, heartbeat))
			time.Sleep(10 * time.Millisecond)
			a.mu.Lock()
			received := a.peers[runworks.Incarnation(name)]
			a.mu.Unlock()
			is.Equal(len(received.Positions), 0)
			is.True(received.offsetsOnly())
			if a.ReadsStore(false) {
				readers++
			}
		}
		is.Equal(readers, 6)
		_ = conn.Close()
	})
	is := is.New(t)
	b := &Heartbeat{Positions: map[Subject]runworks.Position{SubjectServers: {Era: 3, Offset: 7}}}
	b.fillOffsets()
	data, err := json.Marshal(b)
	is.NoErr(err)
	var old struct {
		Positions map[Subject]int64 `json:"positions"`
	}
	is.NoErr(json.Unmarshal(data, &old))
	is.Equal(old.Positions[SubjectServers], int64(7))
	is.True(!b.offsetsOnly())
}

// TestOutdatedMemberList checks that the member list does not replace the connection to a live
// entry, if it holds the address of a previous incarnation.
func TestOutdatedMemberList(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		time.Sleep(time.Second)
		is.True(a.Connected("b"))
		previous := b.Self
		previous.Address, previous.Incarnation = "gone:1", "b-previous-life"
		a.SetMembers([]Member{previous})
		is.True(a.Connected("b"))
		time.Sleep(time.Second)
		is.True(a.Connected("b"))
		is.Equal(len(a.replaced), 0)
	})
}
