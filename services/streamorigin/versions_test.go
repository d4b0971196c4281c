package streamorigin

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// startedTable returns the table of an entry that has just started, with a durable record.
func startedTable(versions ...string) *Table {
	t := &Table{Started: time.Now(), OnVersions: func() {}}
	t.SetServers(time.Now(), servers(versions...))
	return t
}

func recorded(versions ...string) []runworks.StreamVersion {
	var out []runworks.StreamVersion
	for _, version := range versions {
		out = append(out, runworks.StreamVersion{Service: "llm", Version: version, KeepMs: versionMemory.Milliseconds(), Recorded: true})
	}
	return out
}

// TestStartedEntryGuessesVersion guards against an entry that takes the only version which serves when it
// starts for that of streams that began before.
func TestStartedEntryGuessesVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		record []runworks.StreamVersion
		// at is when the stream is resumed after the start; want is the version at which it may continue.
		at   time.Duration
		want string
	}{
		{"its version was removed", recorded("v1", "v2"), 4 * time.Second, "?"},
		{"its version was removed and its streams have ended", recorded("v1", "v2"), versionMemory, "v2"},
		{"all versions changed meanwhile", recorded("v1"), 0, "?"},
		{"one version served all along", recorded("v2"), 0, "v2"},
		{"nothing served before", []runworks.StreamVersion{}, 0, "v2"},
		{"no record was read", nil, 0, "?"},
		{"no record was read until all streams have ended", nil, versionMemory, "v2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := startedTable("v2", "v2")
				if c.record != nil {
					table.ApplyVersions(time.Now(), c.record)
				}
				time.Sleep(c.at)
				is.Equal(versionAt(table, "1"), c.want)
			})
		})
	}
}

// TestStreamWithoutListedServer guards against a stream that is resumed while no server of its service is
// listed, and continues at whichever version is listed first.
func TestStreamWithoutListedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := startedTable("v1")
		table.ApplyVersions(time.Now(), nil)
		is.Equal(versionAt(table, "1"), "v1")
		table.SetServers(time.Now(), nil)
		is.Equal(versionAt(table, "1"), "v1")
		time.Sleep(versionMemory)
		is.Equal(versionAt(table, "1"), "?")
	})
}

// TestVersionOfLongStreamIsForgotten guards against a version that is forgotten while a caller may still
// resume one of its streams: the caller waits for longer than the usual memory of versions.
func TestVersionOfLongStreamIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := entries(t, "v1")
		a.Record(time.Now(), begun("1", "v1"), 3*versionMemory)
		a.SetServers(time.Now(), servers("v2"))
		b.SetServers(time.Now(), servers("v2"))
		synctest.Wait()
		started := startedTable("v2")
		started.ApplyVersions(time.Now(), a.Versions(time.Now()))
		time.Sleep(2 * versionMemory)
		is.Equal(versionAt(b, "1"), "v1")
		is.Equal(versionAt(b, "2"), "?")
		is.Equal(versionAt(started, "2"), "?")
		time.Sleep(2 * versionMemory)
		is.Equal(versionAt(started, "2"), "v2")
	})
}

// TestFirstEventIsAheadOfItsRecord guards against a caller that has an event of a version which no record
// names yet: if all entries exit then, nothing says that the version served.
func TestFirstEventIsAheadOfItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := startedTable("v1")
		table.ApplyVersions(time.Now(), nil)
		is.Equal(len(table.Unrecorded(time.Now())), 1)
		began := time.Now()
		time.AfterFunc(20*time.Millisecond, func() { table.NoteRecorded(time.Now(), recorded("v1")) })
		table.AwaitRecorded(context.Background(), begun("1", "v1"))
		is.Equal(time.Since(began), 20*time.Millisecond)
		is.Equal(len(table.Unrecorded(time.Now())), 0)

		table.SetServers(time.Now(), servers("v1", "v2"))
		began = time.Now()
		table.AwaitRecorded(context.Background(), begun("1", "v1")) // recorded already
		is.Equal(time.Since(began), time.Duration(0))
		table.AwaitRecorded(context.Background(), begun("2", "v2")) // the store does not respond
		is.Equal(time.Since(began), recordTimeout)
		table.AwaitRecorded(context.Background(), begun("3", "v2")) // nor for the next stream, which does not wait
		is.Equal(time.Since(began), recordTimeout)
	})
}

