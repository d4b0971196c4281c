package control

import "github.com/runworks/runworks"

// KeyClaim asks the owner of an idempotency key whether a request may run under it.
type KeyClaim struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Digest identifies the request's content, so that a key is not reused for
	// another request.
	Digest string `json:"digest"`
	// ID is the request that is to run under the key.
	ID runworks.RequestID `json:"id"`
	// Version is the configuration version from which the entry computed the owner.
	Version int64 `json:"version"`
}

// KeyVerdict is a key owner's decision on a claim.
type KeyVerdict string

// Verdicts of a key owner.
const (
	// KeyFresh lets the request run.
	KeyFresh KeyVerdict = "fresh"
	// KeyWaiting has another request waiting to run under the key.
	KeyWaiting KeyVerdict = "waiting"
	// KeyBound has a request that runs or ran, at the location in the reply.
	KeyBound KeyVerdict = "bound"
	// KeySpent belongs to a request that did not run and never will.
	KeySpent KeyVerdict = "spent"
	// KeyReused has been used for a request with another digest.
	KeyReused KeyVerdict = "other"
	// KeyTooOld was created before the owner's records begin; its request may have run.
	KeyTooOld KeyVerdict = "too-old"
	// KeyEarly was created in the future.
	KeyEarly KeyVerdict = "early"
	// KeyNotOwner was sent to an agent that does not own the key.
	KeyNotOwner KeyVerdict = "not-home"
	// KeyFull finds the owner's key table full.
	KeyFull KeyVerdict = "full"
	// KeyWithdrawn was claimed by a request that has withdrawn its claim.
	KeyWithdrawn KeyVerdict = "withdrawn"
)

// KeyReply is the result of a KeyClaim; Run is set for KeyBound.
type KeyReply struct {
	Verdict KeyVerdict  `json:"verdict"`
	Run     RunLocation `json:"run"`
}

// RunLocation is where a request runs or ran.
type RunLocation struct {
	ID          runworks.RequestID   `json:"id"`
	Server      string               `json:"server"`
	Incarnation runworks.Incarnation `json:"incarnation"`
}

// KeyBind binds a key to the location where its request is about to run. The
// request may run only after the bind was accepted.
type KeyBind struct {
	Customer string      `json:"customer"`
	Key      string      `json:"key"`
	Run      RunLocation `json:"run"`
}

// KeyBindReply reports whether the bind was accepted.
type KeyBindReply struct {
	Bound bool `json:"bound"`
}

// KeyRelease releases a key whose request provably did not run. With ID, the
// sender's own request, the key becomes spent: no request ever runs under it.
// With Run, a run that another call bound and that did not start, the key becomes
// free again. With Withdraw, the sender's claim got no answer and its request never
// runs: the key becomes free too. An owner that does not know Withdraw marks the key
// as spent.
type KeyRelease struct {
	Customer string             `json:"customer"`
	Key      string             `json:"key"`
	ID       runworks.RequestID `json:"id"`
	Run      runworks.RequestID `json:"run,omitempty"`
	Withdraw bool               `json:"withdraw,omitempty"`
}

// KeyReleaseReply reports whether the key was released.
type KeyReleaseReply struct {
	Released bool `json:"ended"`
}

// KeyRecord is an owner's record of one key, for its successor.
type KeyRecord struct {
	Customer string      `json:"customer"`
	Key      string      `json:"key"`
	Digest   string      `json:"digest"`
	Run      RunLocation `json:"run"`
	Spent    bool        `json:"spent,omitempty"`
}

// KeyHandover transfers an owner's records to its successor at a planned stop.
type KeyHandover struct {
	Service string      `json:"service"`
	Server  string      `json:"server"`
	Records []KeyRecord `json:"records"`
}

// KeyHandoverReply reports whether the successor accepted the records.
type KeyHandoverReply struct {
	Accepted bool `json:"taken"`
}
