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

// pretendMany makes an entry believe that it hears so many others of a hall, for a while.
func (e *entry) pretendMany(n int, hall string) {
	e.Exchange.mu.Lock()
	defer e.Exchange.mu.Unlock()
	for i := range n {
		id := runworks.Incarnation(fmt.Sprint("pretended-", i))
		e.Exchange.heard[id] = &life{name: string(id), hall: hall, last: time.Now().Add(time.Hour)}
	}
}

// told gives how many heartbeats an entry heard, and what they told of the limits.
func (e *entry) told() (beats int, limits map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.beats, maps.Clone(e.limits)
}

// TestFarEntriesHearLessOften tells an entry of the same hall each change within a
// heartbeat, and one of another hall some later, where there are many. What a heartbeat
// told of the limits to near entries alone reaches the far ones with their next.
func TestFarEntriesHearLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var mu sync.Mutex
		var news runworks.LimitUse
		list := map[string]*entry{}
		for name, hall := range map[string]string{"a": "here", "near": "here", "far": "there"} {
			x := &Exchange{
				Self: Member{Name: name, Address: name + ":1", Hall: hall, Incarnation: runworks.Incarnation(name + "-life")},
				Dial: network.Dialer(name), Keys: rpc.FleetKeys{"key"},
			}
			if name == "a" {
				x.LimitUpdates = func() runworks.LimitUse {
					mu.Lock()
					defer mu.Unlock()
					out := news
					news = runworks.LimitUse{Version: news.Version}
					return out
				}
			}
			list[name] = startWith(t, network, x)
		}
		a := list["a"]
		a.SetMembers([]Member{list["near"].Self, list["far"].Self})
		time.Sleep(time.Second)
		a.pretendMany(runworks.ManyEntriesThreshold+12, "there")
		time.Sleep(time.Second)
		for n := 1; n <= 20; n++ {
			mu.Lock()
			news = runworks.LimitUse{Version: int64(n), Customers: map[string]runworks.CustomerUse{"c": {Consumed: float64(n)}, fmt.Sprint("c", n%3): {Consumed: float64(n)}}}
			mu.Unlock()
			a.tell(n)
			time.Sleep(DefaultInterval + 5*time.Millisecond)
			is.Equal(list["near"].runsAt("a"), n)
			is.True(list["far"].runsAt("a") >= n-7) // 61 entries there, 5 ms each
			time.Sleep(DefaultInterval / 3)
		}
		farBeats, _ := list["far"].told()
		nearBeats, _ := list["near"].told()
		is.True(farBeats < nearBeats/2)
		time.Sleep(time.Second)
		is.Equal(list["far"].runsAt("a"), 20)
		_, farLimits := list["far"].told()
		_, nearLimits := list["near"].told()
		is.Equal(farLimits, map[string]float64{"c": 20, "c0": 18, "c1": 19, "c2": 20})
		is.Equal(nearLimits, farLimits)
		for _, e := range list {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

// TestFarEntriesStayHeard lets entries of a fleet of the size designed for, of which those of
// another hall tell each other seldom, have nothing new to tell: none counts as gone.
func TestFarEntriesStayHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		var list []*entry
		for _, name := range []string{"a", "b"} {
			list = append(list, startWith(t, network, &Exchange{
				Self: Member{Name: name, Address: name + ":1", Hall: "hall-of-" + name, Incarnation: runworks.Incarnation(name + "-life")},
				Dial: network.Dialer(name), Keys: rpc.FleetKeys{"key"},
			}))
		}
		list[0].SetMembers([]Member{list[1].Self})
		time.Sleep(time.Second)
		for _, e := range list {
			e.pretendMany(330, "elsewhere")
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
