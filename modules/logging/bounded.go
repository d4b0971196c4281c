package logging

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 1024

// BoundedWriter writes lines beside the caller: it never blocks, and what comes too
// fast is dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	// quit is closed once no line is taken any more, and done once all are written.
	quit, done chan struct{}
}

// NewBoundedWriter starts a writer of at most perSecond lines a second, and as many at
// once.
func NewBoundedWriter(out io.Writer, perSecond int) *BoundedWriter {
	b := &BoundedWriter{
		out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{}),
		limit: rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
	go b.run()
	return b
}

// Write takes one line; it never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if b.closed() || !b.limit.AllowN(time.Now(), 1) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped gives how many lines were dropped since the start.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits. Lines that come after it are dropped: connections that end with
// the process may still have something to tell.
func (b *BoundedWriter) Close() {
	close(b.quit)
	<-b.done
}

func (b *BoundedWriter) closed() bool {
	select {
	case <-b.quit:
		return true
	default:
		return false
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-b.quit:
			b.drain()
			return
		}
	}
}

// drain writes the lines that wait.
func (b *BoundedWriter) drain() {
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		default:
			return
		}
	}
}

func (b *BoundedWriter) write(line []byte) {
	// Nothing can be done about a log that can't be written.
	_, _ = b.out.Write(line)
}
