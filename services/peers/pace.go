package peers

import (
	"time"

	"github.com/runworks/runworks"
)

// every is the time between heartbeats to near entries.
func (x *Exchange) every() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	near, _ := x.countsLocked()
	return x.everyLocked(near)
}

func (x *Exchange) everyLocked(near int) time.Duration {
	every := x.Interval
	if every == 0 {
		every = DefaultInterval
	}
	return max(every, time.Duration(near)*everyPerPeer)
}

// farEvery is the time between heartbeats to far entries.
func (x *Exchange) farEvery() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.farEveryLocked()
}

func (x *Exchange) farEveryLocked() time.Duration {
	near, far := x.countsLocked()
	return max(x.everyLocked(near), time.Duration(far)*farPerPeer)
}

// countsLocked gives how many entries are near and how many far.
func (x *Exchange) countsLocked() (near, far int) {
	for _, one := range x.heard {
		if x.nearLocked(one.hall) {
			near++
		}
	}
	return near, len(x.heard) - near
}

// nearLocked says whether entries of a hall get every heartbeat: all do as long as there
// are not many.
func (x *Exchange) nearLocked(hall string) bool {
	return hall == x.Self.Hall || len(x.heard) <= runworks.ManyEntriesThreshold
}
