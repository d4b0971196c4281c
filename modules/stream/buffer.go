package stream

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/modules/notify"
)

// ErrDropped is returned by Buffer.Next if the bytes at the offset were already dropped.
var ErrDropped = errorx.IllegalState.New("the bytes at this offset are no longer buffered")

// maxPart limits the bytes that Buffer.Next copies at once.
const maxPart = 64 << 10

// Buffer is a byte stream with one writer and any number of readers. Limit must be set before
// use.
type Buffer struct {
	// Limit is the maximum number of buffered bytes. Beyond it, the oldest bytes that the
	// fastest reader has read are dropped; a writer waits while unread bytes would exceed it. A
	// single write that is larger than Limit is accepted once all bytes before it were read.
	Limit int

	mu         sync.Mutex
	data       []byte
	base       int64
	readOffset int64
	closed     bool
	err        error
	changed    notify.Change
}

// Write appends p. It waits while the unread bytes would exceed Limit, until ctx is done.
func (b *Buffer) Write(ctx context.Context, p []byte) error {
	for {
		wait, err := b.tryWrite(p)
		if err != nil || wait == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-wait:
		}
	}
}

// tryWrite appends p if the limit permits it; otherwise it returns a channel to wait on.
func (b *Buffer) tryWrite(p []byte) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, errorx.IllegalState.New("write after close")
	}
	end := b.base + int64(len(b.data))
	unread := end - b.readOffset
	if unread > 0 && unread+int64(len(p)) > int64(b.Limit) {
		return b.changed.Wait(), nil
	}
	b.data = append(b.data, p...)
	b.dropLocked()
	b.changed.Signal()
	return nil, nil
}

// dropLocked drops the oldest read bytes beyond the limit. The rest is copied only when append needs space: a copy
// for each write would be as long as all that is kept.
func (b *Buffer) dropLocked() {
	over := len(b.data) - b.Limit
	if over <= 0 {
		return
	}
	read := int(b.readOffset - b.base)
	n := min(over, read)
	b.data = b.data[n:]
	b.base += int64(n)
}

// Close ends the stream; err is nil if the stream is complete.
func (b *Buffer) Close(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.err = err
	b.changed.Signal()
}

// Next waits for bytes at the offset from, until ctx is done, and returns a copy of the first of them. At the
// end of the stream, end is set and err is the error that was passed to Close. If the bytes were
// already dropped, the error is ErrDropped.
func (b *Buffer) Next(ctx context.Context, from int64) (p []byte, end bool, err error) {
	for {
		p, end, wait, err := b.tryNext(from)
		if wait == nil {
			return p, end, err
		}
		select {
		case <-ctx.Done():
			return nil, false, context.Cause(ctx)
		case <-wait:
		}
	}
}

func (b *Buffer) tryNext(from int64) (p []byte, end bool, wait <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from < b.base {
		return nil, false, nil, ErrDropped
	}
	last := b.base + int64(len(b.data))
	if from > b.readOffset {
		b.readOffset = min(from, last)
		b.changed.Signal()
	}
	if from < last {
		part := b.data[from-b.base:]
		return append([]byte(nil), part[:min(len(part), maxPart)]...), false, nil, nil
	}
	if b.closed {
		return nil, true, nil, b.err
	}
	return nil, false, b.changed.Wait(), nil
}

// Dropped reports whether the bytes at an offset were already dropped.
func (b *Buffer) Dropped(offset int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset < b.base
}

// Size returns the number of buffered bytes.
func (b *Buffer) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data)
}
