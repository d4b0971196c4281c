package patch

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/klauspost/compress/zstd"
)

// Errors of Apply.
var (
	// ErrBaseMismatch means that a patch was made from another base.
	ErrBaseMismatch = errorx.IllegalState.New("patch of another base")
	// ErrInvalid means that a patch is damaged, or its result is too large.
	ErrInvalid = errorx.IllegalFormat.New("invalid patch")
)

const (
	// headerSize is the size of the hashes of base and result before the data, in bytes.
	headerSize = 16
	// maxWindow is how far back matches may refer at most, in bytes. A base must fit into it.
	maxWindow = 512 << 10
	// dictionaryID marks the base as the dictionary of a patch.
	dictionaryID = 1
)

// Make returns a patch that turns base into value. The patch of an empty base, or of one that does
// not fit into the window, is the compressed value.
func Make(base, value []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowFor(len(base) + len(value))), zstd.WithEncoderLevel(zstd.SpeedFastest),
	}
	if usable(base) {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errorx.Decorate(err, "build the encoder")
	}
	defer func() { _ = encoder.Close() }()
	out := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(base))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(value))
	return encoder.EncodeAll(value, out), nil
}

// Apply returns the value that a patch makes of base, of at most maxSize bytes. The error is
// ErrBaseMismatch or ErrInvalid.
func Apply(base, patch []byte, maxSize int) ([]byte, error) {
	if len(patch) < headerSize {
		return nil, errorx.Decorate(ErrInvalid, "%d bytes", len(patch))
	}
	if binary.BigEndian.Uint64(patch) != xxhash.Sum64(base) {
		return nil, errorx.Decorate(ErrBaseMismatch, "base of %d bytes", len(base))
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(maxSize, maxWindow))),
	}
	if usable(base) {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errorx.Decorate(err, "build the decoder")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(patch[headerSize:], nil)
	switch {
	case err != nil:
		return nil, errorx.Decorate(ErrInvalid, "%v", err)
	case len(value) > maxSize:
		return nil, errorx.Decorate(ErrInvalid, "result of %d bytes", len(value))
	case xxhash.Sum64(value) != binary.BigEndian.Uint64(patch[headerSize/2:]):
		return nil, errorx.Decorate(ErrInvalid, "wrong result")
	}
	return value, nil
}

// usable reports whether a base can be the dictionary of a patch.
func usable(base []byte) bool { return len(base) >= minBase && len(base) <= maxWindow }

// minBase is the size of the shortest dictionary that the encoder accepts, in bytes.
const minBase = 8

// windowFor returns the window for a base and a value of the given size together: the memory that
// the encoder allocates grows with it.
func windowFor(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), maxWindow)
}
