package rpc

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"
)

// Path is where a control connection begins.
const Path = "/control"

// KeyHeader carries the fleet key, on control connections and on runs.
const KeyHeader = "Runworks-Fleet-Key"

const (
	protocol    = "runworks-control"
	dialTimeout = 2 * time.Second
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// FleetKeys are the keys that processes of the system show each other; the
// first is shown, all are accepted, so that keys change without a stop.
type FleetKeys []string

// Primary gives the key that this process shows to others.
func (k FleetKeys) Primary() string {
	if len(k) == 0 {
		return ""
	}
	return k[0]
}

// Accept says, in constant time for each key, whether a request shows a key.
func (k FleetKeys) Accept(r *http.Request) bool {
	presented := sha256.Sum256([]byte(r.Header.Get(KeyHeader)))
	accepted := 0
	for _, key := range k {
		want := sha256.Sum256([]byte(key))
		accepted |= subtle.ConstantTimeCompare(presented[:], want[:])
	}
	return accepted == 1
}

// Stream is an upgraded connection.
type Stream struct {
	net.Conn
	// OnBytes is told the bytes that were read and written; it may be nil. Set it
	// before Serve.
	OnBytes func(read, written int)

	reader *bufio.Reader
	// peerFrames says that the peer reads peerFrames.
	peerFrames bool
}

// Read reads what the HTTP layer had buffered first.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	s.count(n, 0)
	return n, err
}

// Write writes to the connection.
func (s *Stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.count(0, n)
	return n, err
}

func (s *Stream) count(read, written int) {
	if s.OnBytes != nil {
		s.OnBytes(read, written)
	}
}

// Dial opens a control connection to the process at the address host:port.
func Dial(ctx context.Context, dial DialFunc, address string, keys FleetKeys) (*Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, errorx.Decorate(err, "dial %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	stream, err := upgrade(ctx, conn, address, keys)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return stream, nil
}

// upgrade asks the peer to turn the HTTP connection into a control connection.
func upgrade(ctx context.Context, conn net.Conn, address string, keys FleetKeys) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, errorx.Decorate(err, "build the upgrade to %s", address)
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	req.Header.Set(KeyHeader, keys.Primary())
	req.Header.Set(FramesHeader, framesVersion)
	if err := req.Write(conn); err != nil {
		return nil, errorx.Decorate(err, "ask %s for the upgrade", address)
	}
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, errorx.Decorate(err, "read the upgrade of %s", address)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusSwitchingProtocols {
		return nil, errorx.IllegalState.New("%s refused the control connection: %s", address, res.Status)
	}
	return &Stream{Conn: conn, reader: reader, peerFrames: supportsFrames(res.Header)}, nil
}

// Accept turns a request at Path into a control connection.
func Accept(w http.ResponseWriter, r *http.Request) (*Stream, error) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "a control connection asks for an upgrade to "+protocol, http.StatusUpgradeRequired)
		return nil, errorx.IllegalArgument.New("no upgrade to %s asked for", protocol)
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, errorx.Decorate(err, "take over the connection")
	}
	frames := supportsFrames(r.Header)
	head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n"
	if frames {
		head += FramesHeader + ": " + framesVersion + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		_ = conn.Close()
		return nil, errorx.Decorate(err, "confirm the upgrade")
	}
	return &Stream{Conn: conn, reader: buffered.Reader, peerFrames: frames}, nil
}

// HandleFunc answers one message; params is the raw JSON of its parameters.
type HandleFunc func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Serve starts JSON-RPC on a stream: notifications are handled in their order,
// calls beside each other. The connection ends with ctx or with the stream.
func Serve(ctx context.Context, stream *Stream, handle HandleFunc) *jsonrpc2.Conn {
	return newConn(ctx, jsonrpc2.NewBufferedStream(stream, jsonrpc2.VarintObjectCodec{}), handle)
}

func newConn(ctx context.Context, objects jsonrpc2.ObjectStream, handle HandleFunc) *jsonrpc2.Conn {
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(ctx, objects, &handler{handle: handle}, quiet)
}

type handler struct {
	handle HandleFunc
}

// Handle implements jsonrpc2.Handler.
func (h *handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		_, _ = h.handle(ctx, req.Method, params)
		return
	}
	go h.reply(ctx, conn, req, params)
}

// reply handles a call and sends its result; a failed send closes the connection.
func (h *handler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, params json.RawMessage) {
	result, err := h.handle(ctx, req.Method, params)
	if err != nil {
		rpcErr := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		_ = conn.ReplyWithError(ctx, req.ID, rpcErr)
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}
