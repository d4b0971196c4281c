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

// Engine is a fake model engine. Its completion of a prompt is the prompt's
// words, repeated in order up to max_tokens. Exported fields must be set
// before use.
type Engine struct {
	// Name is the engine's name in the load report.
	Name string
	// Slots is the number of requests that run at once. Others wait in order of rank.
	Slots int
	// PrefillPerSecond and DecodePerSecond are the rates of one request in tokens
	// per second; 0 takes no time.
	PrefillPerSecond float64
	DecodePerSecond  float64
	// CachedPrompts is the number of prompts in the prefix cache, whose prefill is
	// skipped on repetition.
	CachedPrompts int
	// ReportLag is the age of the load that Report returns.
	ReportLag time.Duration
	// CloseDelimited has completions sent without length or chunks, but not the rest of one that is resumed.
	CloseDelimited bool

	mu       sync.Mutex
	slowdown float64
	running  int
	waiting  waiters
	seq      int
	cache    []string
	loads    []loadSample
	stats    EngineStats
	jobs     map[string]*job
}

// EngineStats holds the counters of an Engine.
type EngineStats struct {
	// Dispatches counts calls by request ID.
	Dispatches map[string]int `json:"dispatches"`
	// PromptTokens counts prefilled tokens, WastedTokens the prompt tokens of
	// unfinished completions, and CachedTokens those found in the prefix cache.
	PromptTokens int `json:"prompt_tokens"`
	WastedTokens int `json:"thrown"`
	CachedTokens int `json:"cached"`
}

// Load is a load report: the requests that run and those that wait for a slot.
type Load struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

type loadSample struct {
	at   time.Time
	load Load
}

// completionRequest holds the fields of a request body that the engine reads.
type completionRequest struct {
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
	// decodeStep is the shortest time between two chunks of a stream.
	decodeStep = 5 * time.Millisecond
)

// CompletionWords returns the completion of a prompt: its words, repeated in order. A maxTokens of
// 0 or less selects the default of 16.
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

// Handler returns a handler of the completions API, GET and DELETE /requests/{id}, GET /load,
// GET /stats and POST /control?slow=F, which makes the engine F times as slow.
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
			http.Error(w, "slow must be a number greater than 0", http.StatusBadRequest)
			return
		}
		e.SetSlowdown(factor)
	})
	return mux
}

// SetSlowdown multiplies the duration of prefill and decode by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Stats returns a copy of the counters.
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

// Report returns the load of ReportLag ago.
func (e *Engine) Report() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.ReportLag)
	out := Load{Name: e.Name}
	for _, r := range e.loads {
		if r.at.After(cutoff) {
			break
		}
		out = r.load
	}
	return out
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	var call completionRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := call.Prompt
	for _, m := range call.Messages {
		prompt += m.Content + " "
	}
	e.countDispatch(r.Header.Get(runworks.HeaderRequestID))
	rank, _ := strconv.Atoi(r.Header.Get(runworks.HeaderRank))
	if call.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		w.Header().Set("Content-Type", "application/json")
	}
	if e.CloseDelimited {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	e.startJob(r.Header.Get(runworks.HeaderRequestID), rank, prompt, &call, chat).serve(w, r, 0)
}

// run waits for a slot, prefills the prompt and writes the completion, until ctx ends.
func (e *Engine) run(ctx context.Context, j *job, rank int, prompt string, call *completionRequest, chat bool) error {
	if err := e.acquire(ctx, rank); err != nil {
		return err
	}
	defer e.release()
	tokens := len(strings.Fields(prompt))
	if !e.prefill(ctx, prompt, tokens) {
		return ctx.Err()
	}
	answer := &completionWriter{engine: e, out: j, chat: chat, call: call, words: CompletionWords(prompt, call.MaxTokens), promptTokens: tokens}
	if !answer.write(ctx) {
		e.addWasted(tokens)
		return ctx.Err()
	}
	return nil
}

func (e *Engine) countDispatch(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stats.Dispatches == nil {
		e.stats.Dispatches = make(map[string]int)
	}
	e.stats.Dispatches[id]++
}

func (e *Engine) addWasted(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.WastedTokens += tokens
}

// prefill waits for the prefill time of an uncached prompt. It reports false if ctx ended first.
func (e *Engine) prefill(ctx context.Context, prompt string, tokens int) bool {
	e.mu.Lock()
	cached := e.checkCacheLocked(prompt)
	if cached {
		e.stats.CachedTokens += tokens
	} else {
		e.stats.PromptTokens += tokens
	}
	e.mu.Unlock()
	if cached {
		return true
	}
	if !e.waitTokens(ctx, float64(tokens), e.PrefillPerSecond) {
		e.addWasted(tokens)
		return false
	}
	return true
}

// checkCacheLocked reports whether the prompt is cached, and adds it if not. The oldest prompt
// is evicted first.
func (e *Engine) checkCacheLocked(prompt string) bool {
	for _, cachedPrompt := range e.cache {
		if cachedPrompt == prompt {
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

// waitTokens waits for the time that tokens take at a rate. It reports false if ctx ended first.
func (e *Engine) waitTokens(ctx context.Context, tokens, perSecond float64) bool {
	e.mu.Lock()
	factor := e.slowdown
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
