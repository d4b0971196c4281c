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

// FramesHeader says on an upgrade, and in its answer, which form of frames a process
// reads; one that names none gets JSON-RPC alone.
const FramesHeader = "Runworks-Frames"

const (
	// framesVersion is the form of frames that this version writes and reads.
	framesVersion = "2"
	// frameMarker begins a frame; no JSON text begins with it.
	frameMarker = 0
	// maxMessageBytes bounds what a peer may have this process hold for one message, in
	// bytes: many times a whole state of the largest fleet.
	maxMessageBytes = 32 << 20
	// frameTimeout bounds the writing of a frame, many times what it takes: a peer that does
	// not read must not hold up those that are written to behind it.
	frameTimeout = 300 * time.Millisecond
)

// FrameFunc takes one frame; an error closes the connection.
type FrameFunc func(data []byte) error

// Conn is a control connection that carries frames beside JSON-RPC, in the order in
// which both were sent. A frame is bytes that rpc does not look into: what is sent many
// times a second would else be scanned eight times as JSON.
type Conn struct {
	*jsonrpc2.Conn
	messages *messageStream
	// SupportsFrames says that the peer reads frames.
	SupportsFrames bool
}

// ServeFrames is Serve for a connection that carries frames; onFrame may be nil if none
// are expected.
func ServeFrames(ctx context.Context, stream *Stream, handle HandleFunc, onFrame FrameFunc) *Conn {
	o := &messageStream{stream: stream, reader: bufio.NewReader(stream), onFrame: onFrame}
	return &Conn{Conn: newConn(ctx, o, handle), messages: o, SupportsFrames: stream.peerFrames}
}

// SendFrame writes a frame. After an error the connection is of no use.
func (c *Conn) SendFrame(data []byte) error {
	return c.messages.write(append([]byte{frameMarker}, data...), time.Now().Add(frameTimeout))
}

// messageStream writes and reads messages, each behind its length: JSON texts for JSON-RPC,
// and frames.
type messageStream struct {
	stream  *Stream
	reader  *bufio.Reader
	onFrame FrameFunc
	// mu keeps messages whole.
	mu sync.Mutex
}

// WriteObject implements jsonrpc2.ObjectStream.
func (o *messageStream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errorx.Decorate(err, "encode a message")
	}
	return o.write(data, time.Time{})
}

// write writes a message whole, or fails; a zero deadline is none.
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

// ReadObject implements jsonrpc2.ObjectStream; frames on the way go to onFrame.
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
			return errorx.IllegalFormat.New("a frame came on a connection that takes none")
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
		return nil, errorx.IllegalFormat.New("a message of %d bytes, more than %d", size, maxMessageBytes)
	}
	data := make([]byte, size)
	_, err = io.ReadFull(o.reader, data)
	return data, err
}

// Close implements jsonrpc2.ObjectStream.
func (o *messageStream) Close() error { return o.stream.Close() }

// supportsFrames says whether a process told in a header that it reads this version's frames.
func supportsFrames(header http.Header) bool { return header.Get(FramesHeader) == framesVersion }
