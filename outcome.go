package runworks

import "time"

// Outcome tells a caller what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeDone means that the backend server answered and the answer is whole.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means proof that no backend server got the request, and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that the request ran and its failure is known.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that nobody can tell whether the request ran.
	OutcomeUnknown Outcome = "unknown"
)

// Failure is the final answer to a request that is not done.
type Failure struct {
	// Err is the sentinel error, perhaps wrapped.
	Err error
	// Outcome is what is known of the request.
	Outcome Outcome
	// RetryAfter is when to come back; zero where coming back makes no sense.
	RetryAfter time.Duration
	// IdleAttempt is set when this call itself did nothing, although an earlier
	// call under the same key may have run.
	IdleAttempt bool
}

// Error gives the message of the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap gives the cause to errors.Is and errors.As.
func (f *Failure) Unwrap() error { return f.Err }

// NotRun builds the failure of a request that provably never ran.
func NotRun(err error, retryAfter time.Duration) *Failure {
	return &Failure{Err: err, Outcome: OutcomeNotRun, RetryAfter: retryAfter}
}
