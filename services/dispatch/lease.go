package dispatch

import (
	"time"

	"github.com/runworks/runworks"
)

// Lease is a call's right to one slot of a backend server.
type Lease struct {
	Instance runworks.Instance

	dispatcher *Dispatcher
	server     *server
	service    string
	route      string
	routeRank  int
	began      time.Time
	// progress is what a roll-out is judged by.
	progress progress
	// unreadTokens is the number of prompt tokens that the server has not read yet.
	unreadTokens int
	// aheadTokens is the number of prompt tokens that the server had to read before when the call was
	// sent.
	aheadTokens int
	// forecast is the time to the first event that was expected when the lease was granted; 0 is
	// unknown.
	forecast time.Duration
	// entry is the entry that sends the call, of a slot granted to another one.
	entry runworks.Incarnation
	// scheduler is the entry that granted the slot and counts the call; empty if this one does.
	scheduler runworks.Incarnation
	// observer is notified of the progress of a call whose slot was granted by another entry; nil
	// of others.
	observer Observer
	// released is set once the slot is free. It is guarded by the dispatcher's lock, which is held
	// where the slots of a lost entry are freed: a sync.Once would deadlock there.
	released bool
	// failedAgain is set if the server failed the request that Renew counted.
	failedAgain bool
	// onExit is called after the server's process has exited.
	onExit func()
}

// lateAnswerGrace is how long a call waits for data that the server's process sent before it
// exited: several times the latency within a region, so that an answer that was complete
// arrives.
const lateAnswerGrace = 100 * time.Millisecond

// OnServerExit sets a function to be called lateAnswerGrace after it is known that the server
// restarted: the call is lost and no answer will come. Waiting for a read timeout would take
// seconds longer.
func (l *Lease) OnServerExit(f func()) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.onExit = f
	if l.server.restarted {
		l.notifyExit()
	}
}

// ServerRestarted reports whether it is known that the server restarted since the lease was granted, or that another one has
// its address.
func (l *Lease) ServerRestarted() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.server.restarted || l.server.addressReused
}

func (l *Lease) notifyExit() {
	if l.onExit != nil {
		time.AfterFunc(lateAnswerGrace, l.onExit)
	}
}

// Release frees the slot and records how the call ended. Further calls have no effect.
func (l *Lease) Release(r Result) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.released {
		return
	}
	l.releaseSlotLocked()
	if l.observer != nil {
		l.observer.Released(r)
	}
	now := time.Now()
	l.reportEndLocked(now, r)
	if r != Served || !l.failedAgain {
		l.recordResultLocked(now, r)
	}
	if s := d.services[l.service]; s != nil {
		if r == Served {
			s.duration.add(now.Sub(l.began).Seconds(), durationWeight)
			s.statsFor(l.routeRank).duration.add(now.Sub(l.began).Seconds(), durationWeight)
			s.served++
		}
		if r == Failed {
			d.ejectFailingLocked(now, s)
		}
		d.pumpLocked(s)
	}
}

// recordResultLocked records what the end of a request shows of the server.
func (l *Lease) recordResultLocked(now time.Time, r Result) {
	// The errors of a server in the calls of another entry are known from its heartbeats, and a reused
	// address, which is kept for good, must have been seen here.
	if l.entry != "" && (r == Failed || r == AddressReused) {
		return
	}
	d := l.dispatcher
	if wait := l.server.recordResult(now, r); wait > 0 && d.OnEject != nil {
		d.OnEject(l.server.Instance, l.server.unanswered, wait)
	}
}

// FailAgain records how the request that Renew has counted failed. The lease still holds the slot, and its call counts as
// served: only what this shows of the server is newer.
func (l *Lease) FailAgain(r Result) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.released {
		return
	}
	now := time.Now()
	l.recordResultLocked(now, Served)
	l.recordResultLocked(now, r)
	l.failedAgain = true
}

// RecordEventGap records the time between two events of the call's stream.
func (l *Lease) RecordEventGap(gap time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.server.lastReceived = time.Now()
	if gap <= 0 {
		return // unknown, as the caller delayed the reading
	}
	l.progress.addGap(gap)
	stalled := 0
	if s := l.dispatcher.services[l.service]; s != nil && s.maxGap > 0 && gap > s.maxGap {
		stalled = 1
	}
	l.server.addGap(gap.Seconds(), stalled)
	l.server.recordGaps(l.server.lastReceived, 1, gap, stalled)
	if l.observer != nil {
		l.observer.ReceivedEvent(gap, stalled > 0)
	}
}

// RecordLength records the number of events of a complete answer for which the caller
// expected expectedTokens tokens.
func (l *Lease) RecordLength(expectedTokens, events int) {
	if expectedTokens == 0 || events == 0 {
		return
	}
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[l.service]; s != nil {
		s.tokensPerEvent.add(float64(expectedTokens)/float64(events), lengthWeight)
	}
	if l.observer != nil {
		l.observer.Completed(expectedTokens, events)
	}
}

// RecordFirstEvent records that the first event of the call's answer arrived, for a prompt of
// promptTokens tokens.
func (l *Lease) RecordFirstEvent(promptTokens int) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	l.server.lastReceived = now
	l.progress.first = now.Sub(l.began)
	l.recordFirstEventLocked(promptTokens, now.Sub(l.began))
	if l.observer != nil {
		l.observer.ReceivedFirstEvent(now.Sub(l.began))
	}
}

// recordFirstEventLocked records that the first event arrived a time after the call was sent.
func (l *Lease) recordFirstEventLocked(promptTokens int, after time.Duration) {
	l.markReadLocked()
	if s := l.dispatcher.services[l.service]; s != nil && promptTokens > 0 {
		s.prefill.add(float64(promptTokens), after.Seconds()/s.forecast().slowdown(l.server))
		l.server.model.AddFirstEvent(time.Now(), &s.fleet, promptTokens+l.aheadTokens, after)
	}
}

// markReadLocked records that the call's prompt was read or no longer will be.
func (l *Lease) markReadLocked() {
	if l.scheduler == "" {
		l.server.ownUnread -= l.unreadTokens
		l.server.trackUnread(time.Now())
	}
	l.unreadTokens = 0
}

// releaseSlotLocked ends the lease and frees the slot.
func (l *Lease) releaseSlotLocked() {
	l.released = true
	l.markReadLocked()
	l.server.releaseSlot(l)
}
