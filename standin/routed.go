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
)

// The headers between a front and a backend server of the users' platform.
const (
	HeaderRoutedID        = "X-Request-Id"
	HeaderRoutedSignature = "X-Response-Signature"
	routedInstance        = "X-Expect-Instance"
	routedNotRun          = "X-Not-Executed"
	routedCustomer        = "X-Tenant-Id"
	routedTimeout         = "X-Timeout-Ms"
	routedLimit           = "Server-Limit"
	// HeaderRoutedDraining is 1 in the answers of a server that will end.
	HeaderRoutedDraining = "Server-Leaving"
	routedRest           = "Retry-After"
)

// RoutedCall is a call that a Routed server ran.
type RoutedCall struct {
	ID, Method, Target, Customer, LastEvent string
	Header                                  http.Header
	Body                                    []byte
}

// RoutedArrival is a call that came to a Routed server, also one that did not run.
type RoutedArrival struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
	// Backoff is for how many seconds the call's front was asked to send nothing; 0 if the call
	// was not turned away so.
	Backoff float64 `json:"rest,omitempty"`
	// Misdirected says that it was meant for another life, and was answered so.
	Misdirected bool `json:"misdirected,omitempty"`
}

// RoutedServer is a stand-in for a backend server of the users' platform. Set the
// exported fields before use.
type RoutedServer struct {
	// Instance is the id of its life.
	Instance string
	// Delay is how long a call runs before its answer, or between two events.
	Delay time.Duration
	// OnCall, unless nil, is told of each call that runs, before it does.
	OnCall func(RoutedCall)
	// Hold, unless nil, keeps every call running until it is closed.
	Hold <-chan struct{}

	mu     sync.Mutex
	faults RoutedFaults
	calls  []RoutedCall
	// arrivals are all calls that came, also those that did not run.
	arrivals []RoutedArrival
	active   int
	most     int
}

// Calls gives the calls that were run, in their order.
func (b *RoutedServer) Calls() []RoutedCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]RoutedCall(nil), b.calls...)
}

// Arrivals gives the calls that came, also those that did not run, in their order.
func (b *RoutedServer) Arrivals() []RoutedArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]RoutedArrival(nil), b.arrivals...)
}

// MaxActive gives the most calls that ran at once.
func (b *RoutedServer) MaxActive() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.most
}

// Active gives how many calls run now.
func (b *RoutedServer) Active() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active
}

// RoutedResponseBody is the body that a call without events gets, a function of the
// request alone.
func RoutedResponseBody(id, method, target string, body []byte) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(nil, "%s %s %s %s\n", id, method, target, hex.EncodeToString(sum[:]))
}

// RoutedEvent is the event of a number, from 1, of a stream.
func RoutedEvent(target string, n int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s %d\n\n", n, target, n)
}

// Handler serves calls, the ones that ran at GET /calls, when calls came at GET /arrivals,
// and faults at POST /control.
func (b *RoutedServer) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /calls":
			writeJSON(w, b.Calls())
		case "GET /arrivals":
			writeJSON(w, b.Arrivals())
		case "POST /control":
			var f RoutedFaults
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			b.SetFaults(f)
		default:
			b.ServeHTTP(w, r)
		}
	})
}

// ServeHTTP implements http.Handler. A call whose query has events=N is answered
// by a stream of N events.
func (b *RoutedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(HeaderRoutedID, r.Header.Get(HeaderRoutedID))
	arrived := b.arrive(w, r)
	if arrived.Misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	if arrived.Backoff > 0 || b.spend(&b.faults.Reject) {
		b.mu.Unlock()
		w.Header().Set(routedNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call := RoutedCall{
		ID: r.Header.Get(HeaderRoutedID), Method: r.Method, Target: r.RequestURI, Customer: r.Header.Get(routedCustomer),
		LastEvent: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(), Body: body,
	}
	b.calls = append(b.calls, call)
	b.active++
	b.most = max(b.most, b.active)
	b.mu.Unlock()
	if b.OnCall != nil {
		b.OnCall(call)
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.active--
	}()
	if b.Hold != nil {
		select {
		case <-b.Hold:
		case <-r.Context().Done():
			return
		}
	}
	b.answer(w, r, body)
}

// arrive notes that a call came, and puts what the server says of itself in its answer.
func (b *RoutedServer) arrive(w http.ResponseWriter, r *http.Request) RoutedArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := RoutedArrival{ID: r.Header.Get(HeaderRoutedID), At: time.Now(), Backoff: b.faults.Backoff}
	if want := r.Header.Get(routedInstance); want != "" && want != b.Instance {
		one.Backoff, one.Misdirected = 0, true
	}
	b.arrivals = append(b.arrivals, one)
	if b.faults.Limit != "" {
		w.Header().Set(routedLimit, b.faults.Limit)
	}
	if b.faults.Draining {
		w.Header().Set(HeaderRoutedDraining, "1")
	}
	if one.Backoff > 0 {
		w.Header().Set(routedRest, strconv.FormatFloat(one.Backoff, 'f', -1, 64))
	}
	return one
}

// answer gives the answer to a call, with the faults that hit it.
func (b *RoutedServer) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	if n, err := strconv.Atoi(r.URL.Query().Get("events")); err == nil {
		b.stream(w, r, n)
		return
	}
	if !waitFor(r, b.Delay) {
		return
	}
	id := r.Header.Get(HeaderRoutedID)
	data := RoutedResponseBody(id, r.Method, r.RequestURI, body)
	b.mu.Lock()
	reset, unframed, surplus, fail := b.spend(&b.faults.Reset), false, false, false
	if !reset {
		unframed = b.spend(&b.faults.Unframed)
		surplus = !unframed && b.spend(&b.faults.Unsolicited)
		fail = !unframed && !surplus && b.spend(&b.faults.Fail)
	}
	b.mu.Unlock()
	switch {
	case reset:
		resetConn(w, nil)
	case unframed:
		head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n", HeaderRoutedID, id)
		resetConn(w, append(head, data[:len(data)/2]...))
	case surplus:
		b.surplus(w, id, data)
	case fail:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set(HeaderRoutedSignature, signature(data))
		_, _ = w.Write(data)
	}
}

func signature(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// stream sends events from the one behind Last-Event-Id on.
func (b *RoutedServer) stream(w http.ResponseWriter, r *http.Request, events int) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderRoutedSignature, b.Instance)
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if !waitFor(r, b.Delay) {
			return
		}
		event := RoutedEvent(r.RequestURI, n)
		if b.breaks(n) {
			_, _ = w.Write(event[:len(event)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(event)
		_ = controller.Flush()
	}
}

// waitFor waits for d; false says that the caller left.
func waitFor(r *http.Request, d time.Duration) bool {
	pause.For(r.Context(), d)
	return r.Context().Err() == nil
}
