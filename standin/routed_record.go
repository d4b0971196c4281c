package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RoutedCall is a call that a RoutedServer executed.
type RoutedCall struct {
	ID, Method, Target, Customer, LastEvent string
	Header                                  http.Header
	Body                                    []byte
}

// SharesPart reports whether a part of the call's prompt, other than the last, has the given ID.
func (c *RoutedCall) SharesPart(id string) bool {
	parts := strings.Split(c.Header.Get(headerPromptPrefix), ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}

// RoutedArrival is a call that a RoutedServer received, executed or not.
type RoutedArrival struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
	// Backoff is the back-off in seconds that the server asked the front for; 0 if the call was
	// not rejected for back-off.
	Backoff float64 `json:"rest,omitempty"`
	// Misdirected reports whether the call was addressed to another incarnation and got status 421.
	Misdirected bool `json:"misdirected,omitempty"`
}

// RoutedRun is the execution of a call at a RoutedServer.
type RoutedRun struct {
	ID    string    `json:"id"`
	Began time.Time `json:"began"`
	// Arrived is when the last bytes of the request reached the server's host; Began is later if the server
	// gets no processor.
	Arrived time.Time `json:"arrived"`
	// Halved is when the first half of a response without events or a length was sent; zero until then.
	Halved time.Time `json:"halved,omitzero"`
	// Ended is when the response was complete or its caller's close reached the server's host; zero until the
	// server has noticed.
	Ended time.Time `json:"ended"`
}

// recordArrival records a received call and sets the headers of the server report.
func (b *RoutedServer) recordArrival(w http.ResponseWriter, r *http.Request) RoutedArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	arrival := RoutedArrival{ID: r.Header.Get(HeaderRoutedID), At: time.Now(), Backoff: b.faults.Backoff}
	if b.AnyInstance && !b.Nameless {
		w.Header().Set(headerInstanceID, b.Instance)
	}
	if want := r.Header.Get(headerInstance); want != "" && want != b.Instance && !b.AnyInstance {
		arrival.Backoff, arrival.Misdirected = 0, true
	}
	b.arrivals = append(b.arrivals, arrival)
	if b.faults.Limit != "" {
		w.Header().Set(headerLimit, b.faults.Limit)
	}
	if b.faults.Draining {
		w.Header().Set(HeaderRoutedDraining, "1")
	}
	if b.closable++; b.faults.CloseEach > 0 && b.closable%b.faults.CloseEach == 0 {
		w.Header().Set("Connection", "close")
	}
	if arrival.Backoff > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(arrival.Backoff, 'f', -1, 64))
	}
	return arrival
}

// Calls returns the executed calls in order of arrival.
func (b *RoutedServer) Calls() []RoutedCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]RoutedCall(nil), b.calls...)
}

// Arrivals returns all received calls, executed or not, in order of arrival.
func (b *RoutedServer) Arrivals() []RoutedArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]RoutedArrival(nil), b.arrivals...)
}

// MaxActive returns the highest number of concurrent calls so far.
func (b *RoutedServer) MaxActive() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxActive
}

// Active returns the number of calls in execution.
func (b *RoutedServer) Active() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active
}

// Runs returns the executions of calls in the order in which they began.
func (b *RoutedServer) Runs() []RoutedRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]RoutedRun(nil), b.runs...)
}
