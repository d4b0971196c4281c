package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/tcp"
)

const (
	// maxMismatched limits the responses that are read in search of the matching one.
	maxMismatched = 3
	// maxInformational limits the informational responses before any other one.
	maxInformational = 32
	// maxMismatchedBytes limits the body of a response that is discarded.
	maxMismatchedBytes = 1 << 20
	// maxInlineBody is the largest body in bytes that is written before the response is read.
	// Larger ones are written concurrently, as a server may respond before it has read them.
	maxInlineBody = 8 << 10
)

// Errors of a body that only the end of its connection ends: the kernel closes the connection when the
// server's process exits, wherever the body is.
var (
	// ErrServerExited means that nothing listens at the server's address any more.
	ErrServerExited = errors.New("the server exited at the end of a response without length or chunks")
	// ErrServerReplaced means that another server listens there.
	ErrServerReplaced = errors.New("another server had the address at the end of a response without length or chunks")
)

// Call is a request that is sent once.
type Call struct {
	Request *http.Request
	// BeforeSend, unless nil, is called when a connection is available, just before the first byte is
	// written. If it fails, nothing is sent.
	BeforeSend func() error
	// Identify, unless nil, returns a request that asks the server which one it is and runs nothing. It is sent on a
	// new or unused connection when the end of a connection ends the response, and Pool.WhichServer reads the answer.
	// If it is nil, no such response is complete, unless its body shows that it is.
	Identify func() *http.Request
	// IdentifyTimeout, unless nil, returns how long the server is asked at least; it is never less than
	// twice Pool.ProbeTimeout.
	IdentifyTimeout func() time.Duration
}

// Do sends a call once to address (host:port). The error is that of BeforeSend, ErrNotDispatched if
// no byte can have been sent, and ErrBackend otherwise. The caller must close the body of the
// response. When ctx is done, or the caller whose request ctx belongs to closes its connection,
// this one is closed.
func (p *Pool) Do(ctx context.Context, address string, call *Call) (*http.Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	guard := abortWhenDone(ctx, c)
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			if guard.stop() {
				p.put(c)
			} else {
				_ = c.Close()
			}
			return nil, err
		}
	}
	x := &exchange{ctx: ctx, pool: p, conn: c, req: call.Request, call: call, guard: guard}
	res, err := x.run()
	if err != nil {
		guard.stop()
		_ = c.Close()
		if !x.dispatched.Load() {
			return nil, errorx.Decorate(runworks.ErrNotDispatched, "write to %s: %v", address, err)
		}
		return nil, errorx.Decorate(runworks.ErrBackend, "call %s: %v", address, err)
	}
	res.Body = &body{exchange: x, res: res, reader: res.Body, json: NewJSONCheck(res)}
	return res, nil
}

// exchange is one request on one connection.
type exchange struct {
	// ctx is the context that was passed to Do.
	ctx  context.Context
	pool *Pool
	conn *conn
	req  *http.Request
	call *Call
	// guard aborts the connection when the request is over before its response.
	guard *guard
	// dispatched is set once a byte of the request may have been sent.
	dispatched atomic.Bool
	// written is set once the complete request has been written.
	written atomic.Bool
}

// run writes the request and reads the head of the response.
func (x *exchange) run() (*http.Response, error) {
	if x.req.ContentLength <= maxInlineBody {
		if err := x.write(); err != nil {
			if !x.dispatched.Load() {
				return nil, err
			}
			// The server may have responded before it closed the connection.
			if res, readErr := x.read(); readErr == nil {
				return res, nil
			}
			return nil, err
		}
		return x.read()
	}
	go func() { _ = x.write() }()
	x.dispatched.Store(true)
	return x.read()
}

func (x *exchange) write() error {
	err := x.req.Write(&dispatchWriter{conn: x.conn, dispatched: &x.dispatched})
	if err == nil {
		x.written.Store(true)
	}
	return err
}

