package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

var leaves = &runworks.ServerReport{Draining: true}

// hears has a server say something of itself to a dispatcher, in the answer to a call.
func hears(d *Dispatcher, life string, word *runworks.ServerReport) {
	lease := &Lease{dispatcher: d, server: d.servers[life], Instance: d.servers[life].Instance}
	lease.Hear(word, time.Now())
}

// TestLeavingByItsWord sends nothing more to a server that says that it leaves, whatever its
// record says and though that goes and comes back, and tells the others once. What it runs goes
// on, and nothing is held against it. Its next life is free of the word.
func TestLeavingByItsWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		var told []runworks.ServerNotice
		d.SendServerNotice = func(n runworks.ServerNotice) { told = append(told, n) }
		d.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("left out") }
		d.Replace([]runworks.Instance{bornAt(100)})
		running := taken(t, d, "running")
		waiting := taken(t, d, "waits for a connection")
		is.True(!waiting.Withdrawn())
		hears(d, "s0/100", leaves)
		hears(d, "s0/100", leaves)
		is.Equal(told, []runworks.ServerNotice{{Server: "s0/100", Draining: true}})
		is.Equal(d.Words(), told)
		is.True(waiting.Withdrawn())
		waiting.Release(Abandoned)
		nothing := func() {
			t.Helper()
			_, err := d.Acquire(context.Background(), ask("new", 0))
			is.True(errors.Is(err, runworks.ErrNoServer))
			is.Equal(d.Lend("s0/100", 1), 0)
		}
		nothing()
		is.Equal(len(d.Replace([]runworks.Instance{bornAt(100)}).Left), 0) // it is ready, says the record
		nothing()
		change := d.Replace(nil)
		is.Equal(len(change.Gone)+len(change.Left), 0)
		time.Sleep(30 * time.Second)
		d.Replace([]runworks.Instance{bornAt(100)})
		nothing()
		is.Equal(len(d.Own().Ejected), 0)
		running.Release(Served)
		d.Replace([]runworks.Instance{bornAt(200)})
		is.Equal(taken(t, d, "next life").Instance.Generation, int64(200))
	})
}

// TestWordWhileTheRecordIsAway takes the word of a server whose record is away, in the answer
// to a call that it still had, and that of one whose record is back; of a life that is over
// it takes none.
func TestWordWhileTheRecordIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.Replace([]runworks.Instance{bornAt(100)})
		away, back, over := taken(t, d, "away"), taken(t, d, "back"), taken(t, d, "over")
		d.Replace(nil)
		away.Hear(leaves, time.Now())
		d.Replace([]runworks.Instance{bornAt(100)})
		is.True(d.Loads()[0].SaysLeaving)

		d.Replace([]runworks.Instance{bornAt(100)})
		d.servers["s0/100"].words = words{}
		back.Hear(leaves, time.Now())
		is.True(d.Loads()[0].SaysLeaving)

		d.Replace([]runworks.Instance{bornAt(200)})
		over.Hear(leaves, time.Now())
		is.True(!d.Loads()[0].SaysLeaving)
	})
}

// TestLeavingOfOthers takes another entry's word that a server leaves, and that of one which is
// not known yet; it does not tell it on.
func TestLeavingOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		d.SendServerNotice = func(runworks.ServerNotice) { t.Error("told on") }
		d.TakeWords("other", []runworks.ServerNotice{{Server: "s1", Draining: true}, {Server: "s2", Draining: true}})
		limit := &runworks.RateLimit{Named: true, PerSecond: 3}
		d.TakeWords("other", []runworks.ServerNotice{{Server: "s3", Limit: limit, LimitAgeMs: 1000}})
		time.Sleep(time.Second)
		d.TakeWords("other", []runworks.ServerNotice{{Server: "s3", Draining: true}, {Server: "s2", Limit: limit}})
		time.Sleep(runworks.EntryTimeout)
		d.Replace(instances(4, 4, 4))
		is.Equal(served(t, d), map[string]int{"s0": 4})
		is.Equal(len(d.Words()), 2)
		d.Replace(instances(4, 4, 4, 4))
		is.Equal(len(d.Words()), 3)
		for _, one := range d.Words() {
			is.True(one.Draining)
			if one.Server == "s3" {
				is.Equal(*one.Limit, *limit)
				is.True(one.LimitAgeMs >= 12000)
			}
		}
		d.Replace(nil)
		time.Sleep(2 * lapsedKept)
		d.tendLapsedLocked(time.Now())
		is.Equal(len(d.expiredReports), 0)
	})
}

// TestLeavingByItsRecord sends nothing more to a server whose record said that it leaves, though
// an older record of that life comes back, and tells it to entries that know only that one. A
// record that can't be read holds as long as it stands.
func TestLeavingByItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		ready, draining := bornAt(100), bornAt(100)
		draining.Draining = true
		nothing := func(d *Dispatcher) {
			t.Helper()
			_, err := d.Acquire(context.Background(), ask("new", 0))
			is.True(errors.Is(err, runworks.ErrNoServer))
		}
		d.Replace([]runworks.Instance{ready})
		is.Equal(len(d.Replace([]runworks.Instance{draining}).Left), 1)
		is.Equal(len(d.Replace([]runworks.Instance{ready}).Left), 0)
		nothing(d)
		d.Replace(nil) // it went
		word := []runworks.ServerNotice{{Server: "s0/100", Draining: true}}
		is.Equal(d.Words(), word)
		started := &Dispatcher{Hall: "a"}
		started.TakeWords("other", d.Words())
		for _, one := range []*Dispatcher{d, started} {
			one.Replace([]runworks.Instance{ready})
			nothing(one)
			is.Equal(one.Words(), word)
		}
		d.Replace([]runworks.Instance{bornAt(200)})
		taken(t, d, "next life").Release(Served)

		unreadable := bornAt(200)
		unreadable.Unreadable = true
		is.Equal(len(d.Replace([]runworks.Instance{unreadable}).Left), 1)
		nothing(d)
		d.Replace([]runworks.Instance{bornAt(200)})
		taken(t, d, "it wrote again").Release(Served)
	})
}
