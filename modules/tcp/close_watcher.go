package tcp

import (
	"context"
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
	// closeEvents is the number of closes that one system call returns at most.
	closeEvents = 32
)

// CloseWatcher tells of connections that their peers closed, also if the process gets little processor time.
// The runtime reports a close behind all goroutines that are ready to run, which can take seconds then, and
// a timer's goroutine waits with them if other timers expire with it. So whichever goroutine uses a watched
// connection asks the kernel about all of them, if that was not done for closeCheckInterval.
type CloseWatcher struct {
	epoll   int
	started time.Time
	// watched is the number of functions that wait for a close, and checkedAt is when the last check began,
	// in nanoseconds since started.
	watched, checkedAt atomic.Int64
	// pending is the length of closed.
	pending atomic.Int64

	mu     sync.Mutex
	nextID int64
	conns  map[int64]*peerWatch
	// closed are the connections whose close is to be handled.
	closed []*peerWatch
}

// NewCloseWatcher returns a watcher, which holds one descriptor until Close.
func NewCloseWatcher() (*CloseWatcher, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errorx.Decorate(err, "create an epoll instance")
	}
	return &CloseWatcher{epoll: epoll, started: time.Now(), conns: make(map[int64]*peerWatch)}, nil
}

// Close releases the descriptor. No connection is told of after it.
func (w *CloseWatcher) Close() error { return unix.Close(w.epoll) }

// checkDue asks the kernel for closes unless that was done for closeCheckInterval, and handles those that are
// known. An error of the kernel leaves the closes to the server's own reads.
func (w *CloseWatcher) checkDue() {
	if w == nil || w.watched.Load() == 0 {
		return
	}
	now, last := int64(time.Since(w.started)), w.checkedAt.Load()
	if now-last >= int64(closeCheckInterval) && w.checkedAt.CompareAndSwap(last, now) {
		w.ask()
	}
	for w.pending.Load() > 0 {
		p := w.next()
		if p == nil {
			return
		}
		p.markClosed()
	}
}

// ask adds the closes that the kernel knows of to those to be handled.
func (w *CloseWatcher) ask() {
	var events [closeEvents]unix.EpollEvent
	for n := closeEvents; n == closeEvents; {
		var err error
		if n, err = unix.EpollWait(w.epoll, events[:], 0); err != nil {
			return
		}
		w.mu.Lock()
		for _, e := range events[:n] {
			switch p := w.conns[eventID(e)]; {
			case p == nil:
			case e.Events&^unix.EPOLLIN == 0:
				p.recordArrival()
			default:
				w.closed = append(w.closed, p)
			}
		}
		w.pending.Store(int64(len(w.closed)))
		w.mu.Unlock()
	}
}

// next returns a closed connection to be handled; nil if there is none. One at a time is taken, as a
// goroutine that handles them may be preempted for long.
func (w *CloseWatcher) next() *peerWatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.closed)
	if n == 0 {
		return nil
	}
	p := w.closed[n-1]
	w.closed = w.closed[:n-1]
	w.pending.Store(int64(n - 1))
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	p := &peerWatch{watcher: w, id: w.nextID, conn: c}
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLET, Fd: int32(p.id), Pad: int32(p.id >> 32)} //nolint:gosec // two halves of one number
	added := false
	err = raw.Control(func(fd uintptr) { added = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, int(fd), &event) == nil })
	if err != nil || !added {
		return nil
	}
	w.conns[p.id] = p
	return p
}

// remove forgets a connection that is about to be closed locally; the kernel forgets it with its descriptor.
func (w *CloseWatcher) remove(p *peerWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, p.id)
}

// peerWatch is the watch of one connection.
type peerWatch struct {
	watcher *CloseWatcher
	id      int64
	conn    *idleConn
	// arrivedAt is when a request was first seen to have arrived on the idle connection, in nanoseconds
	// since the watcher started; 0 if none was.
	arrivedAt atomic.Int64

	mu     sync.Mutex
	closed bool
	// onClose are the functions to run at the close, in order.
	onClose []*closeFunc
}

type closeFunc struct{ run func() }

// markClosed records that the peer closed the connection, and runs the functions.
func (p *peerWatch) markClosed() {
	p.mu.Lock()
	p.closed = true
	list := p.onClose
	p.onClose = nil
	p.watcher.watched.Add(-int64(len(list)))
	p.mu.Unlock()
	for _, f := range list {
		f.run()
	}
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

func (p *peerWatch) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// afterClose runs f at the close, or now if that has happened, unless stop is called before.
func (p *peerWatch) afterClose(f func()) (stop func()) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		f()
		return func() {}
	}
	one := &closeFunc{run: f}
	p.onClose = append(p.onClose, one)
	p.watcher.watched.Add(1)
	p.mu.Unlock()
	return func() { p.drop(one) }
}

// drop removes a function that has not run.
func (p *peerWatch) drop(one *closeFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, f := range p.onClose {
		if f == one {
			p.onClose = append(p.onClose[:i], p.onClose[i+1:]...)
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
