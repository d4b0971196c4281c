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

var drainingReport = &runworks.ServerReport{Draining: true}

// applyReport applies a report of a server as if it came with the response to a call.
func applyReport(d *Dispatcher, incarnation string, report *runworks.ServerReport) {
	lease := &Lease{dispatcher: d, server: d.servers[incarnation], Instance: d.servers[incarnation].Instance}
	lease.ApplyReport(report, time.Now())
}

// TestDrainingByReport checks that a server that reports that it drains gets no more calls,
// whatever its record says and though the record disappears and returns, and that the other
// entries are notified once. Its running calls go on, it is not ejected, and its next
// incarnation is not affected.
func TestDrainingByReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		var sent []runworks.ServerNotice
		d.SendServerNotice = func(n runworks.ServerNotice) { sent = append(sent, n) }
		d.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("server ejected") }
		d.SetServers([]runworks.Instance{withGeneration(100)})
		running := mustAcquire(t, d, "running")
		waiting := mustAcquire(t, d, "waits for a connection")
		is.True(!waiting.Unavailable())
		applyReport(d, "s0/100", drainingReport)
		applyReport(d, "s0/100", drainingReport)
		is.Equal(sent, []runworks.ServerNotice{{Server: "s0/100", Draining: true}})
		is.Equal(d.ServerNotices(), sent)
		is.True(waiting.Unavailable())
		waiting.Release(Abandoned)
		noServer := func() {
			t.Helper()
			_, err := d.Acquire(context.Background(), newRequest("new", 0))
			is.True(errors.Is(err, runworks.ErrNoServer))
			is.Equal(d.TransferPermits("s0/100", 1), 0)
		}
		noServer()
		// The record says that the server is ready.
		is.Equal(len(d.SetServers([]runworks.Instance{withGeneration(100)}).Withdrawn), 0)
		noServer()
		change := d.SetServers(nil)
		is.Equal(len(change.Exited)+len(change.Withdrawn), 0)
		time.Sleep(30 * time.Second)
		d.SetServers([]runworks.Instance{withGeneration(100)})
		noServer()
		is.Equal(len(d.LocalLoad().Ejected), 0)
		running.Release(Served)
		d.SetServers([]runworks.Instance{withGeneration(200)})
		is.Equal(mustAcquire(t, d, "next incarnation").Instance.Generation, int64(200))
	})
}

// TestReportWhileRecordIsMissing checks that the report of a server whose record is missing, or
// was and returned, is applied when it comes with the response to an earlier call, and that a
// report of an earlier incarnation is not.
func TestReportWhileRecordIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		d.SetServers([]runworks.Instance{withGeneration(100)})
		missing, back, ended := mustAcquire(t, d, "away"), mustAcquire(t, d, "back"), mustAcquire(t, d, "over")
		d.SetServers(nil)
		missing.ApplyReport(drainingReport, time.Now())
		d.SetServers([]runworks.Instance{withGeneration(100)})
		is.True(d.ServerStatuses()[0].ReportedDraining)

		d.SetServers([]runworks.Instance{withGeneration(100)})
		d.servers["s0/100"].reportState = reportState{}
		back.ApplyReport(drainingReport, time.Now())
		is.True(d.ServerStatuses()[0].ReportedDraining)

		d.SetServers([]runworks.Instance{withGeneration(200)})
		ended.ApplyReport(drainingReport, time.Now())
		is.True(!d.ServerStatuses()[0].ReportedDraining)
	})
}

// TestDrainingFromPeers checks that a notice of another entry that a server drains is applied,
// also if the server becomes known later, and that it is not forwarded.
func TestDrainingFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(4, 4)
		d.SendServerNotice = func(runworks.ServerNotice) { t.Error("notice forwarded") }
		d.ApplyNotices("other", []runworks.ServerNotice{{Server: "s1", Draining: true}, {Server: "s2", Draining: true}})
		limit := &runworks.RateLimit{Named: true, PerSecond: 3}
		d.ApplyNotices("other", []runworks.ServerNotice{{Server: "s3", Limit: limit, LimitAgeMs: 1000}})
		time.Sleep(time.Second)
		d.ApplyNotices("other", []runworks.ServerNotice{{Server: "s3", Draining: true}, {Server: "s2", Limit: limit}})
		time.Sleep(runworks.EntryTimeout)
		d.SetServers(instances(4, 4, 4))
		is.Equal(acquireAll(t, d), map[string]int{"s0": 4})
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

// TestDrainingByRecord checks that a server whose record said that it drains gets no more calls
// when an older record of the incarnation returns, and that entries that know only the older
// record are notified. An unreadable record makes the server unavailable only as long as it is
// there.
func TestDrainingByRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a"}
		ready, draining := withGeneration(100), withGeneration(100)
		draining.Draining = true
		noServer := func(d *Dispatcher) {
			t.Helper()
			_, err := d.Acquire(context.Background(), newRequest("new", 0))
			is.True(errors.Is(err, runworks.ErrNoServer))
		}
		d.SetServers([]runworks.Instance{ready})
		is.Equal(len(d.SetServers([]runworks.Instance{draining}).Withdrawn), 1)
		is.Equal(len(d.SetServers([]runworks.Instance{ready}).Withdrawn), 0)
		noServer(d)
		d.SetServers(nil) // removed
		want := []runworks.ServerNotice{{Server: "s0/100", Draining: true}}
		is.Equal(d.ServerNotices(), want)
		started := &Dispatcher{Hall: "a"}
		started.ApplyNotices("other", d.ServerNotices())
		for _, one := range []*Dispatcher{d, started} {
			one.SetServers([]runworks.Instance{ready})
			noServer(one)
			is.Equal(one.ServerNotices(), want)
		}
		d.SetServers([]runworks.Instance{withGeneration(200)})
		mustAcquire(t, d, "next incarnation").Release(Served)

		unreadable := withGeneration(200)
		unreadable.Unreadable = true
		is.Equal(len(d.SetServers([]runworks.Instance{unreadable}).Withdrawn), 1)
		noServer(d)
		d.SetServers([]runworks.Instance{withGeneration(200)})
		mustAcquire(t, d, "it wrote again").Release(Served)
	})
}
