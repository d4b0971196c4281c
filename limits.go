package runworks

import "time"

// ManyEntriesThreshold is the number of other entries above which an entry receives the
// heartbeats of remote halls less often, and therefore prefers the backend servers of its own
// hall, whose load it knows more precisely.
const ManyEntriesThreshold = 48

// EntryTimeout is the time since an entry was last seen after which it is considered gone.
// Until then it may still consume limits and send to backend servers, with only the
// connection to this entry lost.
const EntryTimeout = 10 * time.Second

// LimitUse is what one incarnation of an entry consumed of the customers' limits, as it
// reports it to the other entries in each heartbeat.
type LimitUse struct {
	// Version counts the changes; of two reports of one incarnation the higher is the newer.
	Version int64 `json:"version"`
	// RecordsWritten is how often the entry wrote a LimitRecord to the store.
	RecordsWritten int64 `json:"records,omitempty"`
	// Complete is set if the entry counted a whole window itself, or received the state of an
	// entry that did.
	Complete bool `json:"complete,omitempty"`
	// Customers holds the customers that consumed tokens in the window or have waiting calls,
	// by name. A heartbeat holds only those that changed.
	Customers map[string]CustomerUse `json:"customers,omitempty"`
}

// CustomerUse is what one incarnation of an entry consumed of one customer's limit, in tokens.
type CustomerUse struct {
	// Consumed is the total since the incarnation started, less refunds.
	Consumed float64 `json:"drawn"`
	// ConsumedInWindow is the part of Consumed that falls in the window.
	ConsumedInWindow float64 `json:"used"`
	// Reserved is the amount set aside for waiting calls.
	Reserved float64 `json:"held,omitempty"`
	// Recent is ConsumedInWindow broken down by time; heartbeats omit it.
	Recent []RecentUse `json:"recent,omitempty"`
}

// RecentUse is what was consumed in a short time span.
type RecentUse struct {
	// AgeMs is the time since the span ended, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Tokens is the number of tokens consumed in the span.
	Tokens float64 `json:"tokens"`
}

// LimitState is an entry's complete count of the customers' limits. A new incarnation of an
// entry starts from the state of another entry.
type LimitState struct {
	// Complete is set if the state covers the whole window.
	Complete bool `json:"complete"`
	// Incarnations holds the use of each incarnation of an entry that consumed tokens in the
	// window.
	Incarnations map[Incarnation]LimitUse `json:"lives"`
}

// LimitRecord is what all entries consumed of the limits in the window. It is stored so that
// the count survives a stop of all entries.
type LimitRecord struct {
	// At is when the record was written, by the writer's wall clock.
	At time.Time `json:"at"`
	// Use is the sum over all incarnations.
	Use LimitUse `json:"use"`
	// Consumed is each incarnation's part of Use, in tokens by customer, set only while no entry
	// has counted a whole window. What an incarnation reports itself replaces its part.
	Consumed map[Incarnation]map[string]float64 `json:"drawn,omitempty"`
}
