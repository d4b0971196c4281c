package runworks

import "time"

// Suspect is what is known about a request during which backend servers exited. Reports about
// one request can be merged in any order and any number of times.
type Suspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Exits are the backend servers that exited when they began to run the request, each
	// incarnation once.
	Exits []ServerExit `json:"ends,omitempty"`
	// ClearedAt is the time up to which exits do not count: a backend server answered the request
	// completely then, or an operator lifted its quarantine. Zero means never.
	ClearedAt time.Time `json:"cleared,omitzero"`
}

// ServerExit is the exit of a backend server during a request.
type ServerExit struct {
	// Server is the server's Instance.IncarnationID.
	Server string `json:"server"`
	// At is when the exit was observed, by the wall clock of the entry that observed it.
	At time.Time `json:"at"`
}
