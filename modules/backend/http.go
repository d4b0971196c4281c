package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

const (
	idleTimeout   = 30 * time.Second
	cancelTimeout = 2 * time.Second
)

// HTTP sends calls to the backend server at Address.
type HTTP struct {
	// Kind says what stands there: only an engine resumes and cancels by id.
	Kind runworks.ServiceKind
	// Address is the base URL of the backend server.
	Address string
	// Dial opens connections; nil is the usual dialer.
	Dial rpc.DialFunc

	reuse *http.Transport
	fresh *http.Transport
}

// New builds a backend for the base URL.
func New(kind runworks.ServiceKind, address string, dial rpc.DialFunc) *HTTP {
	h := &HTTP{Kind: kind, Address: address, Dial: dial}
	h.reuse = h.transport(false)
	h.fresh = h.transport(true)
	return h
}

func (h *HTTP) transport(noKeepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:        h.Dial,
		DisableCompression: true,
		DisableKeepAlives:  noKeepAlive,
		IdleConnTimeout:    idleTimeout,
	}
}

// Close lets go of idle connections.
func (h *HTTP) Close() {
	h.reuse.CloseIdleConnections()
	h.fresh.CloseIdleConnections()
}

// Do implements runworks.Backend.
func (h *HTTP) Do(ctx context.Context, id runworks.RequestID, call *runworks.Call) (*runworks.Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := h.request(httptrace.WithClientTrace(ctx, trace), id, call)
	if err != nil {
		return nil, errorx.Decorate(runworks.ErrNotDispatched, "build the call: %v", err)
	}
	res, err := h.transportFor(req).RoundTrip(req) //nolint:bodyclose // the caller closes Reply.Body
	if err == nil {
		return &runworks.Reply{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
	}
	if !connected.Load() {
		return nil, errorx.Decorate(runworks.ErrNotDispatched, "reach %s: %v", h.Address, err)
	}
	return nil, errorx.Decorate(runworks.ErrBackend, "call %s: %v", h.Address, err)
}

// Resume implements runworks.Backend: GET /requests/{id}?from=N.
func (h *HTTP) Resume(ctx context.Context, id runworks.RequestID, from int64) (*runworks.Reply, error) {
	if h.Kind != runworks.KindEngine {
		return nil, runworks.ErrGone
	}
	url := fmt.Sprintf("%s/requests/%s?from=%d", h.Address, id, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errorx.Decorate(runworks.ErrGone, "build the resume: %v", err)
	}
	res, err := h.fresh.RoundTrip(req)
	if err != nil {
		return nil, errorx.Decorate(runworks.ErrGone, "resume at %s: %v", h.Address, err)
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errorx.Decorate(runworks.ErrGone, "resume at %s: %s", h.Address, res.Status)
	}
	return &runworks.Reply{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

// Cancel implements runworks.Backend: DELETE /requests/{id}. An engine that does
// not know the path gives the call up when its connection ends.
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

// request builds the HTTP request. Its body hides its type, so that net/http
// sets no GetBody and can't send the body a second time.
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

// transportFor picks a fresh connection for what net/http would send again by
// itself on a kept-alive connection that breaks.
func (h *HTTP) transportFor(req *http.Request) *http.Transport {
	if Replayable(req) {
		return h.fresh
	}
	return h.reuse
}

// Replayable says whether http.Transport may send the request a second time
// after a reused connection broke: without a body or with GetBody, and with an
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
