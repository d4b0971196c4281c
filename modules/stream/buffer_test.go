package stream

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// TestLongStreamIsNotCopiedForEachWrite guards against a stream without end that takes many times its limit in
// memory, as all that is kept of it is copied for each write and each read.
func TestLongStreamIsNotCopiedForEachWrite(t *testing.T) {
	const limit, size, parts = 1 << 20, 32 << 10, 1000
	is := is.New(t)
	b := &Buffer{Limit: limit}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	offset := int64(0)
	part := make([]byte, size)
	for i := range parts {
		copy(part, bytes.Repeat([]byte{byte(i)}, size))
		is.NoErr(b.Write(t.Context(), part))
		p, _, err := b.Next(t.Context(), offset)
		is.NoErr(err)
		is.Equal(p, part)
		offset += int64(len(p))
		_, _, _, err = b.tryNext(offset) // marks it as read
		is.NoErr(err)
	}
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 10*size*parts)
	is.True(b.Size() <= limit+size)
	_, _, err := b.Next(t.Context(), 0)
	is.Equal(err, ErrDropped)

	// A reader that comes back gets what is kept in parts.
	for from := offset - limit/2; from < offset; {
		p, _, err := b.Next(t.Context(), from)
		is.NoErr(err)
		is.True(len(p) <= maxPart)
		is.Equal(p[0], byte(from/size))
		from += int64(len(p))
	}
}
