package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for a backend server. It answers a call with events=N in its query with a stream.
type engine struct {
	site    *site
	id      string
	version string
	// work is the mean time of a call without events, first the time to the first event, in which a prompt is
	// read, and gap the time between two events.
	work, first, gap time.Duration
	// spoils reports whether the n-th answer is one of those that the engine spoils, and spoil writes it.
	spoils func(n int) bool
	spoil  func(conn net.Conn)

	address string
	answers atomic.Int64
	mu      sync.Mutex
	runs    map[string]time.Time
}

// start serves the engine on a free loopback port until the end of the case.
func (e *engine) start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	e.address = l.Addr().String()
	e.runs = make(map[string]time.Time)
	server := &http.Server{Handler: e, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(l) }()
	e.site.stops = append(e.site.stops, func() { _ = server.Close() })
	return nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs[id] = time.Now()
	e.mu.Unlock()
	w.Header().Set("X-Response-Signature", e.id+"."+id)
	n, err := strconv.Atoi(r.URL.Query().Get("events"))
	streams := err == nil
	if !streams && !pause(r.Context(), e.work/2+rand.N(e.work)) {
		return
	}
	if e.spoils != nil && e.spoils(int(e.answers.Add(1))) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			e.site.note("engine %s spoils its answer to %s", e.id, id)
			e.spoil(conn)
			_ = conn.Close()
		}
		return
	}
	if streams {
		e.stream(w, r, n)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s %s\n", e.id, id, r.RequestURI)
}

// stream sends the events after Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, n int) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.site.note("engine %s of version %s runs %s from event %d on", e.id, e.version, r.Header.Get("X-Request-Id"), last+1)
	if !pause(r.Context(), e.first) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for i := last + 1; i <= n; i++ {
		if !pause(r.Context(), e.gap) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, e.version, r.URL.Path)
		_ = controller.Flush()
	}
}

// ran reports whether the engine ran a request.
func (e *engine) ran(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.runs[id]
	return ok
}

// pause waits; it reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
