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

// TestOffsetsWithoutEras hears an entry of a version that tells offsets alone: they are no
// positions, and it reads the store for nobody here. It is told offsets that it can read.
func TestOffsetsWithoutEras(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, _ *entry) {
		readers := 0
		conn := rpc.Serve(context.Background(), dialled(is, network), refuse)
		for _, name := range []string{"old-1", "old-2", "old-3", "old-4", "old-5", "old-6"} {
			beat := map[string]any{
				"from":      Member{Name: name, Address: name + ":1", Incarnation: runworks.Incarnation(name)},
				"positions": map[Subject]int64{SubjectServers: 9},
			}
			is.NoErr(conn.Notify(context.Background(), MethodHandshake, beat))
			time.Sleep(10 * time.Millisecond)
			a.mu.Lock()
			heard := a.heard[runworks.Incarnation(name)]
			a.mu.Unlock()
			is.Equal(len(heard.Positions), 0)
			is.True(heard.noEras())
			if a.ReadsStore(false) {
				readers++
			}
		}
		is.Equal(readers, 6)
		_ = conn.Close()
	})
	is := is.New(t)
	b := &Heartbeat{Positions: map[Subject]runworks.Position{SubjectServers: {Era: 3, Offset: 7}}}
	b.tellOffsets()
	data, err := json.Marshal(b)
	is.NoErr(err)
	var old struct {
		Positions map[Subject]int64 `json:"positions"`
	}
	is.NoErr(json.Unmarshal(data, &old))
	is.Equal(old.Positions[SubjectServers], int64(7))
	is.True(!b.noEras())
}

// TestListOlderThanWhatIsHeard keeps the connection to an entry that is heard, though the list
// of entries names the address of its life before.
func TestListOlderThanWhatIsHeard(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		time.Sleep(time.Second)
		is.True(a.Connected("b"))
		before := b.Self
		before.Address, before.Incarnation = "gone:1", "life before"
		a.SetMembers([]Member{before})
		is.True(a.Connected("b"))
		time.Sleep(time.Second)
		is.True(a.Connected("b"))
		is.Equal(len(a.replaced), 0)
	})
}
