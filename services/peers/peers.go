package peers

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/rollout"
)

const (
	// DefaultInterval is the time between heartbeats: about the time in which a few slots of a
	// service become free.
	DefaultInterval = 50 * time.Millisecond
	// intervalPerPeer is the least time between heartbeats per local entry. It bounds the cost to
	// an entry, which receives at most 500 heartbeats per second from local ones.
	intervalPerPeer = 2 * time.Millisecond
	// remoteIntervalPerPeer is the same per remote entry, if there are more than
	// runworks.ManyEntriesThreshold. Most calls stay in their hall, so what is known of other
	// halls may be older.
	remoteIntervalPerPeer = 5 * time.Millisecond
	// idleInterval is the time between heartbeats without changes, well below minPeerTimeout.
	idleInterval = 250 * time.Millisecond
	// minPeerTimeout is the least time without a heartbeat after which an entry is considered
	// gone, and the calls it ran as ended or cut off.
	minPeerTimeout = 1500 * time.Millisecond
	// missedHeartbeats is the least number of heartbeats an entry must have missed to be
	// considered gone. With 360 entries those of other halls arrive every 1.4 s, so that a fixed
	// timeout would remove live entries again and again.
	missedHeartbeats = 3
	// SettleTimeout bounds how long a starting entry waits for the first heartbeat of a listed
	// entry: several times the time in which a connection opens. Only the other entries know what
	// was consumed of the customers' limits since the last record. An entry that serves earlier
	// would admit calls of a customer that has just used up its limit elsewhere.
	SettleTimeout = 150 * time.Millisecond
	// startSummaryAfter is how long after its start an entry logs in one line which others it is
	// connected to. Later it logs each.
	startSummaryAfter = 5 * time.Second
	// minRedialWait and maxRedialWait bound the wait between attempts to connect to an entry; it
	// doubles with each failure.
	minRedialWait = 100 * time.Millisecond
	maxRedialWait = 2 * time.Second
	sendTimeout   = time.Second
)

// Exchange keeps the connections between this entry and the others. Its exported fields must be
// set before Run.
type Exchange struct {
	Self   Member
	Dial   rpc.DialFunc
	Keys   rpc.FleetKeys
	Logger hclog.Logger
	// Interval is the time between heartbeats; DefaultInterval if zero.
	Interval time.Duration
	// Heartbeat returns the state to send. Exchange sets From and Limits.
	Heartbeat func() Heartbeat
	// LimitUpdates returns Heartbeat.Limits of a heartbeat, and LimitSnapshot that of a
	// handshake.
	LimitUpdates, LimitSnapshot func() runworks.LimitUse
	// OnHeartbeat is called with each heartbeat and handshake of another entry, and OnUnreachable
	// with the incarnation of an entry that timed out.
	OnHeartbeat   func(now time.Time, b *Heartbeat)
	OnUnreachable func(from runworks.Incarnation)
	// OnHandshake is called with each handshake of another entry, before OnHeartbeat.
	OnHandshake func(now time.Time, b *Heartbeat)
	// Suspects returns the suspects that a handshake carries, and OnSuspects is called with those
	// that another entry sent and that entry's name. Both may be nil.
	Suspects   func() []runworks.Suspect
	OnSuspects func(from string, list []runworks.Suspect)
	// ServerNotices returns the notices that a handshake carries, and OnServerNotices is called
	// with those that another entry sent and that entry's name. Both may be nil.
	ServerNotices   func() []runworks.ServerNotice
	OnServerNotices func(from string, list []runworks.ServerNotice)
	// StreamOrigins returns the streams that a handshake carries, and OnStreamOrigins is called with
	// those that another entry sent. Both may be nil.
	StreamOrigins   func() []runworks.StreamOrigin
	OnStreamOrigins func(list []runworks.StreamOrigin)
	// StreamVersions returns the versions that may have begun streams, for a handshake, and
	// OnStreamVersions is called with those of another entry. recorded is set if they are those that it
	// has just recorded.
	StreamVersions   func() []runworks.StreamVersion
	OnStreamVersions func(list []runworks.StreamVersion, recorded bool)
	EngineModels     EngineModels
	// TransferPermits gives up at most the given number of permits for a backend server that this
	// entry does not need itself, and returns how many. May be nil, which returns none.
	TransferPermits func(server string, permits int) int
	// OnSettled is called SettleTimeout after the start of Run. May be nil.
	OnSettled func()
	// OnReplaced is called with the previous incarnation of an entry that restarted.
	OnReplaced func(old runworks.Incarnation)
	// Slots answers requests for slots; nil if this entry grants none.
	Slots SlotServer
	// OnDisconnected is called with the incarnation of an entry when the connection to it is closed,
	// before it is opened again. May be nil.
	OnDisconnected func(id runworks.Incarnation)
	// OnRollouts is called with the reports of another entry about roll-outs; nil ignores them.
	OnRollouts func(from runworks.Incarnation, reports []rollout.Report)
	// OnChange is called with each change that another entry passed on, and that entry's name.
	OnChange func(from string, c *Change)
	// ChangesSince returns the changes of a subject since a position, as the answer to
	// RequestChanges. May be nil, which returns an error.
	ChangesSince func(s Subject, since runworks.Position) (*Change, error)
	// State returns this entry's state of a subject, as the answer to RequestState.
	State func(s Subject) (any, error)

	work group.Group
	// sendMu orders heartbeats, handshakes and notifications, so that a new connection misses no
	// change that is sent while its handshake is prepared. It guards encoder, unsentRemote and
	// remoteSentAt.
	sendMu  sync.Mutex
	encoder encoder
	// unsentRemote holds the use of customers' limits that was sent to local entries only, and
	// remoteSentAt is when the last heartbeat went to the remote ones.
	unsentRemote map[string]runworks.CustomerUse
	remoteSentAt time.Time
	mu           sync.Mutex
	// ctx is cancelled when Run returns. It may be created before Run, by the first connection.
	ctx    context.Context
	cancel context.CancelFunc
	links  map[string]*link
	peers  map[runworks.Incarnation]*peerState
	// sendAt is when a heartbeat was last due, and sentLateAt when one was last sent so late that other
	// entries may have taken this one for silent.
	sendAt, sentLateAt time.Time
	// timedOutAt is when an entry last timed out.
	timedOutAt time.Time
	// inbounds holds the newest connection that each incarnation of another entry opened.
	inbounds map[runworks.Incarnation]*inbound
	// startedAt is when Run started, and membersKnown is set once SetMembers was called.
	startedAt    time.Time
	membersKnown bool
	// incarnations holds the latest incarnation of each entry, by name.
	incarnations map[string]runworks.Incarnation
	// pendingNotices holds the notices to send, by server. sendingNotices is set while a
	// goroutine sends them.
	pendingNotices map[string]pendingNotice
	sendingNotices bool
	// pendingOrigins holds the origins of streams to send. sendingOrigins is set while a goroutine
	// sends them.
	pendingOrigins []runworks.StreamOrigin
	sendingOrigins bool
}

