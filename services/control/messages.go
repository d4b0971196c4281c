package control

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// The methods of the control connection; the comment says who sends what.
const (
	// MethodHello is the entry's first call: Hello for HelloReply.
	MethodHello = "hello"
	// MethodReservations is the entry's notification with Tickets.
	MethodReservations = "tickets"
	// MethodRefusals is the agent's notification with Refused.
	MethodRefusals = "refused"
	// MethodClaim is the agent's call: Claim for ClaimReply.
	MethodClaim = "claim"
	// MethodRevoke is the entry's call: Revoke for RevokeReply.
	MethodRevoke = "revoke"
	// MethodHeartbeat is a notification of both sides: Beat.
	MethodHeartbeat = "beat"
	// MethodConfig is a call of both sides: no parameters for Document.
	MethodConfig = "config"
	// MethodKeyClaim is the entry's call at a key's home: KeyClaim for KeyReply.
	MethodKeyClaim = "key.claim"
	// MethodKeyBind is the entry's call at a key's home: KeyBind for KeyBindReply.
	MethodKeyBind = "key.bind"
	// MethodKeyHandover is the call of an agent that stops, at an entry, and the
	// entry's at the agent's heir: KeyHand for KeyHandReply.
	MethodKeyHandover = "key.hand"
	// MethodKeyLookup is the entry's call at the heir of a key's home: KeyClaim for
	// KeyReply, which never lets the request run.
	MethodKeyLookup = "key.look"
	// MethodKeyRelease is the entry's call at a key's home: KeyEnd for KeyEndReply.
	MethodKeyRelease = "key.end"
)

// Hello opens a control connection.
type Hello struct {
	// Program is the program's version.
	Program     string               `json:"program"`
	Name        string               `json:"name"`
	Incarnation runworks.Incarnation `json:"incarnation"`
	// Version is the configuration version in force at the sender.
	Version int64 `json:"version"`
}

// HelloReply tells the entry whom it reached.
type HelloReply struct {
	Hello
	// Server is the backend server the agent stands beside.
	Server    string    `json:"server"`
	Heartbeat Heartbeat `json:"beat"`
}

// Reservations places and withdraws tickets, in this order.
type Reservations struct {
	Place    []runworks.Reservation `json:"place,omitempty"`
	Withdraw []runworks.RequestID   `json:"withdraw,omitempty"`
}

// RefusalReason says why an agent does not hold a ticket.
type RefusalReason string

// The reasons of a refusal.
const (
	RefusedFull      RefusalReason = "full"
	RefusedThreshold RefusalReason = "floor"
	RefusedDraining  RefusalReason = "leaving"
	RefusedTooLate   RefusalReason = "too-late"
	RefusedUnserved  RefusalReason = "unserved"
	// RefusedDropped is a ticket that had been taken and made room for a higher tier.
	RefusedDropped RefusalReason = "dropped"
	// RefusedDown is a backend server that can't be reached just now.
	RefusedDown RefusalReason = "down"
)

// Refusal is one ticket that an agent does not hold.
type Refusal struct {
	ID     runworks.RequestID `json:"id"`
	Reason RefusalReason      `json:"reason"`
}

// Refusals tells the entry which tickets the agent does not hold.
type Refusals struct {
	List []Refusal `json:"list"`
}

// Claim asks for a request.
type Claim struct {
	ID runworks.RequestID `json:"id"`
}

// ClaimReply grants a request or not; a grant is followed by the run itself.
type ClaimReply struct {
	Granted bool `json:"granted"`
}

// Revoke asks that a granted request be not run, or only for its state.
type Revoke struct {
	ID runworks.RequestID `json:"id"`
	// QueryOnly leaves a claimed request as it is.
	QueryOnly bool `json:"only_ask,omitempty"`
}

// RunState is what an agent knows of a request that it claimed.
type RunState string

// The states of a request at an agent.
const (
	// StateClaimed is asked for and not running yet.
	StateClaimed RunState = "claimed"
	// StateRunning has been sent to the backend server, or is about to be.
	StateRunning RunState = "running"
	// StateEnded has run; its answer may still be kept.
	StateEnded RunState = "ended"
	// StateTombstoned has not run and never will, at this incarnation.
	StateTombstoned RunState = "tombstoned"
	// StateUnknown is not known to this incarnation: it proves nothing.
	StateUnknown RunState = "forgotten"
)

// RevokeReply tells the state after the revoke.
type RevokeReply struct {
	State RunState `json:"state"`
}

// Heartbeat says that the sender lives, and how busy it is.
type Heartbeat struct {
	// Version is the configuration version in force at the sender.
	Version int64 `json:"v"`
	// Draining is set when the sender takes no new work.
	Draining bool `json:"leaving,omitempty"`
	// Slots is the requests the agent runs at once; Running and Waiting are now.
	Slots   int `json:"s,omitempty"`
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
}

// Document is a configuration with its version.
type Document struct {
	Version int64            `json:"version"`
	Config  *runworks.Config `json:"config"`
}

