package runworks

// RateLimit is a backend server's word, in an answer, of how many requests it takes.
type RateLimit struct {
	// Named says that it names a limit; else it takes what its slots hold.
	Named bool `json:"named,omitempty"`
	// PerSecond is what it takes from all entries together, in requests a second.
	PerSecond float64 `json:"per_second,omitempty"`
}

// ServerLimit is what an entry tells the others of a backend server's limit.
type ServerLimit struct {
	RateLimit
	// Server is Instance.Life.
	Server string `json:"server"`
	// AgeMs is how long ago the server gave its word, in milliseconds.
	AgeMs int64 `json:"age_ms,omitempty"`
}
