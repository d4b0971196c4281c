package runworks

import "time"

// Outcome is the result of a request, as reported to the caller.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeDone means that the backend server's response was received completely.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that certainly no backend server has run or will run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that the request ran and its failure is known.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that it cannot be determined whether the request ran.
	OutcomeUnknown Outcome = "unknown"
)

// Failure is the final result of a request whose outcome is not OutcomeDone.
type Failure struct {
	// Err is the sentinel error, possibly wrapped.
	Err     error
	Outcome Outcome
	// RetryAfter is the delay after which to retry; 0 if a retry is pointless.
	RetryAfter time.Duration
	// IdleAttempt is set if this call itself had no effect, although an earlier call with the
	// same idempotency key may have run.
	IdleAttempt bool
}

// Error returns the message of the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (f *Failure) Unwrap() error { return f.Err }

// NotRun returns the failure of a request that certainly never ran.
func NotRun(err error, retryAfter time.Duration) *Failure {
	return &Failure{Err: err, Outcome: OutcomeNotRun, RetryAfter: retryAfter}
}
