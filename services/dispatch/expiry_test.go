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

// ids gives the ids of a list, in order.
func ids(list []runworks.Instance) string {
	var out []string
	for _, one := range list {
		out = append(out, one.ID)
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// TestLapsedRecords keeps servers whose records went all at once, until they are back
// or the time for that is over; one that goes by itself, or said so, goes at once.
func TestLapsedRecords(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var l ExpiryFilter
	all := instances(1, 1, 1, 1, 1, 1)
	list, next := l.Merge(now, all)
	is.Equal(ids(list), "s0 s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(0))
	list, next = l.Merge(now, all[1:]) // one leaves
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(0))
	all[1].Draining = true
	_, _ = l.Merge(now, all[1:])
	list, next = l.Merge(now, nil) // the store lost them; s1 had said that it leaves
	is.Equal(ids(list), "s2 s3 s4 s5")
	is.Equal(next, expiryGrace)
	now = now.Add(expiryGrace / 2)
	list, next = l.Merge(now, all[4:]) // two are back
	is.Equal(ids(list), "s2 s3 s4 s5")
	is.Equal(next, expiryGrace/2)
	list, next = l.Merge(now, nil) // and gone again
	is.Equal(ids(list), "s2 s3 s4 s5")
	is.Equal(next, expiryGrace/2) // the first of them
	list, next = l.Merge(now.Add(next), all[4:])
	is.Equal(ids(list), "s4 s5")
	is.Equal(next, time.Duration(0))
}

// TestRecordsOfAnOlderCopy gives no calls to a server that had gone before the store came back
// from an older copy, as long as its record may be the copy's, and keeps one that came since
// the copy was made for the time in which it writes its record again.
func TestRecordsOfAnOlderCopy(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var l ExpiryFilter
	all := instances(1, 1, 1, 1, 1, 1)
	_, _ = l.Merge(now, all[:5]) // the copy is made
	now = now.Add(time.Second)
	list, _ := l.Merge(now, slices.Clone(all[1:])) // s0 went, and s5 came
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	now = now.Add(time.Second)
	l.StoreRestored(now)
	list, next := l.Merge(now, slices.Clone(all[:5]))
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, expiryGrace)
	now = now.Add(expiryGrace / 2)
	list, next = l.Merge(now, slices.Clone(all)) // s5 wrote again
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, restoreGrace-expiryGrace/2)
	list, next = l.Merge(now.Add(next-1), slices.Clone(all))
	is.Equal(ids(list), "s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(1))
	list, next = l.Merge(now.Add(restoreGrace), slices.Clone(all)) // it is still there: it lives
	is.Equal(ids(list), "s0 s1 s2 s3 s4 s5")
	is.Equal(next, time.Duration(0))

	// One that goes and comes back after that is no older copy's.
	now = now.Add(2 * restoreGrace)
	_, _ = l.Merge(now, slices.Clone(all[1:]))
	list, _ = l.Merge(now, slices.Clone(all))
	is.Equal(ids(list), "s0 s1 s2 s3 s4 s5")
}
