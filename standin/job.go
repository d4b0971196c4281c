package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/stream"
)

const (
	// resumeTimeout is the time that a job runs without a reader before it is canceled.
	resumeTimeout = 2 * time.Second
	// maxJobBytes bounds the buffered bytes of one completion.
	maxJobBytes = 16 << 20
)

// job is the execution of one call. It continues for resumeTimeout after its connection
// broke, so that the caller can resume it.
type job struct {
	engine  *Engine
	id      string
	cancel  context.CancelFunc
	answer  stream.Buffer
	readers int
	expiry  *time.Timer
}

// startJob runs a call in the background and registers it under its request ID.
func (e *Engine) startJob(id string, rank int, prompt string, call *completionRequest, chat bool) *job {
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{engine: e, id: id, cancel: cancel, answer: stream.Buffer{Limit: maxJobBytes}}
	e.mu.Lock()
	if e.jobs == nil {
		e.jobs = make(map[string]*job)
	}
	e.jobs[id] = j
	e.mu.Unlock()
	go func() {
		defer cancel()
		j.answer.Close(e.run(ctx, j, rank, prompt, call, chat))
	}()
	return j
}

// Write implements io.Writer. It appends to the buffered completion.
func (j *job) Write(p []byte) (int, error) {
	if err := j.answer.Write(context.Background(), p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// serve sends the completion from a byte offset on. The last reader to return starts the
// resume timeout.
func (j *job) serve(w http.ResponseWriter, r *http.Request, from int64) {
	j.addReader()
	defer j.removeReader()
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

func (j *job) addReader() {
	j.engine.mu.Lock()
	defer j.engine.mu.Unlock()
	j.readers++
	if j.expiry != nil {
		j.expiry.Stop()
	}
}

func (j *job) removeReader() {
	j.engine.mu.Lock()
	defer j.engine.mu.Unlock()
	j.readers--
	if j.readers == 0 {
		j.expiry = time.AfterFunc(resumeTimeout, j.expire)
	}
}

func (j *job) expire() {
	j.engine.mu.Lock()
	defer j.engine.mu.Unlock()
	if j.readers == 0 {
		j.cancel()
		delete(j.engine.jobs, j.id)
	}
}

// resume serves the remaining bytes of a completion.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be a byte offset of 0 or more", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	j := e.jobs[r.PathValue("id")]
	e.mu.Unlock()
	if j == nil {
		http.Error(w, "unknown request ID", http.StatusNotFound)
		return
	}
	w.Header().Set(runworks.HeaderRequestID, j.id)
	_ = http.NewResponseController(w).Flush()
	j.serve(w, r, from)
}

// cancel aborts the job of a request.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[r.PathValue("id")]; j != nil {
		j.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
