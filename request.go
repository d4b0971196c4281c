package runworks

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// RequestID names one request between entry and agent.
type RequestID string

// Incarnation names one life of a process; it is new at every start.
type Incarnation string

// Call is what a backend server is sent.
type Call struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path and query below the backend server's address.
	Path string `json:"path"`
	// Header is what the caller sent, less what concerns runworks alone.
	Header http.Header `json:"header,omitempty"`
	// Body is sent as it came.
	Body []byte `json:"-"`
}

// Reservation stands for a waiting request at an agent; it has no side effects.
type Reservation struct {
	ID RequestID `json:"id"`
	// Service is the service asked for.
	Service string `json:"service"`
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int `json:"tier"`
	// Customer is who asks.
	Customer string `json:"customer"`
	// Weight is the customer's share within the tier.
	Weight float64 `json:"weight,omitempty"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// MaxTokens is the most tokens the answer may have.
	MaxTokens int `json:"max_tokens,omitempty"`
	// TimeLeft is the time left until the request's time limit.
	TimeLeft time.Duration `json:"left"`
}

// Cost is the ticket's estimated work in tokens, at least 1.
func (t *Reservation) Cost() float64 {
	return float64(max(t.PromptTokens+t.MaxTokens, 1))
}

// Request is an admitted request, owned by one entry until its answer is given.
type Request struct {
	ID RequestID
	// Call is what the backend server will get.
	Call Call
	// Kind says whether an engine or a plain server does the work.
	Kind ServiceKind
	// Service is the service's name.
	Service string
	// Customer is the name of who asks.
	Customer string
	// Weight is the customer's share within the tier.
	Weight float64
	// Tier is the tier's name and Rank its rank.
	Tier string
	Rank int
	// Deadline is the end of the time limit, on the entry's monotonic clock.
	Deadline time.Time
	// Repeatable says whether a plain call may be tried again after it ran.
	Repeatable bool
	// IdempotencyKey is the caller's idempotency key, empty without one.
	IdempotencyKey string
	// PromptTokens and MaxTokens estimate the work in tokens.
	PromptTokens int
	MaxTokens    int
	// Trace carries the trace context to the agent.
	Trace map[string]string
}

// Reservation gives the ticket that stands for the request at the time now.
func (r *Request) Reservation(now time.Time) Reservation {
	return Reservation{
		ID: r.ID, Service: r.Service, Tier: r.Rank, Customer: r.Customer, Weight: r.Weight,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, TimeLeft: r.Deadline.Sub(now),
	}
}

// Attempt names the n-th placement of a request; an agent sees each name once.
func (id RequestID) Attempt(n int) RequestID {
	return id + RequestID("."+strconv.Itoa(n))
}

// Base gives the request that an attempt belongs to.
func (id RequestID) Base() RequestID {
	base, _, _ := strings.Cut(string(id), ".")
	return RequestID(base)
}

// NewIncarnation makes the name of a process's life, at its start.
func NewIncarnation() Incarnation { return Incarnation(uuid.NewString()) }
