package runworks

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// RequestID identifies one request between entry and agent.
type RequestID string

// Incarnation identifies one run of a process; it differs at every start.
type Incarnation string

// Call is the HTTP request sent to a backend server.
type Call struct {
	Method string `json:"method"`
	// Path is the path and query, relative to the backend server's address.
	Path string `json:"path"`
	// Header holds the caller's headers without those meant only for runworks.
	Header http.Header `json:"header,omitempty"`
	// Body is forwarded unchanged.
	Body []byte `json:"-"`
}

// Reservation represents a request that waits at an agent. Creating or dropping it has no side
// effects.
type Reservation struct {
	ID RequestID `json:"id"`
	// Service is the name of the requested service.
	Service string `json:"service"`
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int `json:"tier"`
	// Customer is the customer's name.
	Customer string `json:"customer"`
	// Weight is the customer's share within the tier.
	Weight float64 `json:"weight,omitempty"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// MaxTokens is the maximum length of the response in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration `json:"left"`
}

// Cost returns the estimated work in tokens, at least 1.
func (t *Reservation) Cost() float64 {
	return float64(max(t.PromptTokens+t.MaxTokens, 1))
}

// Request is an admitted request, owned by one entry until it is answered.
type Request struct {
	ID RequestID
	// Call is the call to send to the backend server.
	Call Call
	// Kind is the kind of the service.
	Kind    ServiceKind
	Service string
	// Customer is the customer's name.
	Customer string
	// Weight is the customer's share within the tier.
	Weight float64
	// Tier is the tier's name and Rank its rank.
	Tier string
	Rank int
	// Deadline is the end of the time limit, on the entry's monotonic clock.
	Deadline time.Time
	// Repeatable is set if a call to a plain service may be retried after it ran.
	Repeatable bool
	// IdempotencyKey is the caller's idempotency key; empty if none was sent.
	IdempotencyKey string
	// PromptTokens and MaxTokens estimate the work in tokens.
	PromptTokens int
	MaxTokens    int
	// Trace is the trace context propagated to the agent.
	Trace map[string]string
}

// Reservation returns the reservation for the request at the time now.
func (r *Request) Reservation(now time.Time) Reservation {
	return Reservation{
		ID: r.ID, Service: r.Service, Tier: r.Rank, Customer: r.Customer, Weight: r.Weight,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, TimeLeft: r.Deadline.Sub(now),
	}
}

// Attempt returns the ID of the n-th placement of a request. An agent receives each such ID
// only once.
func (id RequestID) Attempt(n int) RequestID {
	return id + RequestID("."+strconv.Itoa(n))
}

// Base returns the ID of the request that an attempt belongs to.
func (id RequestID) Base() RequestID {
	base, _, _ := strings.Cut(string(id), ".")
	return RequestID(base)
}

// NewIncarnation returns a new random incarnation ID.
func NewIncarnation() Incarnation { return Incarnation(uuid.NewString()) }
