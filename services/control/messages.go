package control

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// Methods of the control connection. A call is written as its parameters and its
// result; a notification has no result.
const (
	// MethodHello is the entry's first call on a connection: Hello -> HelloReply.
	MethodHello = "hello"
	// MethodReservations is the entry's notification with Reservations.
	MethodReservations = "tickets"
	// MethodRefusals is the agent's notification with Refusals.
	MethodRefusals = "refused"
	// MethodClaim is the agent's call: Claim -> ClaimReply.
	MethodClaim = "claim"
	// MethodRevoke is the entry's call: Revoke -> RevokeReply.
	MethodRevoke = "revoke"
	// MethodHeartbeat is a notification from either side with Heartbeat.
	MethodHeartbeat = "beat"
	// MethodConfig is a call from either side, without parameters: -> Document.
	MethodConfig = "config"
	// MethodKeyClaim is the entry's call to a key's owner: KeyClaim -> KeyReply.
	MethodKeyClaim = "key.claim"
	// MethodKeyBind is the entry's call to a key's owner: KeyBind -> KeyBindReply.
	MethodKeyBind = "key.bind"
	// MethodKeyHandover is the call of a draining agent to an entry, and of that
	// entry to the agent's successor: KeyHandover -> KeyHandoverReply.
	MethodKeyHandover = "key.hand"
	// MethodKeyLookup is the entry's call to the successor of a key's owner:
	// KeyClaim -> KeyReply. The verdict never permits the request to run.
	MethodKeyLookup = "key.look"
	// MethodKeyRelease is the entry's call to a key's owner: KeyRelease -> KeyReleaseReply.
	MethodKeyRelease = "key.end"
)

// Hello opens a control connection.
type Hello struct {
	// ProgramVersion is the version of the sender's binary.
	ProgramVersion string               `json:"program"`
	Name           string               `json:"name"`
	Incarnation    runworks.Incarnation `json:"incarnation"`
	// Version is the configuration version active at the sender.
	Version int64 `json:"version"`
}

// HelloReply identifies the agent to the entry that connected.
type HelloReply struct {
	Hello
	// Server is the backend server that the agent serves.
	Server    string    `json:"server"`
	Heartbeat Heartbeat `json:"beat"`
}

// Reservations places and withdraws reservations, in this order.
type Reservations struct {
	Place    []runworks.Reservation `json:"place,omitempty"`
	Withdraw []runworks.RequestID   `json:"withdraw,omitempty"`
}

// RefusalReason is the reason why an agent does not hold a reservation.
type RefusalReason string

// Reasons of a refusal.
const (
	// RefusedFull is a full queue.
	RefusedFull RefusalReason = "full"
	// RefusedThreshold is a tier below the agent's admission threshold.
	RefusedThreshold RefusalReason = "floor"
	// RefusedDraining is an agent that takes no new work.
	RefusedDraining RefusalReason = "leaving"
	// RefusedTooLate is a request that is not expected to meet its deadline.
	RefusedTooLate RefusalReason = "too-late"
	// RefusedUnserved is a backend server that is not in the agent's configuration.
	RefusedUnserved RefusalReason = "unserved"
	// RefusedDropped is a reservation that was queued and then evicted for a higher tier.
	RefusedDropped RefusalReason = "dropped"
	// RefusedDown is a backend server that is currently unreachable.
	RefusedDown RefusalReason = "down"
)

// Refusal is one reservation that an agent does not hold.
type Refusal struct {
	ID     runworks.RequestID `json:"id"`
	Reason RefusalReason      `json:"reason"`
}

// Refusals lists reservations that the agent does not hold.
type Refusals struct {
	List []Refusal `json:"list"`
}

// Claim requests the grant of one request.
type Claim struct {
	ID runworks.RequestID `json:"id"`
}

// ClaimReply is the result of a claim; the entry sends the run after a grant.
type ClaimReply struct {
	Granted bool `json:"granted"`
}

// Revoke withdraws a granted request, or queries its state.
type Revoke struct {
	ID runworks.RequestID `json:"id"`
	// QueryOnly leaves a claimed request as it is.
	QueryOnly bool `json:"only_ask,omitempty"`
}

// RunState is the state of a claimed request at its agent.
type RunState string

// States of a request at an agent.
const (
	// StateClaimed has been claimed and does not run yet.
	StateClaimed RunState = "claimed"
	// StateRunning has been sent to the backend server, or is about to be.
	StateRunning RunState = "running"
	// StateEnded has run; its answer may still be retained.
	StateEnded RunState = "ended"
	// StateTombstoned has not run and never will, at this incarnation.
	StateTombstoned RunState = "tombstoned"
	// StateUnknown is not known to this incarnation: the request may have run.
	StateUnknown RunState = "forgotten"
)

// RevokeReply is the state after the revoke.
type RevokeReply struct {
	State RunState `json:"state"`
}

// Heartbeat reports that the sender is alive, and its load.
type Heartbeat struct {
	// Version is the configuration version active at the sender.
	Version int64 `json:"v"`
	// Draining is set when the sender takes no new work.
	Draining bool `json:"leaving,omitempty"`
	// Slots is the number of requests that the agent runs at once; Running and
	// Waiting are current counts.
	Slots   int `json:"s,omitempty"`
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
}

// Document is a configuration with its version.
type Document struct {
	Version int64            `json:"version"`
	Config  *runworks.Config `json:"config"`
}

// Headers of a run between entry and agent.
const (
	// HeaderCall is the call as JSON without its body; the HTTP body is the call's body.
	HeaderCall = "Runworks-Call"
	// HeaderIncarnation is the agent's incarnation that was granted the request.
	HeaderIncarnation = "Runworks-Incarnation"
	// HeaderRetain asks that the run outlive the entry's connection; it is set for
	// requests with an idempotency key.
	HeaderRetain = "Runworks-Keep"
	// HeaderReply is the ReplyHead as JSON.
	HeaderReply = "Runworks-Reply"
	// HeaderRunOutcome is the trailer of a complete stream, and the header of a
	// refused run.
	HeaderRunOutcome = "Runworks-Run-Outcome"
	// HeaderRemaining is the time remaining until the request's deadline, as a Go duration.
	HeaderRemaining = "Runworks-Left"
)

// ReplyHead is the backend server's status and header.
type ReplyHead struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
}

// Decode unmarshals the parameters of a message into out.
func Decode(params json.RawMessage, out any) error {
	if err := json.Unmarshal(params, out); err != nil {
		return errorx.Decorate(err, "decode the parameters")
	}
	return nil
}

// Timing that both sides of a control connection rely on.
const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 5 * time.Second
	// HeartbeatTimeout is the time without a message after which a connection is closed.
	HeartbeatTimeout = 12 * time.Second
	// GrantTimeout is how long after its claim an agent still starts a granted request.
	GrantTimeout = 2 * time.Second
	// RunRetention is how long an agent remembers a request after its end.
	RunRetention = 10 * time.Minute
	// RefusalWindow is how long a tier's refusal bars lower tiers at an agent,
	// and the greatest age at which a refusal counts for shedding at an entry.
	RefusalWindow = time.Second
)
