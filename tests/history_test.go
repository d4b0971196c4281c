package tests

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/runworks/runworks"
)

// event is one call as its caller saw it.
type event struct {
	call   *completionCall
	result *result
}

// key gives the event's idempotency key.
func (e *event) key() string { return e.call.Header[runworks.HeaderIdempotencyKey] }

// history is what callers saw and what the engines counted in one run.
type history struct {
	mu     sync.Mutex
	events []event
	// dispatches counts, for each request, how often engines got it.
	dispatches map[runworks.RequestID]int
}

// add records a call and its result.
func (h *history) add(c *completionCall, r *result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{call: c, result: r})
}

// violations gives every breach of what must always hold that the history shows.
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

// breach is one way in which an answer can be wrong.
type breach struct {
	found bool
	text  string
}

// eventViolations checks one answer for itself.
func (h *history) eventViolations(e *event) []string {
	r := e.result
	ran := h.dispatches[r.ID]
	want := e.call.wantText()
	answered := r.Err == nil
	refused := answered && r.Status != http.StatusOK
	shed := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
	breaches := []breach{
		{r.Whole && r.Text != want, "got another answer"},
		{!strings.HasPrefix(want, strings.TrimRight(r.Text, " ")), "got a part of another answer"},
		{r.Whole && e.key() == "" && ran != 1, "was answered and not dispatched once"},
		{r.Outcome == runworks.OutcomeNotRun && ran > 0, "was told not-run and was dispatched"},
		{refused && (r.Outcome == "" || r.Code == ""), "was refused without an outcome"},
		{answered && !refused && !r.Whole && r.Code == "", "ended without an error and is not whole"},
		{shed && r.RetryAfter <= 0, "was refused without a time to come back"},
	}
	var out []string
	for _, b := range breaches {
		if b.found {
			out = append(out, fmt.Sprintf("%s (%s): %s: %+v", r.ID, e.call.Prompt, b.text, *r))
		}
	}
	return out
}

// keyViolations checks that the calls under one key ran at most once in all, and
// that none was told not-run if one ran.
func (h *history) keyViolations() []string {
	sum := map[string]int{}
	told := map[string]bool{}
	for i := range h.events {
		e := &h.events[i]
		if e.key() == "" {
			continue
		}
		sum[e.key()] += h.dispatches[e.result.ID]
		told[e.key()] = told[e.key()] || e.result.Outcome == runworks.OutcomeNotRun
	}
	var out []string
	for key, n := range sum {
		if n > 1 {
			out = append(out, fmt.Sprintf("key %s was dispatched %d times", key, n))
		}
		if n > 0 && told[key] {
			out = append(out, fmt.Sprintf("key %s was told not-run and was dispatched", key))
		}
	}
	return out
}

// check fails the test for every violation.
func (h *history) check(t *testing.T, w *simCluster) {
	t.Helper()
	h.dispatches = w.dispatches()
	for _, v := range h.violations() {
		t.Error(v)
	}
}

// counts sums the events by what the caller was told.
func (h *history) counts() map[string]int {
	out := map[string]int{}
	for i := range h.events {
		r := h.events[i].result
		switch {
		case r.Whole:
			out["done"]++
		case r.Outcome != "":
			out[string(r.Outcome)]++
		default:
			out["broken"]++
		}
	}
	return out
}

// TestHistoryCheckerCatches shows that the checker finds each kind of breach in
// a history that has it.
func TestHistoryCheckerCatches(t *testing.T) {
	call := &completionCall{Prompt: "a b c", MaxTokens: 3}
	keyedCall := &completionCall{Prompt: "a b c", MaxTokens: 3, Header: map[string]string{runworks.HeaderIdempotencyKey: "k"}}
	good := &result{ID: "1", Status: 200, Whole: true, Text: "a b c"}
	tests := []struct {
		name       string
		events     []event
		dispatches map[runworks.RequestID]int
		want       int
	}{
		{"nothing wrong", []event{{call, good}}, map[runworks.RequestID]int{"1": 1}, 0},
		{"dispatched twice", nil, map[runworks.RequestID]int{"1": 2}, 1},
		{"another's answer", []event{{call, &result{ID: "1", Status: 200, Whole: true, Text: "x y z"}}}, map[runworks.RequestID]int{"1": 1}, 2},
		{"a part looks whole", []event{{call, &result{ID: "1", Status: 200, Whole: true, Text: "a b"}}}, map[runworks.RequestID]int{"1": 1}, 1},
		{"not-run but ran", []event{{call, &result{ID: "1", Status: 503, Outcome: "not-run", Code: "x", RetryAfter: 1}}}, map[runworks.RequestID]int{"1": 1}, 1},
		{"no outcome", []event{{call, &result{ID: "1", Status: 502}}}, nil, 1},
		{"silently short", []event{{call, &result{ID: "1", Status: 200, Text: "a"}}}, nil, 1},
		{"no time to come back", []event{{call, &result{ID: "1", Status: 503, Outcome: "not-run", Code: "x"}}}, nil, 1},
		{
			"a key ran twice",
			[]event{{keyedCall, good}, {keyedCall, &result{ID: "2", Status: 200, Whole: true, Text: "a b c"}}},
			map[runworks.RequestID]int{"1": 1, "2": 1}, 1,
		},
		{
			"a key's call told not-run and another ran",
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
