package peers

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// AcquireRequest requests a slot of a service's backend servers from the entry that schedules the
// service. Its times are durations, as the clocks of two entries are never compared.
type AcquireRequest struct {
	ID             runworks.RequestID `json:"id"`
	Service        string             `json:"service"`
	Rank           int                `json:"rank"`
	RouteRank      int                `json:"route_rank"`
	Customer       string             `json:"customer,omitempty"`
	PromptTokens   int                `json:"prompt_tokens,omitempty"`
	MaxTokens      int                `json:"max_tokens,omitempty"`
	ExpectedTokens int                `json:"expected_tokens,omitempty"`
	Resumed        bool               `json:"resumed,omitempty"`
	Retry          bool               `json:"retry,omitempty"`
	// Version is the only software version of servers that may run the call; empty means all.
	Version string `json:"version,omitempty"`
	// Hall is the hall of the requesting entry.
	Hall string `json:"hall,omitempty"`
	// MaxGapMs is the longest pause between two events; 0 is no limit.
	MaxGapMs int64 `json:"max_gap_ms,omitempty"`
	// TargetMs, CallerMs and DeadlineMs are the times left until the target, until the caller is
	// expected to disconnect, and to the deadline. The target may have passed; a CallerMs of 0 means
	// the deadline.
	TargetMs   int64 `json:"target_ms"`
	CallerMs   int64 `json:"caller_ms,omitempty"`
	DeadlineMs int64 `json:"deadline_ms"`
	// Exclude lists the incarnations of the servers that were tried.
	Exclude []string `json:"exclude,omitempty"`
}

// The reasons for which an AcquireReply refuses a slot.
const (
	RefusedShortage     = "shortage"
	RefusedNoServer     = "no_server"
	RefusedTimeLimit    = "time_limit"
	RefusedNotScheduler = "not_scheduler"
	// RefusedInvalid means that this one request can't be granted, whoever schedules the service.
	RefusedInvalid = "invalid"
)

// AcquireReply grants a slot or refuses it.
type AcquireReply struct {
	// Server is the incarnation of the backend server, and Grant the number of the grant.
	Server string `json:"server,omitempty"`
	Grant  int64  `json:"grant,omitempty"`
	// Refused is the reason of a refusal, and Cause its text for the log.
	Refused string `json:"refused,omitempty"`
	Cause   string `json:"cause,omitempty"`
	// RetryAfterMs is when the caller should return; 0 if the scheduler does not say.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// RetryBasis is what that time was derived from.
	RetryBasis string `json:"retry_basis,omitempty"`
	// WaitedMs is for how long the request waited for a slot; 0 if one was free.
	WaitedMs int64 `json:"waited_ms,omitempty"`
}

// Placement is what became of a grant, or of a request that waits for one.
type Placement struct {
	Grant int64 `json:"grant,omitempty"`
	// Read is set once the first event arrived, FirstMs after the send.
	Read    bool    `json:"read,omitempty"`
	FirstMs float64 `json:"first_ms,omitempty"`
	// Ended is how the call ended; empty if it has not.
	Ended string `json:"ended,omitempty"`
	// Canceled is the ID of a request whose caller disconnected before the grant.
	Canceled runworks.RequestID `json:"canceled,omitempty"`
	// Gaps are the gaps between events since the last placement of the grant.
	Gaps *Gaps `json:"gaps,omitempty"`
	// Events and ExpectedTokens are those of a complete answer.
	Events         int `json:"events,omitempty"`
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// Gaps sums up gaps between the events of a stream.
type Gaps struct {
	N     int     `json:"n"`
	SumMs float64 `json:"sum_ms"`
	// Late is how many of them were longer than callers allow.
	Late int `json:"late,omitempty"`
}

// placements is the message with placements.
type placements struct {
	Placements []Placement `json:"placements"`
}

// Session is a connection that another entry opened and on which its handshake arrived.
type Session struct {
	From Member
	// closeConn closes the connection; nil in tests without one.
	closeConn func()
}

// Close closes the connection, so that the entry opens another one and reports its full state.
func (s *Session) Close() {
	if s.closeConn != nil {
		s.closeConn()
	}
}

// SlotServer answers the requests of other entries for slots. All methods but Acquire must not block.
type SlotServer interface {
	// Opened is called with each new session of an entry, before OnHeartbeat with its handshake. The
	// previous session of the entry is over, though its connection may not be closed yet.
	Opened(s *Session)
	// Closed is called when the connection of a session is closed.
	Closed(s *Session)
	// Acquire answers a request.
	Acquire(ctx context.Context, s *Session, r *AcquireRequest) *AcquireReply
	// Placed is called with the placements that a session reports.
	Placed(s *Session, list []Placement)
	// Undecodable is called with the error of a message of a session that could not be decoded.
	Undecodable(s *Session, err error)
}

// PeerState is what is known of another entry as a possible scheduler.
type PeerState struct {
	Member
	// LastSeen is when its last heartbeat arrived.
	LastSeen time.Time
	// Schedules is set if it answers requests for slots, and Stopping once its planned stop began.
	Schedules, Stopping bool
	// Connected is set while there is a connection to it.
	Connected bool
}

// PeerStates returns the entries that have not timed out.
func (x *Exchange) PeerStates() []PeerState {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]PeerState, 0, len(x.peers))
	for id, one := range x.peers {
		out = append(out, PeerState{
			Member: Member{Name: one.name, Hall: one.hall, Incarnation: id, CPU: one.cpu}, LastSeen: one.lastSeen,
			Schedules: one.schedules, Stopping: one.stopping, Connected: x.connByNameLocked(one.name) != nil,
		})
	}
	return out
}

