package tests

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/runworks/runworks"
)

// event is a call and what its caller received.
type event struct {
	call   *completionCall
	result *result
}

// key returns the idempotency key of the event's call, empty if it has none.
func (e *event) key() string { return e.call.Header[runworks.HeaderIdempotencyKey] }

// history holds what callers received and what the engines counted in one run.
type history struct {
	mu     sync.Mutex
	events []event
	// dispatches is how often engines received each request.
	dispatches map[runworks.RequestID]int
}

// add records a call and its result.
func (h *history) add(c *completionCall, r *result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{call: c, result: r})
}

// violations returns all violations of the invariants of calls and keys in the history.
func (h *history) violations() []string {
	var out []string
	for id, n := range h.dispatches {
		if n > 1 {
			out = append(out, fmt.Sprintf("request %s was dispatched %d times", id, n))
		}
	}
	for i := range h.events {
		out = append(out, h.eventViolations(&h.events[i])...)
	}
	return append(out, h.keyViolations()...)
}

// breach is one way in which an answer can violate an invariant.
type breach struct {
	found bool
	text  string
}

// eventViolations checks the answer of one call.
func (h *history) eventViolations(e *event) []string {
	r := e.result
	ran := h.dispatches[r.ID]
	want := e.call.wantText()
	answered := r.Err == nil
	refused := answered && r.Status != http.StatusOK
	shed := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
	breaches := []breach{
		{r.Complete && r.Text != want, "got a wrong answer"},
		{!strings.HasPrefix(want, strings.TrimRight(r.Text, " ")), "got a part of a wrong answer"},
		{r.Complete && e.key() == "" && ran != 1, "was answered but not dispatched exactly once"},
		{r.Outcome == runworks.OutcomeNotRun && ran > 0, "outcome is not-run but it was dispatched"},
		{refused && (r.Outcome == "" || r.Code == ""), "was refused without an outcome or code"},
		{answered && !refused && !r.Complete && r.Code == "", "ended incomplete without an error"},
		{shed && r.RetryAfter <= 0, "was refused without Retry-After"},
	}
	var out []string
	for _, b := range breaches {
		if b.found {
			out = append(out, fmt.Sprintf("%s (%s): %s: %+v", r.ID, e.call.Prompt, b.text, *r))
		}
	}
	return out
}

// keyViolations checks that the calls under one idempotency key ran at most once in total, and that
// none got the outcome not-run if one ran.
func (h *history) keyViolations() []string {
	sum := map[string]int{}
	notRun := map[string]bool{}
	for i := range h.events {
		e := &h.events[i]
		if e.key() == "" {
			continue
		}
		sum[e.key()] += h.dispatches[e.result.ID]
		notRun[e.key()] = notRun[e.key()] || e.result.Outcome == runworks.OutcomeNotRun
	}
	var out []string
	for key, n := range sum {
		if n > 1 {
			out = append(out, fmt.Sprintf("key %s was dispatched %d times", key, n))
		}
		if n > 0 && notRun[key] {
			out = append(out, fmt.Sprintf("key %s: an outcome is not-run but it was dispatched", key))
		}
	}
	return out
}

// check reports each violation as a test error.
func (h *history) check(t *testing.T, w *simCluster) {
	t.Helper()
	h.dispatches = w.dispatches()
	for _, v := range h.violations() {
		t.Error(v)
	}
}

// counts returns the number of events by result: done, the outcome, or broken.
func (h *history) counts() map[string]int {
	out := map[string]int{}
	for i := range h.events {
		r := h.events[i].result
		switch {
		case r.Complete:
			out["done"]++
		case r.Outcome != "":
			out[string(r.Outcome)]++
		default:
			out["broken"]++
		}
	}
	return out
}

// TestHistoryCheckerCatches checks that violations finds each kind of breach, so that a test that
// uses it cannot pass because the checker misses one.
func TestHistoryCheckerCatches(t *testing.T) {
	call := &completionCall{Prompt: "a b c", MaxTokens: 3}
	keyedCall := &completionCall{Prompt: "a b c", MaxTokens: 3, Header: map[string]string{runworks.HeaderIdempotencyKey: "k"}}
	good := &result{ID: "1", Status: 200, Complete: true, Text: "a b c"}
	tests := []struct {
		name       string
		events     []event
		dispatches map[runworks.RequestID]int
		want       int
	}{
		{"nothing wrong", []event{{call, good}}, map[runworks.RequestID]int{"1": 1}, 0},
		{"dispatched twice", nil, map[runworks.RequestID]int{"1": 2}, 1},
		{"another call's answer", []event{{call, &result{ID: "1", Status: 200, Complete: true, Text: "x y z"}}}, map[runworks.RequestID]int{"1": 1}, 2},
		{"partial answer looks complete", []event{{call, &result{ID: "1", Status: 200, Complete: true, Text: "a b"}}}, map[runworks.RequestID]int{"1": 1}, 1},
		{"not-run but ran", []event{{call, &result{ID: "1", Status: 503, Outcome: "not-run", Code: "x", RetryAfter: 1}}}, map[runworks.RequestID]int{"1": 1}, 1},
		{"no outcome", []event{{call, &result{ID: "1", Status: 502}}}, nil, 1},
		{"truncated without an error", []event{{call, &result{ID: "1", Status: 200, Text: "a"}}}, nil, 1},
		{"no Retry-After", []event{{call, &result{ID: "1", Status: 503, Outcome: "not-run", Code: "x"}}}, nil, 1},
		{
			"a key ran twice",
			[]event{{keyedCall, good}, {keyedCall, &result{ID: "2", Status: 200, Complete: true, Text: "a b c"}}},
			map[runworks.RequestID]int{"1": 1, "2": 1}, 1,
		},
		{
			"one call of a key is not-run and another ran",
			[]event{{keyedCall, good}, {keyedCall, &result{ID: "2", Status: 503, Outcome: "not-run", Code: "x", RetryAfter: 1}}},
			map[runworks.RequestID]int{"1": 1}, 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := &history{events: test.events, dispatches: test.dispatches}
			if got := h.violations(); len(got) != test.want {
				t.Errorf("%d violations, want %d: %q", len(got), test.want, got)
			}
		})
	}
}
