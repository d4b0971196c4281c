package runworks

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"
)

// Inbound is one call received from a caller, as decoded by the HTTP front end.
type Inbound struct {
	// ID is chosen by the caller and differs for each attempt.
	ID     RequestID
	Method string
	// Target is the path and query as received, still escaped.
	Target string
	Host   string
	// Path is the path of Target, still escaped.
	Path string
	// Header holds the headers that are forwarded to a backend server.
	Header http.Header
	Body   []byte
	// APIKey identifies the customer; empty if none was sent.
	APIKey string
	// Received is when the whole call had arrived, as far as that is known; a busy entry reads it later.
	Received time.Time
	// Unread is how long the call then waited to be read.
	Unread time.Duration
	// Timeout is how long the caller waits, counted from Received; 0 means unknown.
	Timeout time.Duration
	// PromptTokens and MaxTokens are the sizes stated by the caller; 0 if not stated.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the response length in tokens; 0 if none.
	ExpectedTokens int
	// PromptParts are the IDs of the parts of the prompt, in order. Calls with the same parts at
	// the start share an engine's prompt cache; the last part belongs to the call or its session
	// alone. Empty if not stated.
	PromptParts []string
	// LastEventID is the ID of the last event that the caller has of a stream that it resumes; empty
	// for a new call.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of that stream; empty
	// if not stated.
	Resumes RequestID
	// CallerDisconnected reports whether the caller closed its connection; nil if unknown.
	CallerDisconnected func() bool
}

// Fingerprint identifies the content of a call and its customer. It is the same when the call
// is repeated, at any entry and with a new ID.
type Fingerprint string

// fingerprintBytes is the number of bytes kept of a SHA-256 hash; finding a collision of 128
// bits is infeasible.
const fingerprintBytes = 16

// Fingerprint returns the fingerprint of the call; customer is the customer's name, empty if
// unknown. The API key is not included, since a customer may have several.
func (in *Inbound) Fingerprint(customer string) Fingerprint {
	h := sha256.New()
	for _, field := range []string{customer, in.Method, in.Host, in.Target} {
		// The length prefix keeps the boundary between two fields unambiguous.
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(in.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// LastPart returns the ID of the prompt's last part; empty if the parts are not stated.
func (in *Inbound) LastPart() string {
	if len(in.PromptParts) == 0 {
		return ""
	}
	return in.PromptParts[len(in.PromptParts)-1]
}

// SharedParts returns the IDs of the prompt's parts that other calls may share: all but the last.
func (in *Inbound) SharedParts() []string {
	return in.PromptParts[:max(len(in.PromptParts)-1, 0)]
}

// Tokens returns the number of tokens that the call consumes of a customer's limit, or
// defaultCost if the call states none.
func (in *Inbound) Tokens(defaultCost float64) float64 {
	if in.PromptTokens+in.MaxTokens == 0 {
		return defaultCost
	}
	return float64(in.PromptTokens + in.MaxTokens)
}

// Send is one call to be sent to one backend server.
type Send struct {
	Inbound *Inbound
	To      Instance
	// Customer is the customer's name, sent to the backend server; empty if unknown.
	Customer string
	// TimeLeft is the time the backend server has to process the call.
	TimeLeft time.Duration
	// StatusPath is that of the server's service; empty if not specified.
	StatusPath string
	// ConfirmEnd has the server asked whether it still runs if only the end of the connection ends its response, and
	// returns how long it is asked at least. It is called at that end; nil asks nothing.
	ConfirmEnd func() time.Duration
	// LastEventID is the ID of the last event received when a stream is resumed, otherwise
	// empty.
	LastEventID string
	// BeforeSend is called just before the first byte is sent; if it returns an error, the call
	// is not sent. It may be nil.
	BeforeSend func() error
}

// ServerReply is a backend server's response with its server report. The caller must close
// Body.
type ServerReply struct {
	Reply
	// CloseDelimited is set if the response has neither a length nor chunks: only the end of its
	// connection ends it.
	CloseDelimited bool
	// ServerAtEnd returns what was found of the server at the end of such a response, for the log; empty
	// before. It may be nil.
	ServerAtEnd func() string
	// ShowsEnd reports whether Body, once it has returned io.EOF, shows itself that it is whole, as an object of JSON
	// does. It may be nil.
	ShowsEnd func() bool
	// NotRun is set if the server that responded reported that it did not run the call.
	NotRun bool
	// AddressReused is set if another backend server now has this address and responded. It may have run the call.
	AddressReused bool
	// Responder is the ID that the response names as that of the server which sent it; empty if it names none.
	Responder string
	// Report is the server report. ReportErr describes the parts of it that could not be
	// parsed; these are treated as absent.
	Report    ServerReport
	ReportErr error
}

// Sender sends calls to backend servers.
type Sender interface {
	// Send sends one call, at most once. The error is the one returned by Send.BeforeSend, or
	// ErrNotDispatched only if the call was certainly not sent, and ErrBackend otherwise.
	Send(ctx context.Context, s *Send) (*ServerReply, error)
	// Responds reports whether the backend server itself responds at its address, and not another one that has it. Nothing
	// runs there for that. statusPath is Send.StatusPath.
	Responds(ctx context.Context, server Instance, statusPath string) bool
	// WatchExit calls ended if the backend server's process is proven to have exited, either
	// before WatchExit returns or shortly after.
	WatchExit(ctx context.Context, server Instance, ended func())
}

// RunningCalls is the number of calls an entry has at each backend server, by server ID.
type RunningCalls map[string]int

// WaitingCalls are the calls of the highest waiting rank at an entry, by service.
type WaitingCalls map[string]WaitingCall

// WaitingCall describes the calls that wait at an entry for one service.
type WaitingCall struct {
	// Rank is the highest rank among the waiting calls; 0 is the highest possible.
	Rank int `json:"rank"`
	// Calls is the number of waiting calls of that rank.
	Calls int `json:"calls"`
}

// EntryLoad is an entry's own load, as it reports it to the other entries.
type EntryLoad struct {
	Running RunningCalls `json:"running,omitempty"`
	Waiting WaitingCalls `json:"waiting,omitempty"`
	// ConsecutiveFailures is the number of consecutive calls that failed because of the
	// backend server itself, by server ID.
	ConsecutiveFailures map[string]int `json:"failed,omitempty"`
	// UnreadPromptTokens is the number of prompt tokens of this entry's calls that a backend
	// server has not processed yet, by server ID, where it matters to other entries.
	UnreadPromptTokens map[string]int `json:"reading,omitempty"`
	// Ejected are the IDs of the backend servers that recently failed calls of this entry.
	Ejected []string `json:"left_out,omitempty"`
}
