package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"
)

// FramesHeader names, in an upgrade request and in its response, the frame format version that
// the sender reads. A process that sends no such header receives only JSON-RPC.
const FramesHeader = "Runworks-Frames"

const (
	// framesVersion is the frame format version that this process writes and reads.
	framesVersion = "2"
	// frameMarker is the first byte of a frame; no JSON text starts with it.
	frameMarker = 0
	// maxMessageBytes limits the memory that a peer can make this process allocate for one
	// message. It is many times the complete state of the largest deployment.
	maxMessageBytes = 32 << 20
	// frameTimeout limits the write of one frame, so that a peer that does not read cannot
	// delay the peers that are written to after it. A write normally takes a small fraction
	// of it.
	frameTimeout = 300 * time.Millisecond
	// messageTimeout limits the write of one JSON message, which may be long. Frames wait for it.
	messageTimeout = 2 * time.Second
)

// FrameFunc is called with the payload of each received frame; an error closes the connection.
type FrameFunc func(data []byte) error

// Conn is a control connection that carries binary frames in addition to JSON-RPC; both are
// delivered in the order in which they were sent. The payload of a frame is opaque to this
// package: as JSON, messages that are sent many times per second would be scanned eight times.
type Conn struct {
	*jsonrpc2.Conn
	messages *messageStream
	// SupportsFrames reports whether the peer reads frames.
	SupportsFrames bool
}

// ServeFrames is like Serve for a connection that carries frames. With a nil onFrame, a
// received frame closes the connection.
func ServeFrames(ctx context.Context, stream *Stream, handle HandleFunc, onFrame FrameFunc) *Conn {
	o := &messageStream{stream: stream, reader: bufio.NewReader(stream), onFrame: onFrame}
	return &Conn{Conn: newConn(ctx, o, handle), messages: o, SupportsFrames: stream.peerFrames}
}

// SendFrame writes a frame with the given payload. After an error the connection must be
// closed, as part of a frame may have been written.
func (c *Conn) SendFrame(data []byte) error {
	return c.messages.write(append([]byte{frameMarker}, data...), time.Now().Add(frameTimeout))
}

// Close closes the connection. It does not wait for a write that the peer does not accept.
func (c *Conn) Close() error {
	_ = c.messages.Close()
	return c.Conn.Close()
}

// messageStream reads and writes length-prefixed messages: JSON texts for JSON-RPC, and frames.
type messageStream struct {
	stream  *Stream
	reader  *bufio.Reader
	onFrame FrameFunc
	// mu serializes writes, so that messages do not interleave.
	mu sync.Mutex
}

// WriteObject implements jsonrpc2.ObjectStream. A failed write closes the connection, as part of the
// message may have been written.
func (o *messageStream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errorx.Decorate(err, "encode a message")
	}
	if err := o.write(data, time.Now().Add(messageTimeout)); err != nil {
		_ = o.Close()
		return err
	}
	return nil
}

// write writes one complete message.
func (o *messageStream) write(data []byte, deadline time.Time) error {
	message := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	message = append(message, data...)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.stream.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := o.stream.Write(message)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. It passes frames that arrive before the next
// object to onFrame.
func (o *messageStream) ReadObject(v any) error {
	for {
		data, err := o.read()
		if err != nil {
			return err
		}
		if len(data) == 0 || data[0] != frameMarker {
			return json.Unmarshal(data, v)
		}
		if o.onFrame == nil {
			return errorx.IllegalFormat.New("unexpected frame on a connection without a frame handler")
		}
		if err := o.onFrame(data[1:]); err != nil {
			return err
		}
	}
}

func (o *messageStream) read() ([]byte, error) {
	size, err := binary.ReadUvarint(o.reader)
	if err != nil {
		return nil, err
	}
	if size > maxMessageBytes {
		return nil, errorx.IllegalFormat.New("message of %d bytes exceeds the limit of %d bytes", size, maxMessageBytes)
	}
	data := make([]byte, size)
	_, err = io.ReadFull(o.reader, data)
	return data, err
}

// Close implements jsonrpc2.ObjectStream.
func (o *messageStream) Close() error { return o.stream.Close() }

// supportsFrames reports whether a header announces the frame format version of this process.
func supportsFrames(header http.Header) bool { return header.Get(FramesHeader) == framesVersion }
