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

// ErrOutage is returned by all calls during a simulated outage.
var ErrOutage = errorx.ExternalError.New("log service unavailable")

// ErrLostResponse is returned by an append that took effect and whose response is lost.
var ErrLostResponse = errorx.ExternalError.New("append response lost")

const maxPageRecords = 100

// LogFaults are the faults that a Log simulates.
type LogFaults struct {
	// Outage makes every call fail with ErrOutage.
	Outage bool `json:"outage"`
	// LoseResponses is the number of appends that take effect and return ErrLostResponse.
	LoseResponses int `json:"lose_answers"`
	// LatencyMS is the delay of every call in milliseconds.
	LatencyMS int `json:"latency_ms"`
}

// Log is a fake of the platform's log service. Exported fields must be set
// before use.
type Log struct {
	// AppendsPerSecond limits the rate of appends; 0 sets no limit.
	AppendsPerSecond float64
	// Retain is the retention period of a record; 0 retains all records.
	Retain time.Duration

	mu      sync.Mutex
	faults  LogFaults
	first   int64
	records []logRecord
	limiter *rate.Limiter
}

// logRecord is a record with the time of its append.
type logRecord struct {
	at   time.Time
	data []byte
}

// SetFaults replaces the simulated faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append implements runworks.LogService. It waits if AppendsPerSecond is exceeded.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	if err := l.waitAppendRate(ctx); err != nil {
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

// dropExpiredLocked removes the records older than Retain.
func (l *Log) dropExpiredLocked() {
	for l.Retain > 0 && len(l.records) > 0 && time.Since(l.records[0].at) > l.Retain {
		l.records = l.records[1:]
		l.first++
	}
}

// Read implements runworks.LogService. It returns runworks.ErrTruncated with an empty page if from
// is no longer retained.
func (l *Log) Read(ctx context.Context, from int64) (*runworks.LogPage, error) {
	if err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpiredLocked()
	page := &runworks.LogPage{First: l.first, Next: l.first + int64(len(l.records))}
	if from < l.first {
		return page, runworks.ErrTruncated
	}
	for at := from; at < page.Next && len(page.Records) < maxPageRecords; at++ {
		page.Records = append(page.Records, runworks.LogRecord{Offset: at, Data: l.records[at-l.first].data})
	}
	return page, nil
}

// applyFaults simulates the latency and the outage.
func (l *Log) applyFaults(ctx context.Context) error {
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

// waitAppendRate delays an append to keep within AppendsPerSecond.
func (l *Log) waitAppendRate(ctx context.Context) error {
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

// Handler returns a handler of the protocol in docs/platform-log.md, and of
// POST /control with LogFaults as JSON.
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
		http.Error(w, "from must be an offset of 0 or more", http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), from)
	if err != nil && !errors.Is(err, runworks.ErrTruncated) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}
