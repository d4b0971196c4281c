package runworks

import "time"

// ManyEntriesThreshold is from how many other entries on an entry hears those of other halls less
// often, and rather uses the backend servers of its own hall, whose load it knows better.
const ManyEntriesThreshold = 48

// EntryTimeout is when a silent entry counts as gone: until then it may draw on the
// limits and send to backend servers, only out of touch with this one.
const EntryTimeout = 10 * time.Second

// LimitUse is what one life of an entry used of the customers' limits, as it tells the
// others in each heartbeat.
type LimitUse struct {
	// Version counts the changes: of two tellings of one life the higher is the newer.
	Version int64 `json:"version"`
	// RecordsWritten is how often the entry put a LimitRecord on the store.
	RecordsWritten int64 `json:"records,omitempty"`
	// Complete says that the entry counted a whole window itself, or was told by one
	// that did.
	Complete bool `json:"complete,omitempty"`
	// Customers holds those that drew in the window or wait, by name; a heartbeat's are
	// only those of which there is something new to tell.
	Customers map[string]CustomerUse `json:"customers,omitempty"`
}

// CustomerUse is what one life of an entry used of one customer's limit, in tokens.
type CustomerUse struct {
	// Consumed is what calls drew since the life's start, less what was given back.
	Consumed float64 `json:"drawn"`
	// ConsumedInWindow is the part of it that was drawn in the window.
	ConsumedInWindow float64 `json:"used"`
	// Reserved is set aside for calls that wait.
	Reserved float64 `json:"held,omitempty"`
	// Recent is Used by the time of the draws; heartbeats do not tell it.
	Recent []RecentUse `json:"recent,omitempty"`
}

// RecentUse is what was drawn in a short span.
type RecentUse struct {
	// AgeMs is how long ago the span ended, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Tokens is what was drawn in it.
	Tokens float64 `json:"tokens"`
}

// LimitState is all that an entry counts of the customers' limits: what a new life of
// an entry needs to go on where the others stand.
type LimitState struct {
	// Complete says that nothing of the window is missing.
	Complete bool `json:"complete"`
	// Incarnations holds the use by each life of an entry that drew in the window.
	Incarnations map[Incarnation]LimitUse `json:"lives"`
}

// LimitRecord is what all entries used of the limits in the window, for the time after
// all of them ended.
type LimitRecord struct {
	// At is when it was written, by the writer's time of day.
	At time.Time `json:"at"`
	// Use adds up all lives.
	Use LimitUse `json:"use"`
	// Consumed is each life's part of it, in tokens by customer; told only while no entry has
	// counted a whole window. What a life tells itself counts in its place.
	Consumed map[Incarnation]map[string]float64 `json:"drawn,omitempty"`
}
