package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/tcp"
	"github.com/runworks/runworks/services/admission"
	"github.com/runworks/runworks/services/entry"
)

// Limits for callers.
const (
	DefaultMaxBodyBytes = 8 << 20
	MaxHeaderBytes      = 64 << 10
	ReadHeaderTimeout   = 10 * time.Second
	readBodyTimeout     = 30 * time.Second
	idleTimeout         = 2 * time.Minute
)

// Routes serves the callers' HTTP routes.
type Routes struct {
	Entry     *entry.Entry
	Admission *admission.Admission
	Tracer    trace.Tracer
	// MaxBodyBytes limits the body of a call; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
}

// Handler returns the handler of all routes.
func (rt *Routes) Handler() http.Handler {
	if rt.MaxBodyBytes <= 0 {
		rt.MaxBodyBytes = DefaultMaxBodyBytes
	}
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.POST("/v1/chat/completions", rt.completions)
	router.POST("/v1/completions", rt.completions)
	router.GET("/v1/models", rt.models)
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		router.Handle(method, "/services/:service/*path", rt.plain)
	}
	router.NotFound = http.HandlerFunc(notFound)
	router.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	return router
}

// Server returns an HTTP server for the handler with the limits for callers.
func Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: tcp.ResetOnAbort(handler), ConnContext: tcp.WithConn, MaxHeaderBytes: MaxHeaderBytes,
		ReadHeaderTimeout: ReadHeaderTimeout, IdleTimeout: idleTimeout,
	}
}

// serve admits a call, runs it and forwards its response.
func (rt *Routes) serve(ctx context.Context, w http.ResponseWriter, req *admission.Request) {
	admitted, err := rt.Admission.Admit(req)
	if err != nil {
		writeFailure(w, "", err)
		return
	}
	defer admitted.Release()
	admittedReq := admitted.Request
	w.Header().Set(runworks.HeaderRequestID, string(admittedReq.ID))
	res, err := rt.Entry.Serve(ctx, admittedReq)
	if err != nil {
		writeFailure(w, admittedReq.ID, err)
		return
	}
	defer res.Close()
	writeResponse(w, admittedReq.ID, res)
}
