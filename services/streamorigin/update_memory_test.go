package streamorigin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUpdateBeforeVersionCounts guards against an update that began before a version appeared, and that counts for a caller whose stream
// began at that version.
func TestUpdateBeforeVersionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := startedTable("v1")
		table.Stops, table.MissesEntry = func() int { return 0 }, func() bool { return true }
		table.Update = func(bool) bool { return true }
		table.ApplyVersions(time.Now(), nil)
		is.Equal(versionAt(table, "1"), "v1")
		time.Sleep(updateMemory - 10*time.Millisecond)
		table.Update = func(bool) bool {
			table.SetServers(time.Now(), servers("v1", "v2")) // listed before the caller came
			return true
		}
		is.Equal(versionAt(table, "2"), "?")
	})
}
