package peers

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// addFakePeers adds n entries of a hall to the known ones; they do not time out within an hour.
func (e *entry) addFakePeers(n int, hall string) {
	e.Exchange.mu.Lock()
	defer e.Exchange.mu.Unlock()
	for i := range n {
		id := runworks.Incarnation(fmt.Sprint("fake-", i))
		e.Exchange.peers[id] = &peerState{
			name: string(id), hall: hall, lastSeen: time.Now().Add(time.Hour),
		}
	}
}

// receivedLimits returns how many heartbeats the entry received, and the use of limits in them.
func (e *entry) receivedLimits() (heartbeats int, limits map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heartbeats, maps.Clone(e.limits)
}

// TestRemoteHeartbeatsAreLessFrequent checks that with many entries a local one receives each
// change within a heartbeat interval and a remote one later, and that the use of limits which was
// sent to local entries only reaches the remote one with its next heartbeat.
func TestRemoteHeartbeatsAreLessFrequent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var mu sync.Mutex
		var updates runworks.LimitUse
		list := map[string]*entry{}
		for name, hall := range map[string]string{"a": "here", "local": "here", "remote": "there"} {
			x := &Exchange{
				Self: Member{
					Name: name, Address: name + ":1", Hall: hall,
					Incarnation: runworks.Incarnation(name + "-life"),
				},
				Dial: network.Dialer(name), Keys: rpc.FleetKeys{"key"},
			}
			if name == "a" {
				x.LimitUpdates = func() runworks.LimitUse {
					mu.Lock()
					defer mu.Unlock()
					out := updates
					updates = runworks.LimitUse{Version: updates.Version}
					return out
				}
			}
			list[name] = startWith(t, network, x)
		}
		a := list["a"]
		a.SetMembers([]Member{list["local"].Self, list["remote"].Self})
		time.Sleep(time.Second)
		a.addFakePeers(runworks.ManyEntriesThreshold+12, "there")
		time.Sleep(time.Second)
		for n := 1; n <= 20; n++ {
			mu.Lock()
			updates = runworks.LimitUse{Version: int64(n), Customers: map[string]runworks.CustomerUse{
				"c": {Consumed: float64(n)}, fmt.Sprint("c", n%3): {Consumed: float64(n)},
			}}
			mu.Unlock()
			a.setRunning(n)
			time.Sleep(DefaultInterval + 5*time.Millisecond)
			is.Equal(list["local"].runningAt("a"), n)
			is.True(list["remote"].runningAt("a") >= n-7) // 61 remote entries, 5 ms each
			time.Sleep(DefaultInterval / 3)
		}
		remoteHeartbeats, _ := list["remote"].receivedLimits()
		localHeartbeats, _ := list["local"].receivedLimits()
		is.True(remoteHeartbeats < localHeartbeats/2)
		time.Sleep(time.Second)
		is.Equal(list["remote"].runningAt("a"), 20)
		_, remoteLimits := list["remote"].receivedLimits()
		_, localLimits := list["local"].receivedLimits()
		is.Equal(remoteLimits, map[string]float64{"c": 20, "c0": 18, "c1": 19, "c2": 20})
		is.Equal(localLimits, remoteLimits)
		for _, e := range list {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

// TestIdleRemoteEntriesStayLive guards against the removal of live entries: with 330 entries in
// other halls idle heartbeats are further apart than the minimum timeout.
func TestIdleRemoteEntriesStayLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var list []*entry
		for _, name := range []string{"a", "b"} {
			list = append(list, startWith(t, network, &Exchange{
				Self: Member{
					Name: name, Address: name + ":1", Hall: "hall-of-" + name,
					Incarnation: runworks.Incarnation(name + "-life"),
				},
				Dial: network.Dialer(name), Keys: rpc.FleetKeys{"key"},
			}))
		}
		list[0].SetMembers([]Member{list[1].Self})
		time.Sleep(time.Second)
		for _, e := range list {
			e.addFakePeers(330, "elsewhere")
		}
		time.Sleep(20 * time.Second)
		for _, e := range list {
			is.Equal(len(e.gone), 0)
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}
