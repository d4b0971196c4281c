package runworks

// HTTP headers defined by runworks, in the canonical form of net/http.
const (
	// HeaderOutcome is the outcome of a request that did not complete, sent to the caller.
	HeaderOutcome = "Runworks-Outcome"
	// HeaderAttempt is not-run if this call itself had no effect, even if an earlier call
	// with the same idempotency key ran.
	HeaderAttempt = "Runworks-Attempt"
	// HeaderRequestID is the request's ID, sent to callers and to backend servers.
	HeaderRequestID = "Runworks-Request-Id"
	// HeaderRank is the rank of the request's tier, sent to backend servers.
	HeaderRank = "Runworks-Rank"
	// HeaderTier is the name of the tier requested by the caller.
	HeaderTier = "Runworks-Tier"
	// HeaderKind is the request kind, as used in rules.
	HeaderKind = "Runworks-Kind"
	// HeaderTimeout is the caller's time limit, as a Go duration such as 30s.
	HeaderTimeout = "Runworks-Timeout"
	// HeaderIdempotencyKey is the caller's idempotency key for a request, a UUIDv7.
	HeaderIdempotencyKey = "Idempotency-Key"
)
