package httpconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// identifyAttempts bounds the connections on which a server is asked which one it is. An overloaded
	// server resets new ones, and so does one that is about to exit.
	identifyAttempts = 2
	// identifyWaits is how many waits of DefaultProbeTimeout an answer has: the first may end because
	// this process did not run, with the answer already here.
	identifyWaits = 2
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
	// ServerListens means that some process listens there that was not asked who it is.
	ServerListens ServerState = "listens"
	// ServerUnreachable means that no connection could be opened in time, but none was refused.
	ServerUnreachable ServerState = "unreachable"
	// ServerDisconnected means that the connection broke, or that what came was no response.
	ServerDisconnected ServerState = "disconnected"
	// ServerSilent means that there was no response in time.
	ServerSilent ServerState = "silent"
	// ServerUnnamed means that the response does not tell which server sent it.
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

// stateOf returns what is found of the server at address, on a new connection. A nil identify does not ask
// which server it is.
func (p *Pool) stateOf(ctx context.Context, address string, identify func() *http.Request) ServerState {
	var state ServerState
	for range identifyAttempts {
		c, err := p.probe(ctx, address)
		switch {
		case isRefused(err):
			return ServerExited
		case err != nil:
			state = ServerUnreachable
			continue
		case identify == nil:
			p.put(c)
			return ServerListens
		}
		if state, err = p.ask(ctx, c, identify()); err == nil {
			return state
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return ServerSilent
		}
		state = ServerDisconnected
	}
	return state
}

// ask sends a request on a new connection and returns which server responds. It keeps the connection for
// the next request, or closes it.
func (p *Pool) ask(ctx context.Context, c *conn, req *http.Request) (ServerState, error) {
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
	if err := c.awaitAnswer(orDefault(p.ProbeTimeout, DefaultProbeTimeout)); err != nil {
		return "", err
	}
	res, err := c.heads.ReadResponse(req)
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