// KeyClaim asks a key's home whether its request is to run.
type KeyClaim struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Digest tells the request itself, so that a key is not used for another.
	Digest string `json:"digest"`
	// ID is the request that wants to run under the key.
	ID runworks.RequestID `json:"id"`
	// Version is the configuration version by which the entry chose the home.
	Version int64 `json:"version"`
}

// KeyVerdict is what a home says to a claim.
type KeyVerdict string

// The verdicts of a home.
const (
	// KeyFresh lets the request run.
	KeyFresh KeyVerdict = "fresh"
	// KeyWaiting has another request waiting to run under the key.
	KeyWaiting KeyVerdict = "waiting"
	// KeyBound runs or ran, at the place given.
	KeyBound KeyVerdict = "bound"
	// KeySpent belongs to a request that did not run and never will.
	KeySpent KeyVerdict = "spent"
	// KeyReused is used for another request.
	KeyReused KeyVerdict = "other"
	// KeyTooOld was minted before the home can tell; its request may have run.
	KeyTooOld KeyVerdict = "too-old"
	// KeyEarly was minted in the future.
	KeyEarly KeyVerdict = "early"
	// KeyNotOwner is asked at an agent that is not the key's home.
	KeyNotOwner KeyVerdict = "not-home"
	// KeyFull finds no room for another key.
	KeyFull KeyVerdict = "full"
)

// KeyReply answers a KeyClaim; Run is set for KeyBound.
type KeyReply struct {
	Verdict KeyVerdict  `json:"verdict"`
	Run     RunLocation `json:"run"`
}

// RunLocation says where a request runs or ran.
type RunLocation struct {
	ID          runworks.RequestID   `json:"id"`
	Server      string               `json:"server"`
	Incarnation runworks.Incarnation `json:"incarnation"`
}

// KeyBind binds a key to the place its request is about to run at; only after
// an accepted bind may the request run.
type KeyBind struct {
	Customer string      `json:"customer"`
	Key      string      `json:"key"`
	Run      RunLocation `json:"run"`
}

// KeyBindReply says whether the bind holds.
type KeyBindReply struct {
	Bound bool `json:"bound"`
}

// KeyRelease ends a key whose request provably did not run. With ID, the sender's
// own request, the key is spent: no request ever runs under it. With Run, a run
// that another call bound and that did not start, the key is free again.
type KeyRelease struct {
	Customer string             `json:"customer"`
	Key      string             `json:"key"`
	ID       runworks.RequestID `json:"id"`
	Run      runworks.RequestID `json:"run,omitempty"`
}

// KeyReleaseReply says whether the end took effect.
type KeyReleaseReply struct {
	Released bool `json:"ended"`
}

// KeyRecord is what a home knows of one key, for its heir.
type KeyRecord struct {
	Customer string      `json:"customer"`
	Key      string      `json:"key"`
	Digest   string      `json:"digest"`
	Run      RunLocation `json:"run"`
	Spent    bool        `json:"spent,omitempty"`
}

// KeyHandover hands the records of a home over at its planned stop.
type KeyHandover struct {
	Service string      `json:"service"`
	Server  string      `json:"server"`
	Records []KeyRecord `json:"records"`
}

// KeyHandoverReply says whether the heir has taken the records.
type KeyHandoverReply struct {
	Accepted bool `json:"taken"`
}

// Headers of a run between entry and agent.
const (
	// HeaderCall is the Call as JSON, less its body, which is the body.
	HeaderCall = "Runworks-Call"
	// HeaderIncarnation names the agent's incarnation that was granted.
	HeaderIncarnation = "Runworks-Incarnation"
	// HeaderRetain asks that the run outlive the entry, as it has a key.
	HeaderRetain = "Runworks-Keep"
	// HeaderReply is the ReplyHead as JSON.
	HeaderReply = "Runworks-Reply"
	// HeaderRunOutcome is the trailer that ends a whole stream, and the header
	// of a refused run.
	HeaderRunOutcome = "Runworks-Run-Outcome"
	// HeaderRemaining is the time left to the request's limit, as a Go duration.
	HeaderRemaining = "Runworks-Left"
)

// ReplyHead is the backend server's status and header.
type ReplyHead struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
}

// Decode reads the parameters of a message into out.
func Decode(params json.RawMessage, out any) error {
	if err := json.Unmarshal(params, out); err != nil {
		return errorx.Decorate(err, "decode the parameters")
	}
	return nil
}

// Times that both sides of a control connection count on.
const (
	// HeartbeatInterval is the time between two beats.
	HeartbeatInterval = 5 * time.Second
	// HeartbeatTimeout is the silence after which a connection is given up.
	HeartbeatTimeout = 12 * time.Second
	// GrantTimeout is how long after it asked an agent still starts a granted request.
	GrantTimeout = 2 * time.Second
	// RunRetention is how long an agent remembers a request after its end.
	RunRetention = 10 * time.Minute
	// RefusalWindow is how long a tier's refusal bars lower tiers at an agent,
	// and how old a refusal may be to count for shedding at an entry.
	RefusalWindow = time.Second
)
