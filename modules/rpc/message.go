package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"runtime"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes limits one message. It is many times the complete state of the largest deployment.
const maxMessageBytes = 8 << 20

// ErrMessageTooLong means that a peer announced a message that exceeds maxMessageBytes.
var ErrMessageTooLong = errorx.IllegalFormat.New("message too long")

// readMessage reads a message with the length before it. The memory grows with the bytes that have arrived:
// a length alone costs nothing. A message that has arrived already is read once other goroutines had their
// turn: a process that is behind would otherwise run each connection for a whole time slice of the scheduler,
// and all other work behind them.
func readMessage(r *bufio.Reader) ([]byte, error) {
	if r.Buffered() > 0 {
		runtime.Gosched()
	}
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > maxMessageBytes {
		return nil, errorx.Decorate(ErrMessageTooLong, "%d bytes, %d are allowed", size, maxMessageBytes)
	}
	var message bytes.Buffer
	if _, err := io.CopyN(&message, r, int64(size)); err != nil {
		return nil, unexpectedEOF(err)
	}
	return message.Bytes(), nil
}

// unexpectedEOF returns the error of a message that ends early.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// boundedCodec is jsonrpc2.VarintObjectCodec that bounds the messages which it reads.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	data, err := readMessage(r)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
