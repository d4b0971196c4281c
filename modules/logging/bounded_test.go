package logging

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// TestBoundedNeverBlocks writes to an output that blocks: the lines beyond the queue are dropped
// and counted, the others are written once it is released.
func TestBoundedNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		b := NewBoundedWriter(out, 1<<20)
		const lines = maxQueuedLines + 100
		for range lines {
			n, err := b.Write([]byte("x\n"))
			is.NoErr(err)
			is.Equal(n, 2)
			synctest.Wait()
		}
		is.Equal(b.Dropped(), int64(lines-maxQueuedLines-1)) // one is being written
		close(out.release)
		b.Close()
		is.Equal(out.out.Len(), 2*(maxQueuedLines+1))
	})
}

// TestBoundedAfterClose checks that lines after Close are dropped and counted: connections that
// are closed during shutdown may still log.
func TestBoundedAfterClose(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := NewBoundedWriter(&out, 10)
	_, _ = b.Write([]byte("x"))
	b.Close()
	n, err := b.Write([]byte("late"))
	is.NoErr(err)
	is.Equal(n, 4)
	is.Equal(out.String(), "x")
	is.Equal(b.Dropped(), int64(1))
}

// TestBoundedRate checks that lines beyond the rate are dropped and counted.
func TestBoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		b := NewBoundedWriter(&out, 10)
		for range 3 {
			for range 50 {
				_, _ = b.Write([]byte("x"))
			}
			time.Sleep(time.Second)
		}
		b.Close()
		is.Equal(out.Len(), 30)
		is.Equal(b.Dropped(), int64(120))
	})
}

// TestBoundedKeepsErrorsInFlood guards against errors that a flood of other lines hides.
func TestBoundedKeepsErrorsInFlood(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond int
	}{{"beyond the rate", 10}, {"beyond the queue", 1 << 20}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				out := &blockedWriter{release: make(chan struct{})}
				b := NewBoundedWriter(out, c.perSecond)
				logger := New(b, "front", "info", true)
				for range 2 * maxQueuedLines {
					logger.Info("call ended")
				}
				logger.Warn("routing kept")
				logger.Error("routing refused")
				close(out.release)
				b.Close()
				is.Equal(strings.Count(out.out.String(), "routing kept"), 1)
				is.Equal(strings.Count(out.out.String(), "routing refused"), 1)
			})
		})
	}
}

// TestBoundedErrorsAreBounded guards against a flood of errors without end.
func TestBoundedErrorsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		b := NewBoundedWriter(&out, 8*reservedPart)
		logger := New(b, "front", "info", true)
		for range 20 * reservedPart {
			logger.Error("routing refused")
		}
		b.Close()
		is.Equal(strings.Count(out.String(), "routing refused"), 8*reservedPart+9)
		is.Equal(b.Dropped(), int64(12*reservedPart-9))
	})
}
