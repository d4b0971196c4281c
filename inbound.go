package runworks

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"
)

// Inbound is one attempt of a caller, decoded by the front door.
type Inbound struct {
	// ID is the caller's, new for each attempt.
	ID     RequestID
	Method string
	// Target is path and query with their escapes, as they came.
	Target string
	Host   string
	// Path is the target's path with its escapes.
	Path string
	// Header is what is passed on to a backend server.
	Header http.Header
	Body   []byte
	// APIKey tells who calls; empty if none was sent.
	APIKey string
	// Received is when the call had been read.
	Received time.Time
	// Timeout is how long the caller waits from Received on; 0 is not told.
	Timeout time.Duration
	// PromptTokens and MaxTokens are the sizes that the caller states; 0 if not.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's guess of the answer's length; 0 if none.
	ExpectedTokens int
	// PromptPrefix names the last part of the prompt; equal ones share memory of the
	// prompt at an engine. Empty if not told.
	PromptPrefix string
	// CallerDisconnected says whether the caller has closed its connection; nil is not known.
	CallerDisconnected func() bool
}

// Fingerprint names what a call asks for and who asks: a call that comes again, at any
// entry and under a new id, has the same.
type Fingerprint string

// fingerprintBytes of a SHA-256 hash are enough that nobody finds two calls with the same.
const fingerprintBytes = 16

// Fingerprint gives the call's; customer is who asks, empty if nobody is known. The key is
// no part of it: a customer may have several.
func (in *Inbound) Fingerprint(customer string) Fingerprint {
	h := sha256.New()
	for _, field := range []string{customer, in.Method, in.Host, in.Target} {
		// Lengths keep the end of a part from counting as the begin of the next.
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(in.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// Tokens is what the call costs of a customer's limit; plain is the cost of a
// call that states no tokens.
func (in *Inbound) Tokens(defaultCost float64) float64 {
	if in.PromptTokens+in.MaxTokens == 0 {
		return defaultCost
	}
	return float64(in.PromptTokens + in.MaxTokens)
}

// Send is one call to one backend server.
type Send struct {
	Inbound *Inbound
	To      Instance
	// Customer is told to the backend server; empty if nobody is known.
	Customer string
	// TimeLeft is the time that the backend server may work on it.
	TimeLeft time.Duration
	// LastEventID is the last event of a stream that is to go on; empty at first.
	LastEventID string
	// BeforeSend is asked just before the first byte leaves; its error keeps the call from
	// being sent. Nil is always wanted.
	BeforeSend func() error
}

// ServerReply is a backend server's answer; the caller closes Body.
type ServerReply struct {
	Reply
	// NotRun is the backend server's word that it did not run the call.
	NotRun bool
	// AddressReused says that another backend server has this address now.
	AddressReused bool
	// Report is what it says of itself; WordErr says what of it can't be read, which counts as
	// not told.
	Report    ServerReport
	ReportErr error
}

// Sender sends calls to backend servers.
type Sender interface {
	// Send sends one call, at most once. The error is that of Send.Wanted, or
	// ErrNotDispatched, only if the call provably never left, else ErrBackend.
	Send(ctx context.Context, s *Send) (*ServerReply, error)
	// WatchExit calls ended if a backend server's process is proved to be gone, before it
	// returns or a moment later.
	WatchExit(ctx context.Context, server Instance, ended func())
}

// RunningCalls is how many calls an entry has at each backend server, by its id.
type RunningCalls map[string]int

// WaitingCalls are the calls of the highest rank that wait at an entry, by service.
type WaitingCalls map[string]WaitingCall

// WaitingCall tells of the calls that wait at an entry for one service.
type WaitingCall struct {
	// Rank is the highest rank of a call that waits, 0 being the highest there is.
	Rank int `json:"rank"`
	// Calls is how many of that rank wait.
	Calls int `json:"calls"`
}

// EntryLoad is what an entry tells the others of the calls that it has.
type EntryLoad struct {
	Running RunningCalls `json:"running,omitempty"`
	Waiting WaitingCalls `json:"waiting,omitempty"`
	// ConsecutiveFailures is how many calls in a row were answered by a failure of a backend
	// server's own, by its id.
	ConsecutiveFailures map[string]int `json:"failed,omitempty"`
	// UnreadPromptTokens is how many tokens of its calls' prompts each backend server still reads,
	// by its id, as far as it matters to others.
	UnreadPromptTokens map[string]int `json:"reading,omitempty"`
	// Ejected are the ids of the backend servers that failed this entry of late.
	Ejected []string `json:"left_out,omitempty"`
}
