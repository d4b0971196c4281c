package rpc

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/runworks/runworks/modules/httpconn"
	"github.com/runworks/runworks/modules/tcp"
)

// Path is the URL path at which control connections are requested.
const Path = "/control"

// KeyHeader carries the fleet key, on control connections and on forwarded calls.
const KeyHeader = "Runworks-Fleet-Key"

const (
	protocol    = "runworks-control"
	dialTimeout = 2 * time.Second
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrKeyRefused means that the process at the other end accepts none of this process's keys.
var ErrKeyRefused = errorx.RejectedOperation.New("fleet key refused")

// FleetKeys are the shared keys by which the processes authenticate to each other. All are
// accepted. The first is sent, and the others only to a process that refuses it, so that keys can
// be rotated without downtime.
type FleetKeys []string

// Primary returns the key that this process sends first, or "" if there is none.
func (k FleetKeys) Primary() string {
	if len(k) == 0 {
		return ""
	}
	return k[0]
}

// Accept reports whether a request carries one of the keys. Each comparison takes constant time.
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
	// OnBytes, if not nil, is called with the number of bytes of each read and write. It must
	// be set before Serve.
	OnBytes func(read, written int)

	reader *bufio.Reader
	// peerFrames is set if the peer reads frames.
	peerFrames bool
}

// Read implements io.Reader; it returns what the HTTP layer had buffered first.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	s.count(n, 0)
	return n, err
}

// Write implements io.Writer.
func (s *Stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.count(0, n)
	return n, err
}

// HasUnread reports whether bytes have arrived that this process has not read from the socket.
func (s *Stream) HasUnread() bool {
	return tcp.PeekState(s.Conn) == tcp.Readable
}

func (s *Stream) count(read, written int) {
	if s.OnBytes != nil {
		s.OnBytes(read, written)
	}
}

// Dial opens a control connection to the process at address (host:port). It fails after 2 s, with
// ErrKeyRefused if the process refused all keys.
func Dial(ctx context.Context, dial DialFunc, address string, keys FleetKeys) (*Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	stream, err := dialWithKey(ctx, dial, address, keys.Primary())
	for i := 1; i < len(keys) && errors.Is(err, ErrKeyRefused); i++ {
		stream, err = dialWithKey(ctx, dial, address, keys[i])
	}
	return stream, err
}

// dialWithKey opens a control connection with one key.
func dialWithKey(ctx context.Context, dial DialFunc, address, key string) (*Stream, error) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, errorx.Decorate(err, "dial %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	stream, err := upgrade(ctx, conn, address, key)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return stream, nil
}

// upgrade requests the upgrade of an HTTP connection to a control connection.
func upgrade(ctx context.Context, conn net.Conn, address, key string) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, errorx.Decorate(err, "build the upgrade request to %s", address)
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	req.Header.Set(KeyHeader, key)
	req.Header.Set(FramesHeader, framesVersion)
	if err := req.Write(conn); err != nil {
		return nil, errorx.Decorate(err, "send the upgrade request to %s", address)
	}
	heads := httpconn.NewHeadReader(conn)
	res, err := heads.ReadResponse(req)
	if err != nil {
		return nil, errorx.Decorate(err, "read the upgrade response of %s", address)
	}
	_ = res.Body.Close()
	switch res.StatusCode {
	case http.StatusSwitchingProtocols:
	case http.StatusForbidden:
		return nil, errorx.Decorate(ErrKeyRefused, "%s", address)
	default:
		return nil, errorx.IllegalState.New("%s refused the control connection: %s", address, res.Status)
	}
	return &Stream{Conn: conn, reader: heads.Reader, peerFrames: supportsFrames(res.Header)}, nil
}

// Accept upgrades a request at Path to a control connection. A request without the upgrade
// header is answered with 426.
func Accept(w http.ResponseWriter, r *http.Request) (*Stream, error) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "a control connection asks for an upgrade to "+protocol, http.StatusUpgradeRequired)
		return nil, errorx.IllegalArgument.New("request without an upgrade to %s", protocol)
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, errorx.Decorate(err, "hijack the connection")
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

// HandleFunc handles one message and returns the result of a call; params is the raw JSON of
// its parameters.
type HandleFunc func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Serve starts JSON-RPC on a stream. Notifications are handled in order, calls concurrently.
// The connection is closed when ctx is done or the stream ends.
func Serve(ctx context.Context, stream *Stream, handle HandleFunc) *jsonrpc2.Conn {
	return newConn(ctx, jsonrpc2.NewBufferedStream(stream, boundedCodec{}), handle)
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
