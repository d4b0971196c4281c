package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// versionGate allows a number of calls at servers of version v2 and counts what it is told.
type versionGate struct {
	left, arrived, placed int
	barred                bool
	ended                 []Answer
}

func (g *versionGate) gate() *Gate {
	return &Gate{
		Allows: func(server *runworks.Instance, adopted bool) bool {
			return server.Version != "v2" || !g.barred && (adopted || g.left > 0)
		},
		Arrived: func(string) { g.arrived++ },
		Placed: func(server *runworks.Instance) {
			if server.Version == "v2" {
				g.placed++
				g.left--
			}
		},
		Ended: func(_ *runworks.Instance, a *Answer) { g.ended = append(g.ended, *a) },
	}
}

// versions returns a dispatcher with one server of each version, s0 of v1 and s1 of v2.
func versions(slots int) *Dispatcher {
	d := &Dispatcher{Hall: "a"}
	list := instances(slots, slots)
	list[0].Version, list[1].Version = "v1", "v2"
	d.SetServers(list)
	return d
}

// TestGateBoundsCalls guards against a call beyond the allowed number: new calls, retries and
// resumed streams go to the other version then, or wait.
func TestGateBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, g := versions(8), &versionGate{left: 2}
		d.SetGate(g.gate())
		for i := range 6 {
			mustAcquire(t, d, fmt.Sprint("call", i))
		}
		is.Equal(g.placed, 2)
		retry := newRequest("retry", 1)
		retry.Retry, retry.Exclude = true, []string{"s0"}
		_, err := d.Acquire(context.Background(), retry)
		is.True(errors.Is(err, runworks.ErrNoServer))
		resumed := newRequest("resumed", 1)
		resumed.Resumed, resumed.Exclude = true, []string{"s9"}
		lease, err := d.Acquire(context.Background(), resumed)
		is.NoErr(err)
		is.Equal(lease.Instance.ID, "s0")
		is.Equal(g.placed, 2)
		is.Equal(g.arrived, 6) // a call that was sent before is not counted again
		d.SetPeerLoad("scheduler", runningLoad(nil))
		is.Equal(d.Adopt("s1", newRequest("granted", 1), "scheduler", nil).Instance.ID, "s1")
		g.barred = true
		is.Equal(d.Adopt("s1", newRequest("granted late", 1), "scheduler", nil), nil)
	})
}

// TestGateBarsBeforeSend guards against a call that is sent after the verdict with a slot from
// before it.
func TestGateBarsBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, g := versions(1), &versionGate{left: 1}
		d.SetGate(g.gate())
		for _, lease := range []*Lease{mustAcquire(t, d, "a"), mustAcquire(t, d, "b")} {
			is.True(!lease.Unavailable())
			g.barred = true
			is.Equal(lease.Unavailable(), lease.Instance.ID == "s1")
			g.barred = false
		}
	})
}

// TestGateRemoved guards against servers that stay barred after the order was taken back.
func TestGateRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, g := versions(1), &versionGate{}
		d.SetGate(g.gate())
		first := mustAcquire(t, d, "first")
		is.Equal(first.Instance.ID, "s0")
		waiting := acquireAsync(d, newRequest("waiting", 1))
		is.Equal(len(waiting), 0)
		d.SetGate(nil)
		lease := <-waiting
		is.Equal(lease.Instance.ID, "s1")
		lease.Release(Served)
		is.Equal(len(g.ended), 0)
	})
}

// TestGateLearnsAnswers guards against evidence with wrong times.
func TestGateLearnsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, g := versions(1), &versionGate{}
		d.SetGate(g.gate())
		req := newRequest("stream", 1)
		req.Route = "chat"
		lease, err := d.Acquire(context.Background(), req)
		is.NoErr(err)
		time.Sleep(300 * time.Millisecond) // virtual time
		lease.RecordFirstEvent(100)
		for range 4 {
			time.Sleep(20 * time.Millisecond)
			lease.RecordEventGap(20 * time.Millisecond)
		}
		lease.Release(Served)
		plain := mustAcquire(t, d, "plain")
		time.Sleep(70 * time.Millisecond)
		plain.Release(Failed)
		is.Equal(g.ended, []Answer{
			{Route: "chat", Result: Served, First: 300 * time.Millisecond, Responded: true, MeanGap: 20 * time.Millisecond},
			{Result: Failed, First: 70 * time.Millisecond},
		})
	})
}
