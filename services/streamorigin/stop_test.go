package streamorigin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSlowUpdateCounts guards against streams that are refused while another entry is silent, because an update takes longer
// than it counts for.
func TestSlowUpdateCounts(t *testing.T) {
	for _, took := range []time.Duration{0, updateMemory - time.Millisecond, updateMemory, updateTimeout - time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			table, updates := startedTable("v1"), 0
			table.Stops, table.MissesEntry = func() int { return 0 }, func() bool { return true }
			table.Update = func(bool) bool {
				updates++
				time.Sleep(took)
				return true
			}
			table.ApplyVersions(time.Now(), nil)
			is.Equal(versionAt(table, "1"), "v1")
			is.Equal(versionAt(table, "2"), "v1")
			is.True(updates <= 2)
			time.Sleep(updateMemory)
			is.Equal(versionAt(table, "3"), "v1")
		})
	}
}
