package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/runworks/runworks"
)

// Engine is a stand-in for a model engine. Its answer to a prompt is the
// prompt's words, repeated in order up to max_tokens. Set the exported fields
// before use.
type Engine struct {
	// Name shows in the load report.
	Name string
	// Slots is how many requests run at once; others wait by rank.
	Slots int
	// PrefillPerSecond and DecodePerSecond are its rates in tokens a second, for
	// each request.
	PrefillPerSecond float64
	DecodePerSecond  float64
	// CachedPrompts bounds the prompts whose prefill is skipped when they come
	// again.
	CachedPrompts int
	// ReportLag is how old the load report is.
	ReportLag time.Duration

	mu      sync.Mutex
	slow    float64
	running int
	waiting waiters
	seq     int
	cache   []string
	reports []report
	stats   EngineStats
	jobs    map[string]*job
}

// EngineStats is what the engine counted.
type EngineStats struct {
	// Dispatches counts calls by request id.
	Dispatches map[string]int `json:"dispatches"`
	// PromptTokens counts prefilled tokens, Thrown those whose answer was not
	// finished, and Cached those that the prefix cache spared.
	PromptTokens int `json:"prompt_tokens"`
	WastedTokens int `json:"thrown"`
	CachedTokens int `json:"cached"`
}

// Load is the engine's load report.
type Load struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

type report struct {
	at   time.Time
	load Load
}

// completionCall is what the engine reads of a call.
type completionCall struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const (
	defaultAnswerTokens = 16
	// decodeStep is the shortest time between two parts of a streamed answer.
	decodeStep = 5 * time.Millisecond
)

// CompletionWords gives the answer to a prompt: its words, repeated in order.
func CompletionWords(prompt string, maxTokens int) []string {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		words = []string{"..."}
	}
	if maxTokens <= 0 {
		maxTokens = defaultAnswerTokens
	}
	out := make([]string, maxTokens)
	for i := range out {
		out[i] = words[i%len(words)]
	}
	return out
}

// Handler serves the completions interface, GET and DELETE /requests/{id}, GET /load, GET /stats and
// POST /control?slow=F, which makes the engine F times as slow.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("GET /requests/{id}", e.resume)
	mux.HandleFunc("DELETE /requests/{id}", e.cancel)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Report()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		factor, err := strconv.ParseFloat(r.URL.Query().Get("slow"), 64)
		if err != nil || factor <= 0 {
			http.Error(w, "slow must be a number above zero", http.StatusBadRequest)
			return
		}
		e.SetSlowdown(factor)
	})
	return mux
}

// SetSlowdown makes the engine factor times as slow.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Stats gives what was counted.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Dispatches = make(map[string]int, len(e.stats.Dispatches))
	for id, n := range e.stats.Dispatches {
		out.Dispatches[id] = n
	}
	return out
}

// Report gives the load as it was ReportLag ago.
func (e *Engine) Report() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := time.Now().Add(-e.ReportLag)
	out := Load{Name: e.Name}
	for _, r := range e.reports {
		if r.at.After(old) {
			break
		}
		out = r.load
	}
	return out
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	var call completionCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := call.Prompt
	for _, m := range call.Messages {
		prompt += m.Content + " "
	}
	e.count(r.Header.Get(runworks.HeaderRequestID))
	rank, _ := strconv.Atoi(r.Header.Get(runworks.HeaderRank))
	if call.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		w.Header().Set("Content-Type", "application/json")
	}
	e.begin(r.Header.Get(runworks.HeaderRequestID), rank, prompt, &call, chat).serve(w, r, 0)
}

// work does the whole work of a call; it is cancelled by ctx.
func (e *Engine) work(ctx context.Context, j *job, rank int, prompt string, call *completionCall, chat bool) error {
	if err := e.acquire(ctx, rank); err != nil {
		return err
	}
	defer e.release()
	tokens := len(strings.Fields(prompt))
	if !e.prefill(ctx, prompt, tokens) {
		return ctx.Err()
	}
	answer := &engineAnswer{engine: e, out: j, chat: chat, call: call, words: CompletionWords(prompt, call.MaxTokens), prompt: tokens}
	if !answer.write(ctx) {
		e.throwAway(tokens)
		return ctx.Err()
	}
	return nil
}

func (e *Engine) count(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stats.Dispatches == nil {
		e.stats.Dispatches = make(map[string]int)
	}
	e.stats.Dispatches[id]++
}

func (e *Engine) throwAway(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.WastedTokens += tokens
}

// prefill takes the time the prompt needs; false says that the call was cancelled.
func (e *Engine) prefill(ctx context.Context, prompt string, tokens int) bool {
	e.mu.Lock()
	cached := e.cachedLocked(prompt)
	if cached {
		e.stats.CachedTokens += tokens
	} else {
		e.stats.PromptTokens += tokens
	}
	e.mu.Unlock()
	if cached {
		return true
	}
	if !e.pause(ctx, float64(tokens), e.PrefillPerSecond) {
		e.throwAway(tokens)
		return false
	}
	return true
}

// cachedLocked says whether the prompt is cached, and caches it.
func (e *Engine) cachedLocked(prompt string) bool {
	for _, one := range e.cache {
		if one == prompt {
			return true
		}
	}
	if e.CachedPrompts > 0 {
		e.cache = append(e.cache, prompt)
		if len(e.cache) > e.CachedPrompts {
			e.cache = e.cache[1:]
		}
	}
	return false
}

// pause takes the time for tokens at a rate; false says that ctx ended first.
func (e *Engine) pause(ctx context.Context, tokens, perSecond float64) bool {
	e.mu.Lock()
	factor := e.slow
	e.mu.Unlock()
	if factor == 0 {
		factor = 1
	}
	if perSecond <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(tokens / perSecond * factor * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
