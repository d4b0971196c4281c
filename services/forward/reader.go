package forward

import (
	"sync"
	"time"
)

const (
	// slowReaderAfter is how long a stream must have waited for its caller before that caller counts
	// as a slow reader. Backend servers cut a stream that is unread for some seconds.
	slowReaderAfter = time.Second
	// backlogReadAfter is how long reads from the server must have waited for data, in sum, to show
	// that the front has read all that the server could not send while the caller was blocked. A
	// read of such data waits for one round trip, some 7 ms between halls, for each window of 128 KB
	// and more.
	backlogReadAfter = 100 * time.Millisecond
)

// reader measures how long a stream waits for its caller: from the return of each Read to the next
// one. Only the stream's goroutine uses the fields that mu does not guard.
type reader struct {
	mu sync.Mutex
	// waitingSince is when the stream began to wait for its caller; zero while it is read.
	waitingSince time.Time
	// heldBytes is the memory that the stream holds.
	heldBytes int

	// total is the time that the stream waited for its caller.
	total time.Duration
	// unread is that time since the front last had read all that the server had to send: the server
	// may have been blocked for as long.
	unread time.Duration
	// sinceEvent is that time since the server's last event arrived.
	sinceEvent time.Duration
	// serverWait is the time that reads waited for the server since the last long wait for the caller.
	serverWait time.Duration
}

// startWait records that data was returned to the caller's side.
func (r *reader) startWait(now time.Time, heldBytes int) {
	r.mu.Lock()
	r.waitingSince, r.heldBytes = now, heldBytes
	r.mu.Unlock()
}

// endWait records that the caller's side reads again, or that the stream ends.
func (r *reader) endWait(now time.Time) {
	r.mu.Lock()
	since := r.waitingSince
	r.waitingSince = time.Time{}
	r.mu.Unlock()
	if since.IsZero() {
		return
	}
	wait := now.Sub(since)
	r.total += wait
	r.unread += wait
	r.sinceEvent += wait
	if wait >= backlogReadAfter {
		r.serverWait = 0
	}
}

// recordServerWait records how long a read waited for the server.
func (r *reader) recordServerWait(wait time.Duration) {
	if r.serverWait += wait; r.serverWait >= backlogReadAfter {
		r.serverWait, r.unread = 0, 0
	}
}

// restart is called when another server continues the stream.
func (r *reader) restart() {
	r.unread, r.sinceEvent, r.serverWait = 0, 0, 0
}

// slow reports whether the server may have been blocked by the caller for so long that it cuts the
// stream.
func (r *reader) slow() bool { return r.unread >= slowReaderAfter }

// hidesPace reports whether the times at which events are read say more about the caller than about
// the server.
func (r *reader) hidesPace() bool { return r.unread >= backlogReadAfter }

// readers holds the readers of the streams in progress.
type readers struct {
	mu     sync.Mutex
	active map[*reader]struct{}
}

func (l *readers) add(r *reader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active = make(map[*reader]struct{})
	}
	l.active[r] = struct{}{}
}

func (l *readers) remove(r *reader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, r)
}

// SlowReaders returns the number of streams whose caller has not read for a second, and the memory
// in bytes that these streams hold.
func (f *Forwarder) SlowReaders() (streams, bytes int) {
	f.readers.mu.Lock()
	defer f.readers.mu.Unlock()
	now := time.Now()
	for r := range f.readers.active {
		r.mu.Lock()
		if !r.waitingSince.IsZero() && now.Sub(r.waitingSince) >= slowReaderAfter {
			streams++
			bytes += r.heldBytes
		}
		r.mu.Unlock()
	}
	return streams, bytes
}
