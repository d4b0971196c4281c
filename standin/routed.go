package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/tcp"
)

// Headers between a front and a backend server of the platform.
const (
	HeaderRoutedID        = "X-Request-Id"
	HeaderRoutedSignature = "X-Response-Signature"
	headerInstance        = "X-Expect-Instance"
	headerNotExecuted     = "X-Not-Executed"
	headerCustomer        = "X-Tenant-Id"
	headerTimeout         = "X-Timeout-Ms"
	headerPromptPrefix    = "X-Prompt-Prefix"
	headerLimit           = "Server-Limit"
	headerInstanceID      = "X-Instance-Id"
	// RoutedStatusPath is the path of status requests.
	RoutedStatusPath = "/health"
	// HeaderRoutedDraining is 1 in the responses of a draining server.
	HeaderRoutedDraining = "Server-Leaving"
	headerRetryAfter     = "Retry-After"
)

// RoutedServer is a fake backend server of the platform. Exported fields must be set
// before use.
type RoutedServer struct {
	// Instance is the incarnation ID.
	Instance string
	// Version is the version of its software.
	Version string
	// Delay is the time before the response, or before each event of a stream.
	Delay time.Duration
	// Step, unless 0, has the events of all streams sent at the same moments, its multiples, in place of Delay: as a
	// batch of requests is computed.
	Step time.Duration
	// OnCall, unless nil, is called with each call before it is executed.
	OnCall func(RoutedCall)
	// OnStop, unless nil, is called with each stream that a stop holds, by its target and the ID of the call.
	OnStop func(point Point, target, id string)
	// AnyInstance has the server run calls for other instances, too, and name itself in each response, unless Nameless is set.
	AnyInstance, Nameless bool
	// Hold, unless nil, blocks every call until it is closed.
	Hold <-chan struct{}

	mu     sync.Mutex
	faults RoutedFaults
	stops  []Stop
	calls  []RoutedCall
	// arrivals includes calls that were not executed.
	arrivals  []RoutedArrival
	runs      []RoutedRun
	active    int
	maxActive int
	// badCalls counts the calls to which RoutedFaults.Bad applied.
	badCalls int
	// responses counts the responses that CloseDelimitedEach may apply to.
	responses int
	// cuts counts the responses that RoutedEvents.CutPath applied to, and closable those that CloseEach may apply to.
	cuts, closable int
}

// RoutedResponseBody returns the response body of a call without events. It depends on the
// request alone.
func RoutedResponseBody(id, method, target string, body []byte) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(nil, "%s %s %s %s\n", id, method, target, hex.EncodeToString(sum[:]))
}

// RoutedJSON returns the response body of a call without events that has "origin" in its query: JSON that names the software
// version, the server and the call.
func RoutedJSON(version, instance, id, method, target string, body []byte) []byte {
	return fmt.Appendf(nil, "{\"call\": %q, \"origin\": \"%s %s/%s\"}\n", RoutedResponseBody(id, method, target, body), version, instance, id)
}

// RoutedEvent returns event n of a stream, counted from 1.
func RoutedEvent(target string, n int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s %d\n\n", n, target, n)
}

// Handler returns a handler of calls, with the executed calls at GET /calls, all received calls
// at GET /arrivals, the executions at GET /runs, the faults at POST /control, and the stops of
// streams at POST /stops.
func (b *RoutedServer) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /calls":
			writeJSON(w, b.Calls())
		case "GET /arrivals":
			writeJSON(w, b.Arrivals())
		case "GET /runs":
			writeJSON(w, b.Runs())
		case "POST /control":
			var f RoutedFaults
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			b.SetFaults(f)
		case "POST /stops":
			b.serveStops(w, r)
		default:
			b.ServeHTTP(w, r)
		}
	})
}

