package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/runworks/runworks/modules/stream"
)

const (
	// resumeWithin is how long a call's work goes on without a reader.
	resumeWithin = 2 * time.Second
	// jobBytes bounds what is kept of one answer.
	jobBytes = 16 << 20
)

// job is the work of one call, which outlives a broken connection for a while.
type job struct {
	engine  *Engine
	id      string
	cancel  context.CancelFunc
	answer  stream.Buffer
	readers int
	left    *time.Timer
}

// begin starts the work of a call and keeps it by the request's id.
func (e *Engine) begin(id string, rank int, prompt string, call *completionCall, chat bool) *job {
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{engine: e, id: id, cancel: cancel, answer: stream.Buffer{Limit: jobBytes}}
	e.mu.Lock()
	if e.jobs == nil {
		e.jobs = make(map[string]*job)
	}
	e.jobs[id] = j
	e.mu.Unlock()
	go func() {
		defer cancel()
		j.answer.Close(e.work(ctx, j, rank, prompt, call, chat))
	}()
	return j
}

// Write implements io.Writer for the answer.
func (j *job) Write(p []byte) (int, error) {
	if err := j.answer.Write(context.Background(), p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// serve sends the answer from an offset on. Without a reader the work is
// cancelled after a while.
func (j *job) serve(w http.ResponseWriter, r *http.Request, from int64) {
	j.enter()
	defer j.leave()
	flush := http.NewResponseController(w)
	for {
		p, end, err := j.answer.Next(r.Context(), from)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if end {
			return
		}
		if _, err := w.Write(p); err != nil {
			return
		}
		from += int64(len(p))
		_ = flush.Flush()
	}
}

func (j *job) enter() {
	j.engine.mu.Lock()
	defer j.engine.mu.Unlock()
	j.readers++
	if j.left != nil {
		j.left.Stop()
	}
}

func (j *job) leave() {
	j.engine.mu.Lock()
	defer j.engine.mu.Unlock()
	j.readers--
	if j.readers == 0 {
		j.left = time.AfterFunc(resumeWithin, j.forget)
	}
}

func (j *job) forget() {
	j.engine.mu.Lock()
	defer j.engine.mu.Unlock()
	if j.readers == 0 {
		j.cancel()
		delete(j.engine.jobs, j.id)
	}
}

// resume serves the rest of an answer.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset in bytes", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	j := e.jobs[r.PathValue("id")]
	e.mu.Unlock()
	if j == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	j.serve(w, r, from)
}

// cancel ends the work of a call.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[r.PathValue("id")]; j != nil {
		j.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
