package httpconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// identifyWaits is how many parts the wait for an answer has: the first may end because this process did
	// not run, with the answer already here.
	identifyWaits = 2
	// identifyPause is the pause before the next connection.
	identifyPause = 20 * time.Millisecond
)

// ServerState is what is found of a server at the end of its response, if neither a length nor chunks end
// that.
type ServerState string

// The states of a server.
const (
	// ServerExited means that nothing listens at the address.
	ServerExited ServerState = "exited"
	// ServerReplaced means that another server listens there.
	ServerReplaced ServerState = "replaced"
	// ServerSame means that the server itself responded.
	ServerSame ServerState = "same"
	// ServerUnhealthy means that the server itself responded, and is failing or about to exit.
	ServerUnhealthy ServerState = "unhealthy"
	// ServerCut means that the server itself responded, and that the connection of the response was reset behind its end.
	ServerCut ServerState = "cut"
	// ServerUnreachable means that no connection could be opened in time, but none was refused.
	ServerUnreachable ServerState = "unreachable"
	// ServerDisconnected means that the connection broke, or that what came was no response.
	ServerDisconnected ServerState = "disconnected"
	// ServerSilent means that there was no response in time.
	ServerSilent ServerState = "silent"
	// ServerUnnamed means that the response does not tell which server sent it, or that some process listens
	// there that was not asked.
	ServerUnnamed ServerState = "unnamed"
)

// ServerAtEnd returns what was found of the server when the body of a response of Pool.Do ended; empty if
// it has not, or if it has a length or chunks.
func ServerAtEnd(res *http.Response) ServerState {
	if b, ok := res.Body.(*body); ok {
		return b.server
	}
	return ""
}

// IsWholeJSON reports whether the body of a response of Pool.Do without length or chunks has ended, and is a whole JSON
// object or array. Its server is not asked for its end.
func IsWholeJSON(res *http.Response) bool {
	b, ok := res.Body.(*body)
	return ok && b.json.End() == JSONComplete
}

// Identify returns what is found of the server at address, which is asked with the requests that identify returns, as
// Call.Identify does.
func (p *Pool) Identify(ctx context.Context, address string, identify func() *http.Request) ServerState {
	return p.stateOf(ctx, address, &Call{Identify: identify})
}

// stateOf returns what is found of the server at address. It asks until there is an answer, for as long as
// Call.IdentifyTimeout at least, on one connection after the other: an overloaded server resets new ones.
func (p *Pool) stateOf(ctx context.Context, address string, call *Call) ServerState {
	wait := identifyWaits * orDefault(p.ProbeTimeout, DefaultProbeTimeout)
	if call.IdentifyTimeout != nil {
		wait = max(wait, call.IdentifyTimeout())
	}
	deadline := time.Now().Add(wait)
	for n := 1; ; n++ {
		state := p.askOnce(ctx, address, call, n, deadline)
		known := state != ServerUnreachable && state != ServerDisconnected
		if known || !time.Now().Before(deadline) || ctx.Err() != nil {
			return state
		}
		pause.For(ctx, min(time.Duration(n)*identifyPause, max(time.Until(deadline), 0)))
	}
}

// askOnce returns what is found of the server at address, for the n-th time, on one connection.
func (p *Pool) askOnce(ctx context.Context, address string, call *Call, n int, deadline time.Time) ServerState {
	c, err := p.askingConn(ctx, address, n)
	switch {
	case isRefused(err):
		return ServerExited
	case err != nil:
		return ServerUnreachable
	}
	state, err := p.ask(ctx, c, call.Identify(), max(time.Until(deadline)/identifyWaits, orDefault(p.ProbeTimeout, DefaultProbeTimeout)))
	switch {
	case err == nil:
		return state
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ServerSilent
	}
	return ServerDisconnected
}

// askingConn returns the connection on which a server is asked for the n-th time: each other one is an unused
// one, if there is any, as an overloaded server resets new ones.
func (p *Pool) askingConn(ctx context.Context, address string, n int) (*conn, error) {
	if n%2 == 0 {
		if c := p.takeUsable(address); c != nil {
			return c, nil
		}
	}
	return p.probe(ctx, address)
}

// ask sends a request on a connection and returns which server responds; the answer may take twice the wait. It
// keeps the connection for the next request, or closes it.
func (p *Pool) ask(ctx context.Context, c *conn, req *http.Request, wait time.Duration) (ServerState, error) {
	guard := abortWhenDone(ctx, c)
	reusable := false
	defer func() {
		if guard.stop() && reusable {
			p.put(c)
			return
		}
		_ = c.Close()
	}()
	if err := c.SetWriteDeadline(time.Now().Add(orDefault(p.ProbeTimeout, DefaultProbeTimeout))); err != nil {
		return "", err
	}
	if err := req.Write(c); err != nil {
		return "", err
	}
	if err := c.awaitAnswer(wait); err != nil {
		return "", err
	}
	res, err := c.readFinal(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	c.readKeepAlive(res)
	_, err = io.CopyN(io.Discard, res.Body, maxMismatchedBytes)
	whole := errors.Is(err, io.EOF) && !res.Close && !CloseDelimited(res) && c.heads.Reader.Buffered() == 0
	reusable = whole && c.SetDeadline(time.Time{}) == nil
	return p.WhichServer(req, res), nil
}

// readFinal returns the head of the response to a request, and skips informational ones.
func (c *conn) readFinal(req *http.Request) (*http.Response, error) {
	for range maxInformational {
		res, err := c.heads.ReadResponse(req)
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
	return nil, errorx.ExternalError.New("only informational responses came")
}

// awaitAnswer waits until something is received, and gives the rest of the answer as long again.
func (c *conn) awaitAnswer(wait time.Duration) error {
	for range identifyWaits {
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		_, err := c.heads.Reader.Peek(1)
		if err == nil {
			return c.SetReadDeadline(time.Now().Add(wait))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	return errorx.Decorate(os.ErrDeadlineExceeded, "no answer")
}
