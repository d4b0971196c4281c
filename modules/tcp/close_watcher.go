package tcp

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

const (
	// closeCheckInterval is the least time between two checks for closed connections.
	closeCheckInterval = 50 * time.Millisecond
	// closeEvents is the number of connections that one system call returns at most.
	closeEvents = 32
)

// CloseWatcher tells of connections that their peers closed, also if the process gets little processor time.
// The runtime reports a close behind all goroutines that are ready to run, which can take seconds then, and
// a timer's goroutine waits with them if other timers expire with it. So whichever goroutine uses a watched
// connection asks the kernel about all of them, if that was not done for closeCheckInterval.
//
// That goroutine may be preempted anywhere and wait as long itself. So it has no lock that another one needs to
// handle closes, and the kernel tells others of the closes that it took, until they are handled.
type CloseWatcher struct {
	// closes and arrivals are epoll instances: the first repeats a close until the connection is removed, the
	// second tells once of bytes that arrived.
	closes, arrivals int
	started          time.Time
	// watched is the number of functions that wait for a close, and checkedAt is when the last check began,
	// in nanoseconds since started.
	watched, checkedAt atomic.Int64
	// unfinished is set while a goroutine handles closes: others help it.
	unfinished atomic.Bool

	lastID atomic.Int64
	// conns holds the *peerWatch of each ID; a lookup waits for no other goroutine.
	conns sync.Map
}

// NewCloseWatcher returns a watcher, which holds two descriptors until Close.
func NewCloseWatcher() (*CloseWatcher, error) {
	closes, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errorx.Decorate(err, "create an epoll instance for closes")
	}
	arrivals, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		_ = unix.Close(closes)
		return nil, errorx.Decorate(err, "create an epoll instance for arrivals")
	}
	return &CloseWatcher{closes: closes, arrivals: arrivals, started: time.Now()}, nil
}

// Close releases the descriptors. No connection is told of after it.
func (w *CloseWatcher) Close() error {
	return errors.Join(unix.Close(w.closes), unix.Close(w.arrivals))
}

// checkDue asks the kernel for closes and arrivals unless that was done for closeCheckInterval, and helps to
// handle closes. An error of the kernel leaves the closes to the server's own reads.
func (w *CloseWatcher) checkDue() {
	if w == nil || w.watched.Load() == 0 {
		return
	}
	now, last := int64(time.Since(w.started)), w.checkedAt.Load()
	if now-last >= int64(closeCheckInterval) && w.checkedAt.CompareAndSwap(last, now) {
		w.handleCloses()
		w.recordArrivals()
	} else if w.unfinished.Load() {
		w.handleCloses()
	}
}

// handleCloses handles the closes that the kernel knows of. It ends without progress: what remains is left to the
// goroutine that has it, and to the next check.
func (w *CloseWatcher) handleCloses() {
	w.unfinished.Store(true)
	defer w.unfinished.Store(false)
	var events [closeEvents]unix.EpollEvent
	for n, progress := closeEvents, true; n == closeEvents && progress; {
		var err error
		if n, err = unix.EpollWait(w.closes, events[:], 0); err != nil {
			return
		}
		progress = false
		for _, e := range events[:n] {
			if p := w.find(e); p != nil && p.markClosed() {
				progress = true
			}
		}
	}
}

// recordArrivals records the arrivals that the kernel has not told of.
func (w *CloseWatcher) recordArrivals() {
	var events [closeEvents]unix.EpollEvent
	for n := closeEvents; n == closeEvents; {
		var err error
		if n, err = unix.EpollWait(w.arrivals, events[:], 0); err != nil {
			return
		}
		for _, e := range events[:n] {
			if p := w.find(e); p != nil {
				p.recordArrival()
			}
		}
	}
}

// find returns the watch of an event; nil if it was removed.
func (w *CloseWatcher) find(e unix.EpollEvent) *peerWatch {
	v, _ := w.conns.Load(eventID(e))
	p, _ := v.(*peerWatch)
	return p
}

// eventID returns the ID of the connection of an event.
func eventID(e unix.EpollEvent) int64 { return int64(e.Pad)<<32 | int64(uint32(e.Fd)) } //nolint:gosec // two halves of one number

