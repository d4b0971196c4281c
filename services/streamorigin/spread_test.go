package streamorigin

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestFirstEventIsAheadOfItsVersion guards against a first event that its caller gets while another entry knows one version alone and
// would continue the stream at that, and against first events that wait where no entry can be wrong, or for ever.
func TestFirstEventIsAheadOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listed := runworks.Position{Era: 1}
		var knownAt time.Time
		var asked []int64
		table := startedTable("v1")
		table.Position = func() runworks.Position {
			listed.Offset++
			return listed
		}
		table.AllKnow = func(p runworks.Position) bool {
			asked = append(asked, p.Offset)
			return !knownAt.IsZero() && !time.Now().Before(knownAt)
		}
		waits := func(ctx context.Context, version string) time.Duration {
			began := time.Now()
			table.AwaitKnown(ctx, begun("1", version))
			return time.Since(began)
		}
		is.Equal(waits(t.Context(), "v1"), time.Duration(0)) // nobody knows another version
		time.Sleep(spreadTimeout)
		table.SetServers(time.Now(), servers("v1", "v2"))
		is.Equal(waits(t.Context(), "v1"), time.Duration(0))
		left, cancel := context.WithCancel(t.Context())
		time.AfterFunc(spreadInterval/2, cancel)
		is.Equal(waits(left, "v2"), spreadInterval/2)
		knownAt = time.Now().Add(200 * time.Millisecond)
		is.Equal(waits(t.Context(), "v2"), 200*time.Millisecond)
		is.Equal(len(slices.Compact(asked)), 1) // later changes are not waited for
		knownAt = time.Time{}
		is.Equal(waits(t.Context(), "v2"), time.Duration(0))
		table.SetServers(time.Now(), servers("v1", "v2", "v3"))
		is.Equal(waits(t.Context(), "v3"), spreadTimeout)
		is.Equal(waits(t.Context(), "v3"), time.Duration(0))
	})
}
