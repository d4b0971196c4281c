package streamorigin

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestStreamOfMovedRoute guards against a stream that goes on at another service, because its route was shared out since it began at
// an entry that has not told the others.
func TestStreamOfMovedRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := entries(t, "v1")
		a.Record(time.Now(), begun("1", "v1"), time.Minute)
		synctest.Wait()
		is.Equal(b.Len(), 0) // of the only version
		moved := []string{begun("1", "v1").Service, "other"}
		b.MoveStreams(time.Now(), moved)
		time.AfterFunc(arrivalTimeout/2, func() { a.MoveStreams(time.Now(), moved) })
		o, err := b.Await(t.Context(), "1", "other")
		is.NoErr(err)
		is.Equal(o.Service, "llm") // which arrived while it waited
		a.Record(time.Now(), begun("2", "v1"), time.Minute)
		synctest.Wait()
		is.Equal(versionAt(b, "2"), "v1")
		began := time.Now()
		is.Equal(versionAt(b, "3"), "v1")
		is.Equal(time.Since(began), arrivalTimeout)
		time.Sleep(2 * time.Minute)
		began = time.Now()
		is.Equal(versionAt(b, "3"), "v1")
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// TestStreamOfMovedRouteOfSilentEntry guards against a stream that goes on at another service, because its route was shared out
// and the entry at which it began is not heard.
func TestStreamOfMovedRouteOfSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, misses := startedTable("v1"), true
		table.Stops, table.MissesEntry = func() int { return 0 }, func() bool { return misses }
		table.Update = func(bool) bool { return true }
		table.ApplyVersions(time.Now(), nil)
		is.Equal(versionAt(table, "1"), "v1") // its route has not changed
		table.MoveStreams(time.Now(), []string{"llm"})
		began := time.Now()
		_, err := table.Await(t.Context(), "1", "llm")
		is.True(errors.Is(err, runworks.ErrUnknownStream))
		is.Equal(time.Since(began), arrivalTimeout)
		time.AfterFunc(arrivalTimeout/2, func() {
			table.Apply(time.Now(), []runworks.StreamOrigin{{Stream: "1", Service: "other", Version: "v1", LeftMs: 60_000}})
		})
		o, err := table.Await(t.Context(), "1", "llm")
		is.NoErr(err)
		is.Equal(o.Service, "other")
		misses = false
		is.Equal(versionAt(table, "2"), "v1")
	})
}

// TestStreamOfMovedRouteIsAskedFor guards against a stream that goes on at another service, because its route was shared out and
// the entry at which it began has not told the others in time.
func TestStreamOfMovedRouteIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, asked, answers := startedTable("v1"), 0, false
		table.ApplyVersions(time.Now(), nil)
		table.MoveStreams(time.Now(), []string{"llm"})
		table.AskEntries = func() bool {
			asked++
			time.Sleep(arrivalTimeout)
			return answers
		}
		_, err := table.Await(t.Context(), "1", "llm")
		is.True(errors.Is(err, runworks.ErrUnknownStream)) // no answer
		answers, asked = true, 0
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() { is.Equal(versionAt(table, "1"), "v1") }) // unknown to all
		}
		all.Wait()
		is.Equal(asked, 1)
		table.AskEntries = func() bool {
			table.Apply(time.Now(), []runworks.StreamOrigin{{Stream: "1", Service: "other", Version: "v1", LeftMs: 60_000}})
			return true
		}
		o, err := table.Await(t.Context(), "1", "llm")
		is.NoErr(err)
		is.Equal(o.Service, "other")
	})
}
