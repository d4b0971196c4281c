package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
)

// refusingSlots refuses every call with the same error.
type refusingSlots struct{ err error }

func (r refusingSlots) Acquire(context.Context, *dispatch.Request) (*dispatch.Lease, error) {
	return nil, r.err
}

// TestRetryTimeOfRefusal guards against a caller that is told another time than the one that was kept for
// it, and against a log line that does not say why.
func TestRetryTimeOfRefusal(t *testing.T) {
	for _, c := range []struct {
		name     string
		err      error
		min, max time.Duration
		basis    string
	}{
		{"promised", &dispatch.Refusal{Err: runworks.ErrShortage, RetryAfter: 1234 * time.Millisecond, Basis: "promised"}, 1234 * time.Millisecond, 1234 * time.Millisecond, "promised"},
		{"nothing known", &dispatch.Refusal{Err: runworks.ErrShortage, Basis: "spread"}, 1500 * time.Millisecond, 5 * time.Second / 3, "spread"},
		{"not scheduled", runworks.ErrShortage, 1500 * time.Millisecond, 5 * time.Second / 3, "spread"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				f := newForwarder(t, &sender{replies: []reply{good}}, &out)
				f.Slots = refusingSlots{c.err}
				_, _, err := serve(context.Background(), f, "once")
				failure := failureOf(is, err)
				is.Equal(failure.Outcome, runworks.OutcomeNotRun)
				is.True(failure.RetryAfter >= c.min && failure.RetryAfter <= c.max)
				var line struct {
					RetryAfter int64  `json:"retry_after_ms"`
					Basis      string `json:"retry_basis"`
				}
				is.NoErr(json.Unmarshal(out.Bytes(), &line))
				is.Equal(line.RetryAfter, failure.RetryAfter.Milliseconds())
				is.Equal(line.Basis, c.basis)
			})
		})
	}
}
