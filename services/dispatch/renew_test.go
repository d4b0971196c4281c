package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestRenewedLeaseKeepsToReports guards against a second request of a call to a server that takes no more: one that rests,
// drains, limits its requests or has left, or whose slot is another call's. One that is full for other calls has the slot.
func TestRenewedLeaseKeepsToReports(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *Dispatcher, l *Lease)
		renews bool
	}{
		{"nothing", func(*Dispatcher, *Lease) {}, true},
		{"back-off", func(d *Dispatcher, _ *Lease) { requestBackoff(d, "s0", time.Second) }, false},
		{"drains", func(d *Dispatcher, _ *Lease) { applyReport(d, "s0", drainingReport) }, false},
		{"left the list", func(d *Dispatcher, _ *Lease) { d.SetServers(nil) }, false},
		{"ejected", func(d *Dispatcher, _ *Lease) { d.servers["s0"].ejectedUntil = time.Now().Add(time.Second) }, true},
		{"full", func(d *Dispatcher, _ *Lease) { d.servers["s0"].fullUntil = time.Now().Add(time.Second) }, true},
		{"released", func(_ *Dispatcher, l *Lease) { l.Release(Served) }, false},
		{"limit", func(d *Dispatcher, l *Lease) {
			applyReport(d, "s0", &runworks.ServerReport{Limit: &runworks.RateLimit{Named: true, PerSecond: 1}})
			for n := 0; l.Renew(); n++ {
				if n > 100 {
					t.Fatal("no limit")
				}
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(2)
				lease := mustAcquire(t, d, "call")
				c.change(d, lease)
				is.New(t).Equal(lease.Renew(), c.renews)
			})
		})
	}
}
