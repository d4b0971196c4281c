package logging

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queuedLines bounds the lines that wait to be written.
const queuedLines = 1024

// Bounded writes lines beside the caller: it never blocks, and what comes too
// fast is dropped and counted.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	// quit is closed once no line is taken any more, and done once all are written.
	quit, done chan struct{}
}

// NewBounded starts a writer of at most perSecond lines a second, and as many at
// once.
func NewBounded(out io.Writer, perSecond int) *Bounded {
	b := &Bounded{
		out: out, lines: make(chan []byte, queuedLines), quit: make(chan struct{}), done: make(chan struct{}),
		limit: rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
	go b.run()
	return b
}

// Write takes one line; it never fails.
func (b *Bounded) Write(line []byte) (int, error) {
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
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits. Lines that come after it are dropped: connections that end with
// the process may still have something to tell.
func (b *Bounded) Close() {
	close(b.quit)
	<-b.done
}

func (b *Bounded) closed() bool {
	select {
	case <-b.quit:
		return true
	default:
		return false
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-b.quit:
			b.writeRest()
			return
		}
	}
}

// writeRest writes the lines that wait.
func (b *Bounded) writeRest() {
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		default:
			return
		}
	}
}

func (b *Bounded) write(line []byte) {
	// Nothing can be done about a log that can't be written.
	_, _ = b.out.Write(line)
}
