package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/runworks/runworks"
)

// PlainService is a fake plain service that echoes its requests. Exported fields must
// be set before use.
type PlainService struct {
	// Delay is the duration of a call.
	Delay time.Duration

	mu         sync.Mutex
	calls      map[string]int
	abortCalls bool
}

// Echo is the response of PlainService.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Handler returns a handler that responds to every path with an Echo, and to GET /stats
// with the number of calls by request ID.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	mux.HandleFunc("/", p.echo)
	return mux
}

// Calls returns the number of calls by request ID.
func (p *PlainService) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for id, n := range p.calls {
		out[id] = n
	}
	return out
}

// SetAbortCalls sets whether calls are aborted without a response after their body was read.
func (p *PlainService) SetAbortCalls(broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abortCalls = broken
}

func (p *PlainService) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.calls == nil {
		p.calls = make(map[string]int)
	}
	p.calls[r.Header.Get(runworks.HeaderRequestID)]++
	broken := p.abortCalls
	p.mu.Unlock()
	if broken {
		panic(http.ErrAbortHandler)
	}
	if !wait(r.Context(), p.Delay) {
		panic(http.ErrAbortHandler) // an empty response would say that it is whole
	}
	writeJSON(w, Echo{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
}

// wait waits for d. It reports false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