// LastSeen returns when the last heartbeat of an incarnation arrived; zero if it timed out.
func (x *Exchange) LastSeen(id runworks.Incarnation) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	if one := x.peers[id]; one != nil {
		return one.lastSeen
	}
	return time.Time{}
}

// Acquire requests a slot from an entry. It returns when that replies, or with an error when the
// connection closes or ctx ends.
func (x *Exchange) Acquire(ctx context.Context, to runworks.Incarnation, r *AcquireRequest) (*AcquireReply, error) {
	conn := x.connTo(to)
	if conn == nil {
		return nil, errNotConnected(string(to))
	}
	out := &AcquireReply{}
	if err := conn.Call(ctx, MethodAcquire, r, out); err != nil {
		return nil, errorx.Decorate(err, "request a slot from %s", to)
	}
	return out, nil
}

// SendPlacements reports placements to the entry that granted the slots.
func (x *Exchange) SendPlacements(ctx context.Context, to runworks.Incarnation, list []Placement) error {
	conn := x.connTo(to)
	if conn == nil {
		return errNotConnected(string(to))
	}
	if err := conn.Notify(ctx, MethodPlacements, placements{Placements: list}); err != nil {
		return errorx.Decorate(err, "report placements to %s", to)
	}
	return nil
}

// openSession starts the session of a connection on which a handshake arrived.
func (x *inbound) openSession(from Member) {
	if x.Slots == nil {
		return
	}
	s := &Session{From: from, closeConn: func() { _ = x.stream.Close() }}
	if old := x.session.Swap(s); old != nil {
		x.Slots.Closed(old)
	}
	x.Slots.Opened(s)
}

// closeSession ends the session of a connection that is closed.
func (x *inbound) closeSession() {
	if s := x.session.Load(); s != nil {
		x.Slots.Closed(s)
	}
}

// handleAcquire answers another entry's request for a slot.
func (x *inbound) handleAcquire(ctx context.Context, params json.RawMessage) (any, error) {
	s := x.session.Load()
	if s == nil {
		return nil, errorx.IllegalState.New("no slots are granted here, or no handshake arrived")
	}
	var r AcquireRequest
	if err := json.Unmarshal(params, &r); err != nil {
		x.Slots.Undecodable(s, err)
		return nil, errorx.Decorate(err, "decode the request")
	}
	return x.Slots.Acquire(ctx, s, &r), nil
}

// handlePlacements processes the placements of another entry.
func (x *inbound) handlePlacements(params json.RawMessage) error {
	s := x.session.Load()
	if s == nil {
		return errorx.IllegalState.New("no slots are granted here, or no handshake arrived")
	}
	var m placements
	if err := json.Unmarshal(params, &m); err != nil {
		x.Slots.Undecodable(s, err)
		return errorx.Decorate(err, "decode the placements")
	}
	x.Slots.Placed(s, m.Placements)
	return nil
}
