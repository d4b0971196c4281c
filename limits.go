package runworks

import "time"

// ManyEntries is from how many other entries on an entry hears those of other halls less
// often, and rather uses the backend servers of its own hall, whose load it knows better.
const ManyEntries = 48

// ForgetEntryAfter is when a silent entry counts as gone: until then it may draw on the
// limits and send to backend servers, only out of touch with this one.
const ForgetEntryAfter = 10 * time.Second

// LimitUse is what one life of an entry used of the customers' limits, as it tells the
// others in each heartbeat.
type LimitUse struct {
	// Version counts the changes: of two tellings of one life the higher is the newer.
	Version int64 `json:"version"`
	// Records is how often the entry put a LimitRecord on the store.
	Records int64 `json:"records,omitempty"`
	// Complete says that the entry counted a whole window itself, or was told by one
	// that did.
	Complete bool `json:"complete,omitempty"`
	// Customers holds those that drew in the window or wait, by name; a heartbeat's are
	// only those of which there is something new to tell.
	Customers map[string]CustomerUse `json:"customers,omitempty"`
}

// CustomerUse is what one life of an entry used of one customer's limit, in tokens.
type CustomerUse struct {
	// Drawn is what calls drew since the life's start, less what was given back.
	Drawn float64 `json:"drawn"`
	// Used is the part of it that was drawn in the window.
	Used float64 `json:"used"`
	// Held is set aside for calls that wait.
	Held float64 `json:"held,omitempty"`
	// Recent is Used by the time of the draws; heartbeats do not tell it.
	Recent []RecentDraw `json:"recent,omitempty"`
}

// RecentDraw is what was drawn in a short span.
type RecentDraw struct {
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
	// Lives holds the use by each life of an entry that drew in the window.
	Lives map[Incarnation]LimitUse `json:"lives"`
}

// LimitRecord is what all entries used of the limits in the window, for the time after
// all of them ended.
type LimitRecord struct {
	// At is when it was written, by the writer's time of day.
	At time.Time `json:"at"`
	// Use adds up all lives.
	Use LimitUse `json:"use"`
	// Drawn is each life's part of it, in tokens by customer; told only while no entry has
	// counted a whole window. What a life tells itself counts in its place.
	Drawn map[Incarnation]map[string]float64 `json:"drawn,omitempty"`
}
