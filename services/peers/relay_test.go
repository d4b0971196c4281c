package peers

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// TestChangeReachesAll sends a change over connections: all entries of three halls receive it, no
// entry sends it to more than a few, and one of them answers for it later.
func TestChangeReachesAll(t *testing.T) {
	const perHall = 12
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var all []*entry
		var members []Member
		for i := range 3 * perHall {
			name := fmt.Sprint("e-", i)
			e := startWith(t, network, &Exchange{
				Self: Member{Name: name, Address: name + ":1", Hall: fmt.Sprint("hall-", i%3), Incarnation: runworks.Incarnation(name + "-life")},
				Dial: network.Dialer(name), Keys: rpc.FleetKeys{"key-of-the-fleet"},
			})
			all, members = append(all, e), append(members, e.Self)
		}
		for _, e := range all {
			e.SetMembers(members)
		}
		time.Sleep(time.Second)
		c := Change{
			Subject: SubjectRouting, From: runworks.Position{Era: 1, Offset: 3}, Next: runworks.Position{Era: 1, Offset: 5},
			Records: []runworks.Record{{Key: "a", Value: []byte("1")}}, Patches: []Patch{{Key: "config", Data: []byte{0, 1, 255}}},
		}
		all[1].ChangesSince = func(s Subject, since runworks.Position) (*Change, error) {
			if s != c.Subject || since != c.From {
				return nil, runworks.ErrTruncated
			}
			return &c, nil
		}
		all[0].SendChange(c)
		time.Sleep(20 * time.Millisecond)
		for _, e := range all[1:] {
			is.Equal(e.receivedChanges(), []Change{c})
		}
		is.Equal(len(all[0].receivedChanges()), 0)

		got, err := all[2].RequestChanges(t.Context(), "e-1", SubjectRouting, c.From)
		is.NoErr(err)
		is.Equal(*got, c)
		_, err = all[2].RequestChanges(t.Context(), "e-1", SubjectRouting, c.Next)
		is.True(err != nil)
		_, err = all[2].RequestChanges(t.Context(), "e-3", SubjectRouting, c.From) // it keeps none
		is.True(err != nil)
		for _, e := range all {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

// relayNode is an entry of a simulated fleet that passes on changes over a link of limited
// bandwidth.
type relayNode struct {
	relay
	name string
	// stopped entries refuse connections, and frozen ones receive without passing on.
	stopped, frozen bool
	// uplink is held while a message leaves.
	uplink     chan struct{}
	sent       int
	mu         sync.Mutex
	receivedAt time.Time
}

var errStopped = errors.New("stopped")

// relayFleet simulates entries in five halls. All messages have the given size.
type relayFleet struct {
	nodes map[string]*relayNode
	halls map[string]string
	names []string
	work  group.Group
}

const (
	relayLinkMbps = 20
	relayLatency  = 500 * time.Microsecond
	relayHalls    = 5
)

func newRelayFleet(n, messageBytes int) *relayFleet {
	f := &relayFleet{nodes: map[string]*relayNode{}, halls: map[string]string{}}
	perMessage := time.Duration(messageBytes) * 8 * time.Microsecond / relayLinkMbps
	for i := range n {
		name := fmt.Sprint("e-", i)
		f.halls[name] = fmt.Sprint("hall-", i%relayHalls)
		f.names = append(f.names, name)
		node := &relayNode{name: name, uplink: make(chan struct{}, 1)}
		node.relay = relay{hall: f.halls[name], halls: func() map[string]string { return f.halls }, work: &f.work}
		node.send = func(to string, m *relayedChange) error { return f.send(node, f.nodes[to], perMessage, m) }
		f.nodes[name] = node
	}
	return f
}

func (f *relayFleet) send(from, to *relayNode, duration time.Duration, m *relayedChange) error {
	if to.stopped {
		return errStopped
	}
	from.uplink <- struct{}{}
	from.sent++
	time.Sleep(duration)
	<-from.uplink
	f.work.Go(func() {
		time.Sleep(relayLatency)
		to.received()
		if !to.frozen {
			to.pass(&m.Change, m.Targets)
		}
	})
	return nil
}

// received notes when the first copy arrived.
func (n *relayNode) received() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.receivedAt.IsZero() {
		n.receivedAt = time.Now()
	}
}

// TestRelayTimes simulates changes in fleets of several sizes, with links of 20 Mbit/s and an
// entry in ten stopped: a document's patch and a whole document reach all others within a fraction
// of the time in which they must be active, and no entry sends more than a few times.
func TestRelayTimes(t *testing.T) {
	for _, n := range []int{30, 103, 384, 768} {
		for _, one := range []struct {
			bytes int
			bound time.Duration
		}{{2 << 10, 150 * time.Millisecond}, {100 << 10, 2 * time.Second}} {
			synctest.Test(t, func(t *testing.T) {
				f := newRelayFleet(n, one.bytes)
				for i := 1; i < n; i += 10 {
					f.nodes[f.names[i]].stopped = true
				}
				start := time.Now()
				f.nodes[f.names[0]].pass(&Change{}, f.names[1:])
				time.Sleep(time.Minute)
				f.work.Close()
				last, most, missed := time.Duration(0), 0, 0
				for _, name := range f.names[1:] {
					node := f.nodes[name]
					most = max(most, node.sent)
					switch {
					case node.stopped:
					case node.receivedAt.IsZero():
						missed++
					default:
						last = max(last, node.receivedAt.Sub(start))
					}
				}
				most = max(most, f.nodes[f.names[0]].sent)
				t.Logf("%d entries, %d bytes: all after %v, at most %d sends", n, one.bytes, last, most)
				if missed > 0 || last > one.bound || most > relayFanout+relayHalls-1 {
					t.Errorf("%d entries, %d bytes: %d missed it, the last got it after %v, up to %d sends", n, one.bytes, missed, last, most)
				}
			})
		}
	}
}

// TestFrozenRelay simulates entries that receive a change and do not pass it on: each costs at most
// its group, which is behind until it requests the change.
func TestFrozenRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRelayFleet(384, 2<<10)
		for i := 1; i < 384; i += 50 {
			f.nodes[f.names[i]].frozen = true
		}
		f.nodes[f.names[0]].pass(&Change{}, f.names[1:])
		f.nodes[f.names[7]].pass(&Change{}, append(f.names[1:7:7], f.names[8:]...)) // the second reader
		time.Sleep(time.Minute)
		f.work.Close()
		missed := 0
		for _, name := range f.names[1:] {
			if f.nodes[name].receivedAt.IsZero() {
				missed++
			}
		}
		is.True(missed < 384/4)
	})
}
