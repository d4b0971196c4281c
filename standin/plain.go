package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/runworks/runworks"
)

// PlainService is a stand-in for a plain service: it says back what it was sent. Set
// the exported fields before use.
type PlainService struct {
	// Delay is how long a call takes.
	Delay time.Duration

	mu     sync.Mutex
	calls  map[string]int
	broken bool
}

// Echo is the answer of the plain service.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Handler answers every path with an Echo, and GET /stats with the calls by
// request id.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	mux.HandleFunc("/", p.echo)
	return mux
}

// Calls gives the number of calls by request id.
func (p *PlainService) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for id, n := range p.calls {
		out[id] = n
	}
	return out
}

// SetAbortCalls makes every call break after it has arrived.
func (p *PlainService) SetAbortCalls(broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = broken
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
	broken := p.broken
	p.mu.Unlock()
	if broken {
		panic(http.ErrAbortHandler)
	}
	if !wait(r.Context(), p.Delay) {
		return
	}
	writeJSON(w, Echo{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
}

// wait waits for d; false says that ctx ended first.
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