// ServeHTTP implements http.Handler. The response to a call with events=N in its query is
// a stream of N events.
func (b *RoutedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	arrived := tcp.ArrivedAt(r.Context(), time.Now())
	w.Header().Set(HeaderRoutedID, r.Header.Get(HeaderRoutedID))
	b.waitForStatusSlot(r)
	arrival := b.recordArrival(w, r)
	if arrival.Misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get(HeaderRoutedID) == "" {
		b.answerWithoutID(w, r)
		return
	}
	b.mu.Lock()
	if arrival.Backoff > 0 || b.consume(&b.faults.Reject) {
		b.mu.Unlock()
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call := RoutedCall{
		ID: r.Header.Get(HeaderRoutedID), Method: r.Method, Target: r.RequestURI, Customer: r.Header.Get(headerCustomer),
		LastEvent: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(), Body: body,
	}
	b.calls = append(b.calls, call)
	run := len(b.runs)
	b.runs = append(b.runs, RoutedRun{ID: call.ID, Began: time.Now(), Arrived: arrived})
	b.active++
	b.maxActive = max(b.maxActive, b.active)
	b.mu.Unlock()
	if b.OnCall != nil {
		b.OnCall(call)
	}
	defer func() {
		ended := tcp.ClosedAt(r.Context(), time.Now())
		b.mu.Lock()
		defer b.mu.Unlock()
		b.active--
		b.runs[run].Ended = ended
	}()
	if b.Hold != nil {
		select {
		case <-b.Hold:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	b.respond(w, r, body, run)
}

// waitForStatusSlot has a status request wait for a slot, whichever server it names.
func (b *RoutedServer) waitForStatusSlot(r *http.Request) {
	if r.Header.Get(HeaderRoutedID) != "" || r.URL.Path != RoutedStatusPath {
		return
	}
	b.mu.Lock()
	wait := time.Duration(b.faults.StatusWaitMs) * time.Millisecond
	b.mu.Unlock()
	waitFor(r, wait)
}

// answerWithoutID answers a status request; any other request without an ID is not executed.
func (b *RoutedServer) answerWithoutID(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != RoutedStatusPath {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(headerInstanceID, b.Instance)
	w.WriteHeader(http.StatusOK)
}

// respond writes the response to a call, with the faults that apply to it. run is the number of its
// execution.
func (b *RoutedServer) respond(w http.ResponseWriter, r *http.Request, body []byte, run int) {
	fails, delay := b.bad(r.URL.Path)
	if delay > 0 {
		waitFor(r, delay)
	}
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	id := r.Header.Get(HeaderRoutedID)
	data := RoutedResponseBody(id, r.Method, r.RequestURI, body)
	b.mu.Lock()
	endless, kind := b.consume(&b.faults.EndlessAnswers), b.faults.Endless
	b.mu.Unlock()
	if endless {
		b.sendEndless(w, kind, r, data)
		return
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("events")); err == nil {
		b.streamEvents(w, r, n)
		return
	}
	waitFor(r, b.Delay)
	b.pass(w, r, PointHead, 0)
	sign := signature(data)
	if r.URL.Query().Has("origin") {
		data, sign = b.originBody(w, r, body), b.Instance
	}
	reset, unframed, unsolicited, fail := b.plainFault()
	switch {
	case reset:
		resetConn(w, nil)
	case unframed:
		head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n", HeaderRoutedID, id)
		resetConn(w, append(head, data[:len(data)/2]...))
	case unsolicited:
		b.sendUnsolicited(w, id, sign, data)
	case fail:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set(HeaderRoutedSignature, sign)
		b.sendBody(w, r, data, run)
	}
}

// sendBody sends the body of a response without events.
func (b *RoutedServer) sendBody(w http.ResponseWriter, r *http.Request, data []byte, run int) {
	if b.closeDelimited() {
		w.Header().Set("Transfer-Encoding", "identity")
		half := len(data) / 2
		_, _ = w.Write(data[:half])
		_ = http.NewResponseController(w).Flush()
		b.mu.Lock()
		b.runs[run].Halved = time.Now()
		b.mu.Unlock()
		waitFor(r, b.Delay)
		data = data[half:]
	} else if len(b.stopsAt(r.RequestURI, PointBody, 0)) > 0 {
		half := len(data) / 2
		_, _ = w.Write(data[:half])
		data = data[half:]
	}
	b.pass(w, r, PointBody, 0)
	_, _ = w.Write(data)
}

func signature(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// waitForEvent waits until the next event of a stream is sent.
func (b *RoutedServer) waitForEvent(r *http.Request) {
	if b.Step == 0 {
		waitFor(r, b.Delay)
		return
	}
	now := time.Now()
	waitFor(r, now.Truncate(b.Step).Add(b.Step).Sub(now))
}

// waitFor waits for d. It aborts the response if the caller has closed the connection: on one that is closed in
// one direction only, a response that ends there would look complete.
func waitFor(r *http.Request, d time.Duration) {
	pause.For(r.Context(), d)
	if r.Context().Err() != nil || tcp.PeerClosed(r.Context()) {
		panic(http.ErrAbortHandler)
	}
}
