package logging

import (
	"io"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines limits the lines that wait to be written.
	maxQueuedLines = 1024
	// reservedLines are places in the queue beyond those, for warnings and errors alone.
	reservedLines = 128
	// reservedPart is the part of the rate that warnings and errors have beyond it.
	reservedPart = 8
)

// BoundedWriter writes log lines in the background and limits their rate. Write never blocks;
// lines beyond the rate or the queue are dropped and counted. Warnings and errors have a reserve of both,
// so that a flood of other lines does not hide them.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	reserve *rate.Limiter
	dropped atomic.Int64
	// quit is closed when no more lines are accepted, done when all have been written.
	quit, done chan struct{}
}

// NewBoundedWriter starts a writer to out with a limit of perSecond lines per second, and a
// burst of the same number.
func NewBoundedWriter(out io.Writer, perSecond int) *BoundedWriter {
	reserve := perSecond/reservedPart + 1
	b := &BoundedWriter{
		out: out, lines: make(chan []byte, maxQueuedLines+reservedLines), quit: make(chan struct{}), done: make(chan struct{}),
		limit: rate.NewLimiter(rate.Limit(perSecond), perSecond), reserve: rate.NewLimiter(rate.Limit(reserve), reserve),
	}
	go b.run()
	return b
}

// Write implements io.Writer for one line; it never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	return b.LevelWrite(hclog.NoLevel, line)
}

// LevelWrite implements hclog.LevelWriter for one line; it never returns an error.
func (b *BoundedWriter) LevelWrite(level hclog.Level, line []byte) (int, error) {
	if b.closed() || !b.admits(level >= hclog.Warn) {
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

// admits reports whether there is place for one more line, within the rate.
func (b *BoundedWriter) admits(urgent bool) bool {
	if urgent {
		return b.limit.Allow() || b.reserve.Allow()
	}
	return len(b.lines) < maxQueuedLines && b.limit.Allow()
}

// Dropped returns the number of lines dropped since the start.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines. Later lines are dropped, as connections that are closed during
// shutdown may still log. Close must be called only once.
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

// drain writes the queued lines.
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
	// There is no place to report that the log can't be written.
	_, _ = b.out.Write(line)
}