// dispatchWriter records whether the connection accepted a byte.
type dispatchWriter struct {
	conn       *conn
	dispatched *atomic.Bool
}

// Write implements io.Writer.
func (l *dispatchWriter) Write(b []byte) (int, error) {
	n, err := l.conn.Write(b)
	if n > 0 {
		l.dispatched.Store(true)
	}
	return n, err
}

// read returns the head of the response to the request. It skips informational responses and
// responses to other requests.
func (x *exchange) read() (*http.Response, error) {
	for range maxMismatched {
		res, err := x.conn.readFinal(x.req)
		if err != nil {
			return nil, err
		}
		if x.pool.MatchResponse == nil || x.pool.MatchResponse(x.req, res) {
			x.conn.readKeepAlive(res)
			return res, nil
		}
		if res.Close || CloseDelimited(res) {
			return nil, errorx.ExternalError.New("the answer to another request took this one's place")
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxMismatchedBytes); !errors.Is(err, io.EOF) {
			return nil, errorx.ExternalError.New("the answer to another request is too long to pass over")
		}
	}
	return nil, errorx.ExternalError.New("only answers to other requests came")
}

// body is the body of a response; once it is read completely, the connection returns to the
// pool.
type body struct {
	exchange *exchange
	res      *http.Response
	reader   io.ReadCloser
	once     sync.Once
	// server is what was found of the server at the end of a response without length or chunks.
	server ServerState
	// json follows the body; nil if it is not JSON, or has a length or chunks.
	json *JSONCheck
}

// Read implements io.Reader; it returns io.EOF only at the end of a complete body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.json.Scan(p[:n])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if CloseDelimited(b.res) {
		if cut := b.checkEnd(); cut != nil {
			b.finish(false)
			return n, cut
		}
	}
	b.finish(true)
	return n, err
}

// checkEnd returns an error unless the end of the connection is that of the body, as far as can be told: a JSON body shows
// that itself, and for any other one the server must say that it runs.
func (b *body) checkEnd() error {
	x := b.exchange
	switch end := b.json.End(); {
	case x.over():
		return net.ErrClosed
	case end == JSONComplete:
		return nil
	case end == JSONIncomplete:
		return ErrCutJSON
	case x.call.Identify == nil:
		return errorx.Decorate(runworks.ErrUnconfirmed, "%s was not asked", x.conn.address)
	}
	b.server = x.pool.stateOf(x.ctx, x.conn.address, x.call)
	end, _ := tcp.PeekPeerEnd(x.conn.Conn)
	switch {
	case x.over():
		return net.ErrClosed
	case end == tcp.PeerEndReset:
		b.server = ServerCut
		return errorx.Decorate(runworks.ErrUnconfirmed, "the connection to %s was reset behind the end", x.conn.address)
	case b.server == ServerExited:
		return ErrServerExited
	case b.server == ServerReplaced:
		return ErrServerReplaced
	case b.server == ServerSame, b.server == ServerUnhealthy:
		return nil
	}
	return errorx.Decorate(runworks.ErrUnconfirmed, "%s is %s", x.conn.address, b.server)
}

// over reports whether the request is over before its response: its context is done, or its caller has left. Connections are
// aborted one after the other then.
func (x *exchange) over() bool {
	return x.guard.aborted() || x.ctx.Err() != nil || tcp.PeerClosed(x.ctx)
}

// Close implements io.Closer. If the body was not read completely, it closes the connection.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(complete bool) {
	b.once.Do(func() {
		x := b.exchange
		if x.guard.stop() && complete && x.reusable(b.res) {
			x.pool.put(x.conn)
			return
		}
		_ = x.conn.Close()
	})
}

// CloseDelimited reports whether a response has neither a length nor chunks, so that only the end of
// its connection ends it.
func CloseDelimited(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead
}

// reusable reports whether the next request may use the connection.
func (x *exchange) reusable(res *http.Response) bool {
	return !CloseDelimited(res) && !res.Close && x.written.Load() && x.conn.heads.Reader.Buffered() == 0
}