// peerState is what is known of one incarnation of another entry.
type peerState struct {
	name     string
	hall     string
	lastSeen time.Time
	// read is how far it has read the list of servers, and storeLost is Heartbeat.StoreLost, by its last heartbeat.
	read      runworks.Position
	storeLost bool
	// relays is Heartbeat.Relays of its last handshake.
	relays bool
	// schedules, stopping and cpu are those of its last handshake and heartbeat.
	schedules, stopping bool
	cpu                 float64
	// offsetsOnly is set if its version sends offsets without eras, so that this entry can't use
	// what it reads from the store.
	offsetsOnly bool
}

// Run sends heartbeats until ctx is cancelled, then closes all connections.
func (x *Exchange) Run(ctx context.Context) {
	x.mu.Lock()
	x.startedAt = time.Now()
	x.mu.Unlock()
	summary := time.AfterFunc(startSummaryAfter, x.logStart)
	defer summary.Stop()
	if x.OnSettled != nil {
		settled := time.AfterFunc(SettleTimeout, x.OnSettled)
		defer settled.Stop()
	}
	var last []byte
	var sent time.Time
	for ctx.Err() == nil {
		now := time.Now()
		x.recordSend(now)
		x.removeTimedOut(now)
		x.closeUnheard(now)
		if data := x.sendHeartbeat(ctx, last, now.Sub(sent) >= idleInterval); data != nil {
			last, sent = data, now
		}
		pause.For(ctx, x.interval())
	}
	x.mu.Lock()
	x.ctxLocked()
	x.cancel()
	x.mu.Unlock()
	x.work.Close()
}

// starting reports whether this entry started less than startSummaryAfter ago.
func (x *Exchange) starting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.startedAt.IsZero() || time.Since(x.startedAt) < startSummaryAfter
}

// logStart logs how many entries this one is connected to since its start.
func (x *Exchange) logStart() {
	r := x.Reach()
	x.Logger.Info("connected to entries since the start", "live", r.Live, "connected", r.Connected, "known", r.Known, "key_refused", r.KeyRefused)
}

// ctxLocked returns the context of all connections.
func (x *Exchange) ctxLocked() context.Context {
	if x.ctx == nil {
		x.ctx, x.cancel = context.WithCancel(context.Background())
	}
	return x.ctx
}

// Settled reports whether this entry has received a heartbeat of another one, knows that there is
// no other, or has waited for SettleTimeout.
func (x *Exchange) Settled(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.startedAt.IsZero() {
		return false
	}
	alone := x.membersKnown && len(x.links) == 0
	return alone || len(x.peers) > 0 || now.Sub(x.startedAt) >= SettleTimeout
}

// LiveCount returns the number of other entries that have not timed out.
func (x *Exchange) LiveCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers)
}