// TestVersionReturnsUnrecorded guards against a version whose servers are back and whose record another
// entry removes at the same moment.
func TestVersionReturnsUnrecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := startedTable("v1")
		table.NoteRecorded(time.Now(), recorded("v1"))
		table.SetServers(time.Now(), servers("v2"))
		time.Sleep(versionMemory / 2)
		table.SetServers(time.Now(), servers("v1", "v2"))
		unrecorded := table.Unrecorded(time.Now())
		is.Equal(len(unrecorded), 2)
		is.Equal(unrecorded[0].Version, "v1")
		table.Forget(time.Now(), unrecorded[0]) // it counts
		is.Equal(versionAt(table, "1"), "?")
	})
}

// TestIsolatedEntryGuessesVersion guards against an entry that is cut off while a newer version appears, and
// that continues a stream of it at the version which it knows.
func TestIsolatedEntryGuessesVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, isolated := startedTable("v1"), true
		table.Isolated = func() bool { return isolated }
		table.ApplyVersions(time.Now(), nil)
		table.Record(time.Now(), begun("1", "v1"), kept)
		is.Equal(versionAt(table, "1"), "v1")
		is.Equal(versionAt(table, "2"), "?")
		isolated = false
		is.Equal(versionAt(table, "2"), "v1")
	})
}

// TestStoppedEntryGuessesVersion guards against an entry that was stopped while a newer version appeared, and that continues a
// stream of it at the version which it knew before; and against one that refuses streams though it knows all that happened.
func TestStoppedEntryGuessesVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, stopped, updates, whole, took := startedTable("v1"), 0, 0, true, time.Duration(0)
		table.Stops = func() int { return stopped }
		table.Update = func(bool) bool {
			updates++
			time.Sleep(took)
			if whole {
				table.SetServers(time.Now(), servers("v1", "v2"))
				table.Apply(time.Now(), []runworks.StreamOrigin{{Stream: "2", Service: "llm", Version: "v2", LeftMs: kept.Milliseconds()}})
			}
			return whole
		}
		table.ApplyVersions(time.Now(), nil)
		table.Record(time.Now(), begun("1", "v1"), kept)
		is.Equal(versionAt(table, "2"), "v1") // nothing else has served
		is.Equal(updates, 0)

		stopped, whole = 1, false
		is.Equal(versionAt(table, "1"), "v1") // it is known
		is.Equal(updates, 0)
		began := time.Now()
		is.Equal(versionAt(table, "2"), "?")
		is.Equal(time.Since(began), updateTimeout+arrivalTimeout)
		synctest.Wait()
		is.True(updates <= 1+int(updateTimeout/updatePause)) // a failure is not repeated at once

		time.Sleep(updatePause)
		synctest.Wait()
		took, updates, whole = updateTimeout/2, 0, true
		var work sync.WaitGroup
		for range 8 {
			work.Go(func() { is.Equal(versionAt(table, "2"), "v2") })
		}
		work.Wait()
		synctest.Wait()
		is.Equal(updates, 1) // for all of them
		is.Equal(versionAt(table, "3"), "?")
		is.Equal(updates, 1)

		stopped, took = 2, 2*updateTimeout
		began = time.Now()
		is.Equal(versionAt(table, "4"), "?")
		is.Equal(time.Since(began), updateTimeout+arrivalTimeout)
		time.Sleep(took)
	})
}

// TestStopDuringUpdate guards against an update that counts for a stop which began after it.
func TestStopDuringUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, stopped, updates := startedTable("v1"), 1, 0
		table.Stops = func() int { return stopped }
		table.Update = func(bool) bool {
			if updates++; updates == 1 {
				stopped++
			}
			return true
		}
		table.ApplyVersions(time.Now(), nil)
		is.Equal(versionAt(table, "1"), "v1")
		is.Equal(updates, 2)
	})
}

// TestStartWritesRecordAgain guards against a write to the store at each start of an entry, for versions that
// are recorded already.
func TestStartWritesRecordAgain(t *testing.T) {
	for _, listFirst := range []bool{true, false} {
		is := is.New(t)
		table, now := &Table{Started: time.Now(), OnVersions: func() {}}, time.Now()
		if listFirst {
			table.SetServers(now, servers("v1"))
		}
		table.ApplyVersions(now, recorded("v1"))
		table.SetServers(now, servers("v1"))
		is.Equal(len(table.Unrecorded(now)), 0)
	}
}
