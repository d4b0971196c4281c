package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/runworks/runworks"
)

// ErrOutage is what the log service answers in an outage.
var ErrOutage = errorx.ExternalError.New("the log service is out")

// ErrLostResponse is an append whose answer was lost after it took effect.
var ErrLostResponse = errorx.ExternalError.New("the answer was lost")

const pageRecords = 100

// LogFaults are the log service's settable faults.
type LogFaults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// LoseResponses makes that many appends take effect and answer with an error.
	LoseResponses int `json:"lose_answers"`
	// LatencyMS delays every call, in milliseconds.
	LatencyMS int `json:"latency_ms"`
}

// Log is a stand-in for the platform's log service. Set the exported fields
// before use.
type Log struct {
	// AppendsPerSecond bounds the appends; 0 is no bound.
	AppendsPerSecond float64
	// Retain is how long a record is kept; 0 keeps it for good.
	Retain time.Duration

	mu      sync.Mutex
	faults  LogFaults
	first   int64
	records []logRecord
	limiter *rate.Limiter
}

// logRecord is a record with the time it was appended at.
type logRecord struct {
	at   time.Time
	data []byte
}

// SetFaults sets the faults from now on.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append implements runworks.LogService.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	if err := l.before(ctx); err != nil {
		return 0, err
	}
	if err := l.turn(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.first + int64(len(l.records))
	l.records = append(l.records, logRecord{at: time.Now(), data: append([]byte(nil), data...)})
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return 0, ErrLostResponse
	}
	return offset, nil
}

// dropLocked removes the records whose time is over.
func (l *Log) dropLocked() {
	for l.Retain > 0 && len(l.records) > 0 && time.Since(l.records[0].at) > l.Retain {
		l.records = l.records[1:]
		l.first++
	}
}

// Read implements runworks.LogService.
func (l *Log) Read(ctx context.Context, from int64) (*runworks.LogPage, error) {
	if err := l.before(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLocked()
	page := &runworks.LogPage{First: l.first, Next: l.first + int64(len(l.records))}
	if from < l.first {
		return page, runworks.ErrTruncated
	}
	for at := from; at < page.Next && len(page.Records) < pageRecords; at++ {
		page.Records = append(page.Records, runworks.LogRecord{Offset: at, Data: l.records[at-l.first].data})
	}
	return page, nil
}

// before takes the latency and the outage.
func (l *Log) before(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if !wait(ctx, time.Duration(f.LatencyMS)*time.Millisecond) {
		return context.Cause(ctx)
	}
	if f.Outage {
		return ErrOutage
	}
	return nil
}

// turn waits for a turn at the rate of appends.
func (l *Log) turn(ctx context.Context) error {
	if l.AppendsPerSecond <= 0 {
		return nil
	}
	l.mu.Lock()
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(l.AppendsPerSecond), 1)
	}
	limiter := l.limiter
	l.mu.Unlock()
	return limiter.Wait(ctx)
}

// Handler serves the log as docs/platform-log.md describes, and POST /control
// with Faults as JSON.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /records", l.serveAppend)
	mux.HandleFunc("GET /records", l.serveRead)
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var f LogFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetFaults(f)
	})
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	offset, err := l.Append(r.Context(), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), from)
	if err != nil && !errors.Is(err, runworks.ErrTruncated) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}
