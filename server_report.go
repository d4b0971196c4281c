package runworks

import "time"

// ServerReport is what a backend server says of itself in an answer. It is the word of one life,
// and stands beside what that life's record says: a record comes late, or not at all while the
// store is away.
type ServerReport struct {
	// Limit is what it says of the requests that it takes; nil is not known.
	Limit *RateLimit
	// Draining says that it will end, and is to get nothing more from any entry.
	Draining bool
	// Backoff is for how long it wants nothing from the entry that it answers; 0 asks for none.
	Backoff time.Duration
	// Load is what it has to do; nil is not told.
	Load *ServerLoad
}

// ServerLoad is a backend server's own count of what it has to do.
type ServerLoad struct {
	// Running and Waiting are the requests that it works on, and those that it queues.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is how many it works on at once.
	Slots int `json:"slots"`
	// Slowness is how many times as long as usual its work takes; 0 is not told.
	Slowness float64 `json:"slowness,omitempty"`
}

// RateLimit is a backend server's word, in an answer, of how many requests it takes.
type RateLimit struct {
	// Named says that it names a limit; else it takes what its slots hold.
	Named bool `json:"named,omitempty"`
	// PerSecond is what it takes from all entries together, in requests a second.
	PerSecond float64 `json:"per_second,omitempty"`
}

// ServerNotice is what an entry tells the others of a backend server's words to all of them.
// A rest is asked of one entry, and is none of them.
type ServerNotice struct {
	// Server is Instance.Life.
	Server string `json:"server"`
	// Draining says that it will end; that holds as long as it lives.
	Draining bool `json:"leaving,omitempty"`
	// Limit is its newest word of the requests that it takes, and LimitAgeMs how many
	// milliseconds ago it gave that; nil tells nothing.
	Limit      *RateLimit `json:"limit,omitempty"`
	LimitAgeMs int64      `json:"limit_age_ms,omitempty"`
}

// AgedBy gives the notice as it reads a time after it was told.
func (n ServerNotice) AgedBy(d time.Duration) ServerNotice {
	if n.Limit != nil {
		n.LimitAgeMs += d.Milliseconds()
	}
	return n
}

// Merge gives the notice with what an older one says beyond it.
func (n ServerNotice) Merge(older ServerNotice) ServerNotice {
	n.Draining = n.Draining || older.Draining
	if n.Limit == nil {
		n.Limit, n.LimitAgeMs = older.Limit, older.LimitAgeMs
	}
	return n
}
