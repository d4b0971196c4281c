package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/tracing"
)

// plain takes a call of a plain service.
func (rt *Routes) plain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	ctx, span := rt.startSpan(r)
	defer span.End()
	body, err := rt.readBody(w, r)
	if err != nil {
		writeFailure(w, "", err)
		return
	}
	req, err := newRequest(r)
	if err != nil {
		writeFailure(w, "", err)
		return
	}
	req.Service = params.ByName("service")
	req.MaxTokens = 1
	path := params.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	req.Call = runworks.Call{Method: r.Method, Path: path, Header: plainHeader(r.Header), Body: body}
	rt.serve(ctx, w, req)
}

// hopHeaders concern one connection only, and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// plainHeader gives the header a plain service gets: the caller's, less what
// concerns the connection, the customer's key and runworks itself.
func plainHeader(header http.Header) http.Header {
	out := withoutHopHeaders(header)
	out.Del("Authorization")
	for name := range out {
		if strings.HasPrefix(name, "Runworks-") {
			out.Del(name)
		}
	}
	return out
}

// withoutHopHeaders copies a header less what concerns one connection only.
func withoutHopHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// startSpan begins the startSpan of the entry's hop, in the caller's trace if it has one.
func (rt *Routes) startSpan(r *http.Request) (context.Context, trace.Span) {
	ctx := tracing.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return rt.Tracer.Start(ctx, tracing.SpanEntry)
}

// readBody reads a call's whole body, in bounded size and time.
func (rt *Routes) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := http.NewResponseController(w)
	_ = limit.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rt.MaxBodyBytes))
	if err != nil {
		return nil, bodyFailure(err, rt.MaxBodyBytes)
	}
	_ = limit.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyFailure(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return runworks.NotRun(errorx.Decorate(runworks.ErrTooLarge, "more than %d bytes", limit), 0)
	}
	return badRequest("the body could not be read to its end: %v", err)
}
