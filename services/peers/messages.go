package peers

import (
	"github.com/runworks/runworks"
)

// The RPC methods between entries.
const (
	// MethodHeartbeat is the notification that carries a Heartbeat.
	MethodHeartbeat = "entry.beat"
	// MethodHandshake is the first notification on a connection: a Heartbeat with the full use of
	// the customers' limits, where later ones carry the changes.
	MethodHandshake = "entry.greet"
	// MethodSuspects is the notification that carries Suspects. Versions that do not know it
	// ignore it.
	MethodSuspects = "entry.suspects"
	// MethodServerNotices is the notification that carries ServerNotices. Versions that do not
	// know it ignore it.
	MethodServerNotices = "entry.server_words"
	// MethodStreamOrigins is the notification that carries StreamOrigins. Versions that do not know it
	// ignore it.
	MethodStreamOrigins = "entry.stream_origins"
	// MethodRollouts is the notification that carries RolloutReports, while a roll-out is ordered.
	// Versions that do not know it ignore it.
	MethodRollouts = "entry.rollouts"
	// MethodChange is the notification that carries a change of a Subject through the entries.
	// Versions that do not know it receive none.
	MethodChange = "entry.change"
	// MethodChangesSince is the call that returns the changes of a Subject since a position.
	MethodChangesSince = "entry.changes_since"
	// MethodTransferPermits is the call that requests permits of a backend server's rate limit.
	MethodTransferPermits = "entry.lend"
	// MethodAcquire is the call that requests a slot, and MethodPlacements the notification that
	// reports what became of grants. Only entries whose handshake has Schedules answer them.
	MethodAcquire    = "entry.acquire"
	MethodPlacements = "entry.placements"
	// MethodState is the call that returns an entry's state of a Subject.
	MethodState = "entry.state"
)

// Subject names a set of data that all entries follow.
type Subject string

// The subjects that entries follow.
const (
	SubjectRouting Subject = "routing"
	SubjectServers Subject = "servers"
	SubjectLimits  Subject = "limits"
	SubjectStreams Subject = "streams"
)

// StateRequest requests an entry's state of a subject.
type StateRequest struct {
	Subject Subject `json:"subject"`
}

// Member identifies an entry and where other entries connect to it.
type Member struct {
	Name string `json:"name"`
	// Address is host:port for connections of other entries.
	Address string `json:"address"`
	// Hall is the entry's hall; empty from versions that do not send it.
	Hall        string               `json:"hall,omitempty"`
	Incarnation runworks.Incarnation `json:"incarnation"`
	// CPU is the entry's share of a processor; 0 if unknown.
	CPU float64 `json:"cpu,omitempty"`
}

// Heartbeat is the state that an entry sends to the others.
type Heartbeat struct {
	From Member `json:"from"`
	// Load holds the entry's running and waiting calls.
	Load runworks.EntryLoad `json:"load"`
	// Limits holds the changes of the entry's use of the customers' limits; in a handshake it
	// holds all that the entry used in the window.
	Limits runworks.LimitUse `json:"limits"`
	// RoutingVersion is the version of the entry's active routing.
	RoutingVersion int64 `json:"routing_version,omitempty"`
	// Positions holds how far the entry has read each subject.
	Positions map[Subject]runworks.Position `json:"topic_positions,omitempty"`
	// Offsets holds Positions without their eras, for versions that do not know eras. Current
	// versions write but do not read it, since offsets of different eras can't be compared.
	Offsets map[Subject]int64 `json:"positions,omitempty"`
	// StoreLost is set if the entry recently failed to read the store.
	StoreLost bool `json:"store_lost,omitempty"`
	// Relays is set if the entry passes on changes. Only handshakes carry it.
	Relays bool `json:"relays,omitempty"`
	// Schedules is set if the entry answers requests for slots. Only handshakes carry it.
	Schedules bool `json:"schedules,omitempty"`
	// Unheard is set if the sender opened the connection again because it did not hear the receiver. Only
	// handshakes carry it.
	Unheard bool `json:"unheard,omitempty"`
	// Stopping is set once the entry's planned stop began.
	Stopping bool `json:"stopping,omitempty"`
	// Changes holds what the entry read from the store since its last heartbeat. Only frames of
	// versions that do not relay changes carry it.
	Changes []Change `json:"-"`
	// Suspects holds all requests to which exits of backend servers were attributed. Only
	// handshakes carry it.
	Suspects []runworks.Suspect `json:"suspects,omitempty"`
	// ServerNotices holds the current notices of all backend servers. Only handshakes carry it.
	ServerNotices []runworks.ServerNotice `json:"server_words,omitempty"`
	// StreamOrigins holds known streams of services whose servers have several versions. Only handshakes
	// carry it.
	StreamOrigins []runworks.StreamOrigin `json:"stream_origins,omitempty"`
	// StreamVersions holds the versions that may have begun streams; empty if the entry does not know those
	// before its start. Only handshakes carry it.
	StreamVersions []runworks.StreamVersion `json:"stream_versions,omitempty"`
	// Names holds the names that the frames after a handshake refer to, by index.
	Names []string `json:"names,omitempty"`
}
