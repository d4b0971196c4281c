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
	lease.ApplyReport(word, time.Now())
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
		d.SetServers([]runworks.Instance{bornAt(100)})
		running := taken(t, d, "running")
		waiting := taken(t, d, "waits for a connection")
		is.True(!waiting.Unavailable())
		hears(d, "s0/100", leaves)
		hears(d, "s0/100", leaves)
		is.Equal(told, []runworks.ServerNotice{{Server: "s0/100", Draining: true}})
		is.Equal(d.ServerNotices(), told)
		is.True(waiting.Unavailable())
		waiting.Release(Abandoned)
		nothing := func() {
			t.Helper()
			_, err := d.Acquire(context.Background(), newRequest("new", 0))
			is.True(errors.Is(err, runworks.ErrNoServer))
			is.Equal(d.TransferPermits("s0/100", 1), 0)
		}
		nothing()
		is.Equal(len(d.SetServers([]runworks.Instance{bornAt(100)}).Withdrawn), 0) // it is ready, says the record
		nothing()
		change := d.SetServers(nil)
		is.Equal(len(change.Exited)+len(change.Withdrawn), 0)
		time.Sleep(30 * time.Second)
		d.SetServers([]runworks.Instance{bornAt(100)})
		nothing()
		is.Equal(len(d.LocalLoad().Ejected), 0)
		running.Release(Served)
		d.SetServers([]runworks.Instance{bornAt(200)})
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
		d.SetServers([]runworks.Instance{bornAt(100)})
		away, back, over := taken(t, d, "away"), taken(t, d, "back"), taken(t, d, "over")
		d.SetServers(nil)
		away.ApplyReport(leaves, time.Now())
		d.SetServers([]runworks.Instance{bornAt(100)})
		is.True(d.ServerStatuses()[0].ReportedDraining)

		d.SetServers([]runworks.Instance{bornAt(100)})
		d.servers["s0/100"].reportState = reportState{}
		back.ApplyReport(leaves, time.Now())
		is.True(d.ServerStatuses()[0].ReportedDraining)

		d.SetServers([]runworks.Instance{bornAt(200)})
		over.ApplyReport(leaves, time.Now())
		is.True(!d.ServerStatuses()[0].ReportedDraining)
	})
}

// TestLeavingOfOthers takes another entry's word that a server leaves, and that of one which is
// not known yet; it does not tell it on.
func TestLeavingOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		d.SendServerNotice = func(runworks.ServerNotice) { t.Error("told on") }
		d.ApplyNotices("other", []runworks.ServerNotice{{Server: "s1", Draining: true}, {Server: "s2", Draining: true}})
		limit := &runworks.RateLimit{Named: true, PerSecond: 3}
		d.ApplyNotices("other", []runworks.ServerNotice{{Server: "s3", Limit: limit, LimitAgeMs: 1000}})
		time.Sleep(time.Second)
		d.ApplyNotices("other", []runworks.ServerNotice{{Server: "s3", Draining: true}, {Server: "s2", Limit: limit}})
		time.Sleep(runworks.EntryTimeout)
		d.SetServers(instances(4, 4, 4))
		is.Equal(served(t, d), map[string]int{"s0": 4})
		is.Equal(len(d.ServerNotices()), 2)
		d.SetServers(instances(4, 4, 4, 4))
		is.Equal(len(d.ServerNotices()), 3)
		for _, one := range d.ServerNotices() {
			is.True(one.Draining)
			if one.Server == "s3" {
				is.Equal(*one.Limit, *limit)
				is.True(one.LimitAgeMs >= 12000)
			}
		}
		d.SetServers(nil)
		time.Sleep(2 * expiredRetention)
		d.pruneExpiredLocked(time.Now())
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
			_, err := d.Acquire(context.Background(), newRequest("new", 0))
			is.True(errors.Is(err, runworks.ErrNoServer))
		}
		d.SetServers([]runworks.Instance{ready})
		is.Equal(len(d.SetServers([]runworks.Instance{draining}).Withdrawn), 1)
		is.Equal(len(d.SetServers([]runworks.Instance{ready}).Withdrawn), 0)
		nothing(d)
		d.SetServers(nil) // it went
		word := []runworks.ServerNotice{{Server: "s0/100", Draining: true}}
		is.Equal(d.ServerNotices(), word)
		started := &Dispatcher{Hall: "a"}
		started.ApplyNotices("other", d.ServerNotices())
		for _, one := range []*Dispatcher{d, started} {
			one.SetServers([]runworks.Instance{ready})
			nothing(one)
			is.Equal(one.ServerNotices(), word)
		}
		d.SetServers([]runworks.Instance{bornAt(200)})
		taken(t, d, "next life").Release(Served)

		unreadable := bornAt(200)
		unreadable.Unreadable = true
		is.Equal(len(d.SetServers([]runworks.Instance{unreadable}).Withdrawn), 1)
		nothing(d)
		d.SetServers([]runworks.Instance{bornAt(200)})
		taken(t, d, "it wrote again").Release(Served)
	})
}