// add watches a connection until remove. It returns nil for one that is not a socket.
func (w *CloseWatcher) add(c *idleConn) *peerWatch {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	p := &peerWatch{watcher: w, id: w.lastID.Add(1), conn: c, raw: raw}
	p.state.Store(&watchState{})
	w.conns.Store(p.id, p)
	added := false
	err = raw.Control(func(fd uintptr) {
		added = w.register(w.closes, fd, p.id, unix.EPOLLRDHUP) && w.register(w.arrivals, fd, p.id, unix.EPOLLIN|unix.EPOLLET)
	})
	if err != nil || !added {
		w.conns.Delete(p.id)
		return nil
	}
	return p
}

// register adds a descriptor to an epoll instance and reports whether that succeeded.
func (w *CloseWatcher) register(epoll int, fd uintptr, id int64, events uint32) bool {
	event := unix.EpollEvent{Events: events, Fd: int32(id), Pad: int32(id >> 32)} //nolint:gosec // two halves of one number
	return unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, int(fd), &event) == nil
}

// remove forgets a connection that is about to be closed locally; the kernel forgets it with its descriptor.
func (w *CloseWatcher) remove(p *peerWatch) { w.conns.Delete(p.id) }

// peerWatch is the watch of one connection.
type peerWatch struct {
	watcher *CloseWatcher
	id      int64
	conn    *idleConn
	raw     syscall.RawConn
	// arrivedAt is when a request was first seen to have arrived on the idle connection, in nanoseconds
	// since the watcher started; 0 if none was.
	arrivedAt atomic.Int64
	state     atomic.Pointer[watchState]
}

// watchState is the state of a watch. It is replaced as a whole: a lock would be held by goroutines that are preempted.
type watchState struct {
	closed bool
	// onClose are the functions to run at the close, in order.
	onClose []*closeFunc
}

type closeFunc struct{ run func() }

// markClosed records that the peer closed the connection, runs the functions, and reports whether it had the kernel
// repeat the close no longer.
func (p *peerWatch) markClosed() bool {
	list := p.state.Swap(&watchState{closed: true}).onClose
	p.watcher.watched.Add(-int64(len(list)))
	for _, f := range list {
		f.run()
	}
	removed := false
	err := p.raw.Control(func(fd uintptr) {
		removed = unix.EpollCtl(p.watcher.closes, unix.EPOLL_CTL_DEL, int(fd), nil) == nil
	})
	return err == nil && removed
}

// recordArrival records that bytes have arrived. On an idle connection they begin a request.
func (p *peerWatch) recordArrival() {
	if p.conn.idle.Load() {
		p.arrivedAt.CompareAndSwap(0, int64(time.Since(p.watcher.started)))
	}
}

// takeArrival returns when the request that is being read was seen to have arrived; zero if it was not seen
// before it was read.
func (p *peerWatch) takeArrival() time.Time {
	if at := p.arrivedAt.Swap(0); at != 0 {
		return p.watcher.started.Add(time.Duration(at))
	}
	return time.Time{}
}

// afterClose runs f at the close, or now if that has happened, unless stop is called before.
func (p *peerWatch) afterClose(f func()) (stop func()) {
	one := &closeFunc{run: f}
	p.watcher.watched.Add(1)
	for {
		s := p.state.Load()
		if s.closed {
			p.watcher.watched.Add(-1)
			f()
			return func() {}
		}
		if p.state.CompareAndSwap(s, &watchState{onClose: append(slices.Clip(s.onClose), one)}) {
			return func() { p.drop(one) }
		}
	}
}

// drop removes a function that has not run.
func (p *peerWatch) drop(one *closeFunc) {
	for {
		s := p.state.Load()
		i := slices.Index(s.onClose, one)
		if i < 0 {
			return
		}
		if p.state.CompareAndSwap(s, &watchState{onClose: slices.Delete(slices.Clone(s.onClose), i, i+1)}) {
			p.watcher.watched.Add(-1)
			return
		}
	}
}

// AfterPeerClose runs f once the peer has closed the connection of a request, at once if it has already,
// unless stop is called before; ctx must come from WithConn. The functions of a connection run in the order
// of the calls, on any goroutine that uses a watched connection, and must not block. It does nothing if the
// connection is not watched.
func AfterPeerClose(ctx context.Context, f func()) (stop func()) {
	if c, ok := ctx.Value(connKey{}).(*idleConn); ok && c.watch != nil {
		return c.watch.afterClose(f)
	}
	return func() {}
}
