package runworks

// The headers that runworks adds to HTTP, in the form net/http keeps them.
const (
	// HeaderOutcome tells a caller the outcome of a request that is not done.
	HeaderOutcome = "Runworks-Outcome"
	// HeaderAttempt is not-run if this call itself did nothing, whatever an
	// earlier call under the same key did.
	HeaderAttempt = "Runworks-Attempt"
	// HeaderRequestID names the request, to callers and to backend servers.
	HeaderRequestID = "Runworks-Request-Id"
	// HeaderRank tells a backend server the rank of a request's tier.
	HeaderRank = "Runworks-Rank"
	// HeaderTier is the caller's wish for a tier, by name.
	HeaderTier = "Runworks-Tier"
	// HeaderKind is the request kind, as the rules name it.
	HeaderKind = "Runworks-Kind"
	// HeaderTimeout is the caller's time limit, as a Go duration such as 30s.
	HeaderTimeout = "Runworks-Timeout"
	// HeaderIdempotencyKey is the caller's key for a request, a UUIDv7.
	HeaderIdempotencyKey = "Idempotency-Key"
)
