package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
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
	// frameTimeout limits the write of one frame, so that a peer that does not read cannot
	// delay the peers that are written to after it. A write normally takes a small fraction
	// of it.
	frameTimeout = 300 * time.Millisecond
	// messageTimeout limits the write of one JSON message, which may be long. Frames are queued behind it.
	messageTimeout = 2 * time.Second
	// maxQueuedFrames limits the frames in bytes that are queued behind a message: many times those that
	// are sent to one peer in messageTimeout.
	maxQueuedFrames = 1 << 20
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

// SendFrame writes a frame with the given payload, or queues it behind a message that is being written.
// After an error the connection must be closed, as part of a frame may have been written.
func (c *Conn) SendFrame(data []byte) error {
	return c.messages.sendFrame(append([]byte{frameMarker}, data...))
}

// StartNotify orders a notification before all that is sent later, and returns the function that writes it.
// That must be called; its error has closed the connection.
func (c *Conn) StartNotify(method string, params any) (write func() error, err error) {
	req := &jsonrpc2.Request{Method: method, Notif: true}
	if err := req.SetParams(params); err != nil {
		return nil, errorx.Decorate(err, "encode the parameters of %s", method)
	}
	return c.messages.start(req)
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

	mu sync.Mutex
	// writing is set while a message is written, and queue holds those to be written after it, in order.
	writing bool
	queue   []*queuedMessage
	// queuedBytes is the length of the frames in queue.
	queuedBytes int
}

// queuedMessage waits until those before it have been written: a frame, which the writer of the message
// before it writes too, or the turn of another writer.
type queuedMessage struct {
	frame []byte
	turn  chan struct{}
}

// WriteObject implements jsonrpc2.ObjectStream. A failed write closes the connection, as part of the
// message may have been written.
func (o *messageStream) WriteObject(obj any) error {
	write, err := o.start(obj)
	if err != nil {
		return err
	}
	return write()
}

// start takes the next turn to write for a JSON message, and returns the function that writes it.
func (o *messageStream) start(obj any) (write func() error, err error) {
	data, err := json.Marshal(obj)
	if err != nil {
		return nil, errorx.Decorate(err, "encode a message")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	turn := make(chan struct{})
	if o.writing {
		o.queue = append(o.queue, &queuedMessage{turn: turn})
	} else {
		o.writing = true
		close(turn)
	}
	return func() error {
		<-turn
		err := o.write(data, messageTimeout)
		if err != nil {
			_ = o.Close()
		}
		o.passTurn()
		return err
	}, nil
}

// sendFrame writes a frame, or queues it behind a message that is being written: a peer that reads slowly
// must not hold up the frames to the others for longer than frameTimeout.
func (o *messageStream) sendFrame(data []byte) error {
	o.mu.Lock()
	if o.writing {
		defer o.mu.Unlock()
		if o.queuedBytes += len(data); o.queuedBytes > maxQueuedFrames {
			return errorx.IllegalState.New("the peer reads too slowly: more than %d bytes of frames are queued", maxQueuedFrames)
		}
		o.queue = append(o.queue, &queuedMessage{frame: data})
		return nil
	}
	o.writing = true
	o.mu.Unlock()
	err := o.write(data, frameTimeout)
	o.passTurn()
	return err
}

// passTurn writes the frames that are queued next and passes the turn on to the writer after them.
func (o *messageStream) passTurn() {
	for {
		m := o.next()
		switch {
		case m == nil:
			return
		case m.turn != nil:
			close(m.turn)
			return
		}
		if err := o.write(m.frame, frameTimeout); err != nil {
			_ = o.Close()
		}
	}
}

// next returns the first queued message, or nil if there is none, which ends the writing.
func (o *messageStream) next() *queuedMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		o.writing = false
		return nil
	}
	m := o.queue[0]
	o.queue = o.queue[1:]
	o.queuedBytes -= len(m.frame)
	return m
}

// write writes one complete message; only the one whose turn it is may call it.
func (o *messageStream) write(data []byte, timeout time.Duration) error {
	message := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	message = append(message, data...)
	if err := o.stream.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := o.stream.Write(message)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. It passes frames that arrive before the next
// object to onFrame.
func (o *messageStream) ReadObject(v any) error {
	for {
		data, err := readMessage(o.reader)
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

// Close implements jsonrpc2.ObjectStream.
func (o *messageStream) Close() error { return o.stream.Close() }

// supportsFrames reports whether a header announces the frame format version of this process.
func supportsFrames(header http.Header) bool { return header.Get(FramesHeader) == framesVersion }
