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

// plain serves a call of a plain service.
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

// hopHeaders are the hop-by-hop headers, which are not forwarded, and Content-Length.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// plainHeader returns the header for a plain service: the caller's header without hop-by-hop
// headers, the customer's key and the headers of runworks.
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

// withoutHopHeaders returns a copy of a header without hop-by-hop headers.
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

// startSpan starts the entry's span, in the caller's trace if the request carries one.
func (rt *Routes) startSpan(r *http.Request) (context.Context, trace.Span) {
	ctx := tracing.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return rt.Tracer.Start(ctx, tracing.SpanEntry)
}

// readBody reads the whole body of a call, limited in size and time.
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
