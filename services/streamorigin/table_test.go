package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

const kept = 10 * time.Second

func servers(versions ...string) []runworks.Instance {
	var out []runworks.Instance
	for i, version := range versions {
		out = append(out, runworks.Instance{ID: fmt.Sprint(i), Service: "llm", Version: version})
	}
	return out
}

func begun(stream runworks.RequestID, version string) runworks.StreamOrigin {
	return runworks.StreamOrigin{Stream: stream, Service: "llm", Version: version}
}

// entries returns two tables that send each other their origins, and that know servers of the versions.
func entries(t *testing.T, versions ...string) (a, b *Table) {
	t.Helper()
	a, b = &Table{}, &Table{}
	a.SetServers(time.Now(), servers(versions...))
	b.SetServers(time.Now(), servers(versions...))
	a.Send = func(list []runworks.StreamOrigin) { go b.Apply(time.Now(), list) }
	b.Send = func(list []runworks.StreamOrigin) { go a.Apply(time.Now(), list) }
	return a, b
}

// versionAt returns the version at which a stream may continue; "?" if that is not known.
func versionAt(t *Table, stream runworks.RequestID) string {
	o, err := t.Await(context.Background(), stream, "llm")
	if errors.Is(err, runworks.ErrUnknownStream) {
		return "?"
	}
	return o.Version
}

// TestStreamContinuesAtItsVersion guards against a stream that is resumed elsewhere at another version:
// it began before, while, or after the service had several versions.
func TestStreamContinuesAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := entries(t)
		setServers := func(versions ...string) {
			a.SetServers(time.Now(), servers(versions...))
			b.SetServers(time.Now(), servers(versions...))
			synctest.Wait()
		}
		setServers("v1", "v1")
		a.Record(time.Now(), begun("1", "v1"), kept)
		synctest.Wait()
		is.Equal(b.Len(), 0) // with one version no entry needs to know it
		is.Equal(versionAt(b, "1"), "v1")
		setServers("v1", "v2")
		is.Equal(versionAt(b, "1"), "v1")
		a.Record(time.Now(), begun("2", "v2"), kept)
		is.Equal(versionAt(b, "2"), "v2") // also while the message is on its way
		is.Equal(versionAt(b, "3"), "?")
		is.Equal(versionAt(b, ""), "?")
		setServers("v2", "v2")
		is.Equal(versionAt(b, "1"), "v1")
		is.Equal(versionAt(b, "3"), "?") // v1 may have begun it
		time.Sleep(versionMemory)
		is.Equal(versionAt(b, "1"), "v2") // it can't be resumed any more
		is.Equal(versionAt(b, "3"), "v2")
	})
}

// TestFirstEventDecides guards against a stream whose version changes because a later attempt, or a late
// message, names another one.
func TestFirstEventDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := entries(t, "v1", "v2")
		a.Record(time.Now(), begun("1", "v1"), kept)
		late := begun("1", "v2")
		late.LeftMs = 1000
		a.Apply(time.Now(), []runworks.StreamOrigin{late})
		is.Equal(versionAt(a, "1"), "v1")
	})
}

// TestRestartedEntryKnowsStreams guards against streams that a restarted entry refuses because it has no
// origins: it receives those of all entries, also of those that are gone.
func TestRestartedEntryKnowsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := entries(t, "v1", "v2")
		a.Record(time.Now(), begun("1", "v1"), kept)
		synctest.Wait()
		restarted := &Table{}
		restarted.SetServers(time.Now(), servers("v1", "v2"))
		time.Sleep(kept / 2)
		restarted.Apply(time.Now(), b.List(time.Now()))
		is.Equal(versionAt(restarted, "1"), "v1")
		time.Sleep(kept / 2)
		is.Equal(len(b.List(time.Now())), 0)
		is.Equal(versionAt(restarted, "1"), "?")
	})
}

// TestOriginsAreBounded guards against memory that grows with the streams, and a list of another order
// than that of the streams.
func TestOriginsAreBounded(t *testing.T) {
	is := is.New(t)
	table, now := &Table{}, time.Now()
	table.SetServers(now, servers("v1", "v2"))
	for i := range maxOrigins + 10 {
		table.Record(now, begun(runworks.RequestID(fmt.Sprint(i)), "v1"), kept)
	}
	is.Equal(table.Len(), maxOrigins)
	list := table.List(now)
	is.Equal(len(list), maxListed)
	is.Equal(list[maxListed-1].Stream, runworks.RequestID(fmt.Sprint(maxOrigins+9)))
	is.True(!slices.ContainsFunc(list, func(o runworks.StreamOrigin) bool { return o.LeftMs != kept.Milliseconds() }))
	table.Record(now.Add(kept), begun("late", "v1"), kept)
	is.Equal(table.Len(), 1)
}

// TestIsolatedIsAskedWithoutLock guards against a deadlock of a resumed stream with a change of the list of
// servers, which is applied under the lock that Isolated takes.
func TestIsolatedIsAskedWithoutLock(t *testing.T) {
	is := is.New(t)
	var table Table
	table.SetServers(time.Now(), servers("v1"))
	asked, locked := false, true
	table.Isolated = func() bool {
		asked = true
		if locked = !table.mu.TryLock(); !locked {
			table.mu.Unlock()
		}
		return true
	}
	_, err := table.Resolve(time.Now(), "unknown", "llm")
	is.True(errors.Is(err, runworks.ErrUnknownStream))
	is.True(asked)
	is.True(!locked)
}
