package runworks

import "time"

// ServerReport is the status that a backend server attaches to a response. It applies to one
// incarnation and complements that incarnation's record on the store, which may arrive late,
// or not at all while the store is unavailable.
type ServerReport struct {
	// Limit is the server's rate limit; nil if unknown.
	Limit *RateLimit
	// Draining is set if the server will exit and must receive no more calls from any entry.
	Draining bool
	// Backoff is the time for which the entry that receives the response must send nothing to
	// the server; 0 if none was requested.
	Backoff time.Duration
	// Load is the server's current load; nil if not reported.
	Load *ServerLoad
}

// ServerLoad is the load that a backend server reports.
type ServerLoad struct {
	// Running and Waiting are the numbers of requests being processed and queued.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests the server processes concurrently.
	Slots int `json:"slots"`
	// Slowness is the current processing time as a multiple of the usual one; 0 if unknown.
	Slowness float64 `json:"slowness,omitempty"`
}

// RateLimit is the request rate that a backend server accepts, as stated in a response.
type RateLimit struct {
	// Named is set if the server stated a limit; otherwise only its slots limit it.
	Named bool `json:"named,omitempty"`
	// PerSecond is the limit for all entries together, in requests per second.
	PerSecond float64 `json:"per_second,omitempty"`
}

// ServerNotice is the part of a backend server's reports that entries pass on to each other.
// It has no back-off, since a server requests that of a single entry.
type ServerNotice struct {
	// Server is the server's Instance.IncarnationID.
	Server string `json:"server"`
	// Draining is set if the server will exit; this holds for the rest of the incarnation.
	Draining bool `json:"leaving,omitempty"`
	// Limit is the server's latest rate limit, and LimitAgeMs the time since it was stated, in
	// milliseconds; a nil Limit carries no information.
	Limit      *RateLimit `json:"limit,omitempty"`
	LimitAgeMs int64      `json:"limit_age_ms,omitempty"`
}

// AgedBy returns the notice as it reads when d has passed since it was sent.
func (n ServerNotice) AgedBy(d time.Duration) ServerNotice {
	if n.Limit != nil {
		n.LimitAgeMs += d.Milliseconds()
	}
	return n
}

// Merge returns the notice, completed by what an older one has beyond it.
func (n ServerNotice) Merge(older ServerNotice) ServerNotice {
	n.Draining = n.Draining || older.Draining
	if n.Limit == nil {
		n.Limit, n.LimitAgeMs = older.Limit, older.LimitAgeMs
	}
	return n
}
