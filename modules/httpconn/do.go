package httpconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

const (
	// maxMismatched bounds the answers that are passed over in search of ours.
	maxMismatched = 3
	// maxMismatchedBytes bounds what is read of one of them.
	maxMismatchedBytes = 1 << 20
	// maxInlineBody is the largest body that is written before the answer is looked
	// for; larger ones are written beside, as a server may answer early.
	maxInlineBody = 8 << 10
)

// Do sends a request once to the address host:port. Wanted, unless nil, is asked when a
// connection is there, just before the first byte would leave: its error is given back and
// nothing is sent. Other errors are ErrNotDispatched only if no byte can have left, else
// ErrBackend. The caller closes the answer's body; the end of ctx cuts the connection.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, beforeSend func() error) (*http.Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	if beforeSend != nil {
		if err := beforeSend(); err != nil {
			p.put(c)
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{pool: p, conn: c, req: req, stop: stop}
	res, err := x.run()
	if err != nil {
		stop()
		_ = c.Close()
		if !x.dispatched.Load() {
			return nil, errorx.Decorate(runworks.ErrNotDispatched, "write to %s: %v", address, err)
		}
		return nil, errorx.Decorate(runworks.ErrBackend, "call %s: %v", address, err)
	}
	res.Body = &body{exchange: x, res: res, reader: res.Body}
	return res, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	req  *http.Request
	stop func() bool
	// dispatched is set once a byte of the request may have dispatched.
	dispatched atomic.Bool
	// written is set once the whole request has been written.
	written atomic.Bool
}

// run writes the request and reads the head of its answer.
func (x *exchange) run() (*http.Response, error) {
	if x.req.ContentLength <= maxInlineBody {
		if err := x.write(); err != nil {
			if !x.dispatched.Load() {
				return nil, err
			}
			// The answer may have come all the same.
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

// dispatchWriter notes that a byte was taken by the connection.
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

// read gives the head of the answer that belongs to the request; it passes over
// informational answers and those of other requests.
func (x *exchange) read() (*http.Response, error) {
	for range maxMismatched {
		res, err := http.ReadResponse(x.conn.br, x.req)
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if x.pool.MatchResponse == nil || x.pool.MatchResponse(x.req, res) {
			x.conn.readKeepAlive(res)
			return res, nil
		}
		if res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, errorx.ExternalError.New("the answer to another request took this one's place")
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxMismatchedBytes); !errors.Is(err, io.EOF) {
			return nil, errorx.ExternalError.New("the answer to another request is too long to pass over")
		}
	}
	return nil, errorx.ExternalError.New("only answers to other requests came")
}

// body is an answer's body; at its whole end the connection is kept.
type body struct {
	exchange *exchange
	res      *http.Response
	reader   io.ReadCloser
	once     sync.Once
}

// Read implements io.Reader; io.EOF is only given at the whole end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish(true)
	}
	return n, err
}

// Close implements io.Closer; an answer that was not read to its end takes its
// connection with it.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(complete bool) {
	b.once.Do(func() {
		x := b.exchange
		if x.stop() && complete && x.reusable(b.res) {
			x.pool.put(x.conn)
			return
		}
		_ = x.conn.Close()
	})
}

// reusable says whether the next request may use the connection.
func (x *exchange) reusable(res *http.Response) bool {
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	return framed && !res.Close && x.written.Load() && x.conn.br.Buffered() == 0
}
