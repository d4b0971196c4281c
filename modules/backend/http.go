package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/httpconn"
	"github.com/runworks/runworks/modules/rpc"
)

const (
	idleTimeout   = 30 * time.Second
	cancelTimeout = 2 * time.Second
	// resumeTimeout limits the wait for the head of the rest of a response, which an engine sends at once.
	resumeTimeout = 5 * time.Second
)

// HTTP sends calls to the backend server at Address; New creates it.
type HTTP struct {
	// Kind is the kind of the server: only an engine can resume and cancel requests by ID.
	Kind runworks.ServiceKind
	// Address is the base URL of the backend server.
	Address string
	// Dial opens connections; nil means the default dialer.
	Dial rpc.DialFunc

	reuse *http.Transport
	fresh *http.Transport
	rest  *http.Transport
}

// New returns a client for the backend server at the base URL address. A nil dial means the
// default dialer.
func New(kind runworks.ServiceKind, address string, dial rpc.DialFunc) *HTTP {
	h := &HTTP{Kind: kind, Address: address, Dial: dial}
	h.reuse = h.transport(false)
	h.fresh = h.transport(true)
	h.rest = h.transport(true)
	h.rest.ResponseHeaderTimeout = resumeTimeout
	return h
}

func (h *HTTP) transport(noKeepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:        h.dial,
		DisableCompression: true,
		DisableKeepAlives:  noKeepAlive,
		IdleConnTimeout:    idleTimeout,

		MaxResponseHeaderBytes: httpconn.MaxHeadBytes,
	}
}

// dial opens a connection for calls.
func (h *HTTP) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newKeptConn(c), nil
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.reuse.CloseIdleConnections()
	h.fresh.CloseIdleConnections()
	h.rest.CloseIdleConnections()
}

// Do implements runworks.Backend. The error is ErrNotDispatched if nothing was sent, and
// ErrBackend otherwise.
func (h *HTTP) Do(ctx context.Context, id runworks.RequestID, call *runworks.Call) (*runworks.Reply, error) {
	reply, err := h.send(ctx, id, call, h.reuse)
	switch {
	case !errors.Is(err, errEnded):
		return reply, err
	case ctx.Err() != nil:
		return nil, errorx.Decorate(runworks.ErrBackend, "call %s: %v", h.Address, err)
	}
	return h.send(ctx, id, call, h.fresh)
}

// send sends a call once, with a transport that may send it once only. The error is as that of Do, or errEnded if
// nothing was sent because the connection of another call had ended.
func (h *HTTP) send(ctx context.Context, id runworks.RequestID, call *runworks.Call, transport *http.Transport) (*runworks.Reply, error) {
	var connected atomic.Bool
	var kept atomic.Pointer[keptConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if c, ok := info.Conn.(*keptConn); ok {
			c.begin(info.Reused)
			kept.Store(c)
		}
	}}
	req, err := h.request(httptrace.WithClientTrace(ctx, trace), id, call)
	if err != nil {
		return nil, errorx.Decorate(runworks.ErrNotDispatched, "build the call: %v", err)
	}
	if Replayable(req) {
		transport = h.fresh
	}
	res, err := transport.RoundTrip(req)
	if err == nil {
		return &runworks.Reply{Status: res.StatusCode, Header: res.Header, Body: responseBody(res)}, nil
	}
	c := kept.Load()
	switch {
	case !connected.Load():
		return nil, errorx.Decorate(runworks.ErrNotDispatched, "reach %s: %v", h.Address, err)
	case c != nil && c.abandonUnsent():
		return nil, errEnded
	}
	return nil, errorx.Decorate(runworks.ErrBackend, "call %s: %v", h.Address, err)
}

// Resume implements runworks.Backend by GET /requests/{id}?from=N; its error is ErrGone.
func (h *HTTP) Resume(ctx context.Context, id runworks.RequestID, from int64) (*runworks.Reply, error) {
	if h.Kind != runworks.KindEngine {
		return nil, runworks.ErrGone
	}
	url := fmt.Sprintf("%s/requests/%s?from=%d", h.Address, id, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errorx.Decorate(runworks.ErrGone, "build the resume: %v", err)
	}
	res, err := h.rest.RoundTrip(req)
	if err != nil {
		return nil, errorx.Decorate(runworks.ErrGone, "resume at %s: %v", h.Address, err)
	}
	if problem := checkRest(res, id); problem != "" {
		_ = res.Body.Close()
		return nil, errorx.Decorate(runworks.ErrGone, "resume at %s: %s", h.Address, problem)
	}
	return &runworks.Reply{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

// checkRest returns what shows that a response is not the rest of that to a request, or that its own end could not
// be told; empty if it is. Whoever listens at the engine's address may send any response.
func checkRest(res *http.Response, id runworks.RequestID) string {
	switch got := res.Header.Get(runworks.HeaderRequestID); {
	case res.StatusCode != http.StatusOK:
		return res.Status
	case got != string(id):
		return fmt.Sprintf("the response is to request %q", got)
	case httpconn.CloseDelimited(res):
		return "the response has neither a length nor chunks"
	}
	return ""
}

// Cancel implements runworks.Backend by DELETE /requests/{id}. Errors are ignored: an engine
// that does not support the path aborts the call when its connection is closed.
func (h *HTTP) Cancel(ctx context.Context, id runworks.RequestID) {
	if h.Kind != runworks.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, h.Address+"/requests/"+string(id), nil)
	if err != nil {
		return
	}
	if res, err := h.reuse.RoundTrip(req); err == nil {
		_ = res.Body.Close()
	}
}

// request builds the HTTP request. The body is wrapped to hide its type, so that net/http does
// not set GetBody and cannot send the body a second time.
func (h *HTTP) request(ctx context.Context, id runworks.RequestID, call *runworks.Call) (*http.Request, error) {
	var body io.Reader
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, h.Address+call.Path, body)
	if err != nil {
		return nil, errorx.Decorate(err, "build %s %s", call.Method, call.Path)
	}
	req.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(runworks.HeaderRequestID, string(id))
	return req, nil
}

// Replayable reports whether http.Transport may send the request a second time after a reused
// connection broke. It does so for a request that has no body or has GetBody, and that has an
// idempotent method or an idempotency key.
func Replayable(req *http.Request) bool {
	if req.Body != nil && req.Body != http.NoBody && req.GetBody == nil {
		return false
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
}
