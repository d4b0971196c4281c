package dispatch

import (
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// ids returns the sorted server IDs of a list.
func ids(list []runworks.Instance) string {
	var out []string
	for _, one := range list {
		out = append(out, one.ID)
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// TestExpiredRecords checks that servers whose records disappear together are kept until the
// records return or the grace period ends, and that a server that disappears alone, or had
// announced that it drains, is removed at once.
func TestExpiredRecords(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var l ExpiryFilter
	all := instances(1, 1, 1, 1, 1, 1)
	list, next := l.Merge(now, all)
	is.Equal(ids(list), "s0 s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(0))
	list, next = l.Merge(now, all[1:]) // one exits
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(0))
	all[1].Draining = true
	_, _ = l.Merge(now, all[1:])
	list, next = l.Merge(now, nil) // the store lost the records; s1 had announced that it drains
	is.Equal(ids(list), "s2 s3 s4 s5")
	is.Equal(next, expiryGrace)
	now = now.Add(expiryGrace / 2)
	list, next = l.Merge(now, all[4:]) // two have returned
	is.Equal(ids(list), "s2 s3 s4 s5")
	is.Equal(next, expiryGrace/2)
	list, next = l.Merge(now, nil) // and disappeared again
	is.Equal(ids(list), "s2 s3 s4 s5")
	is.Equal(next, expiryGrace/2) // until the grace period of the first ends
	list, next = l.Merge(now.Add(next), all[4:])
	is.Equal(ids(list), "s4 s5")
	is.Equal(next, time.Duration(0))
}

// TestRecordsOfRestoredStore checks what a store that was restored from an older copy may bring
// back: a server that had been removed gets no calls while its record may be that of the copy,
// and one that started after the copy was made is kept until it has written its record again.
func TestRecordsOfRestoredStore(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var l ExpiryFilter
	all := instances(1, 1, 1, 1, 1, 1)
	_, _ = l.Merge(now, all[:5]) // the copy is made
	now = now.Add(time.Second)
	list, _ := l.Merge(now, slices.Clone(all[1:])) // s0 exited and s5 started
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	now = now.Add(time.Second)
	l.StoreRestored(now)
	list, next := l.Merge(now, slices.Clone(all[:5]))
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, expiryGrace)
	now = now.Add(expiryGrace / 2)
	list, next = l.Merge(now, slices.Clone(all)) // s5 has written its record again
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, restoreGrace-expiryGrace/2)
	list, next = l.Merge(now.Add(next-1), slices.Clone(all))
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(1))
	// s0 is still listed, so the server renews its record.
	list, next = l.Merge(now.Add(restoreGrace), slices.Clone(all))
	is.Equal(ids(list), "s0 s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(0))

	// A record that disappears and returns after that does not come from the copy.
	now = now.Add(2 * restoreGrace)
	_, _ = l.Merge(now, slices.Clone(all[1:]))
	list, _ = l.Merge(now, slices.Clone(all))
	is.Equal(ids(list), "s0 s1 s2 s3 s4 s5")
}
