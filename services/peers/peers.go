package peers

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/notify"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/rpc"
)

// The methods between entries.
const (
	// MethodHeartbeat is the notification that carries a Beat.
	MethodHeartbeat = "entry.beat"
	// MethodHandshake is the first notification on a connection: a Beat that tells all of
	// the limits, where others tell what is new.
	MethodHandshake = "entry.greet"
	// MethodSuspects is the notification of requests under which backend servers ended.
	// Versions that do not know it pass it over.
	MethodSuspects = "entry.suspects"
	// MethodServerNotices is the notification of what backend servers say of themselves.
	// Versions that do not know it pass it over.
	MethodServerNotices = "entry.server_words"
	// MethodTransferPermits is the call for what an entry has at hand of a backend server's limit.
	MethodTransferPermits = "entry.lend"
	// MethodState is the call for what an entry knows of a Subject.
	MethodState = "entry.state"
)

// Subject names something that all entries follow.
type Subject string

// The subjects.
const (
	SubjectRouting Subject = "routing"
	SubjectServers Subject = "servers"
	SubjectLimits  Subject = "limits"
)

// StateRequest asks for what an entry knows.
type StateRequest struct {
	Subject Subject `json:"subject"`
}

const (
	// DefaultInterval is the time between heartbeats: about the time in which a few
	// slots of a service become free.
	DefaultInterval = 50 * time.Millisecond
	// everyPerPeer stretches the time between heartbeats with the number of
	// entries, so that their cost to an entry stays bounded: it hears five hundred a
	// second of near ones at most.
	everyPerPeer = 2 * time.Millisecond
	// farPerPeer is the same for each entry of another hall where there are many
	// (runworks.ManyEntries): most calls stay in their hall, so what is known there may be
	// older.
	farPerPeer = 5 * time.Millisecond
	// quietEvery is the time between heartbeats with nothing new, well below what
	// counts as silence.
	quietEvery = 250 * time.Millisecond
	// silentAfter is when an entry that sent no heartbeat counts as gone, and
	// what it ran as ended or cut off.
	silentAfter = 1500 * time.Millisecond
	// missedBeats is how many heartbeats must have been missed at least: with 360 entries
	// those of other halls come every 1.4 s, and each would count as gone again and again.
	missedBeats = 3
	// SettleTimeout bounds how long an entry that starts waits to hear one of those that are
	// listed: some times what a connection takes to open. What they drew of the customers'
	// limits since the last record it learns from them alone: one that serves before lets a
	// customer through that has just drawn all of its limit elsewhere.
	SettleTimeout = 150 * time.Millisecond
	// firstRedial and lastRedial are the waits between attempts to reach an entry.
	firstRedial = 100 * time.Millisecond
	lastRedial  = 2 * time.Second
	sendTimeout = time.Second
)

// Member is an entry that others may reach.
type Member struct {
	Name string `json:"name"`
	// Address is host:port for the other entries.
	Address string `json:"address"`
	// Hall is where it stands; empty from versions that do not tell it.
	Hall        string               `json:"hall,omitempty"`
	Incarnation runworks.Incarnation `json:"incarnation"`
}

// Heartbeat is what an entry tells the others.
type Heartbeat struct {
	From Member `json:"from"`
	// Load is what the entry runs and what waits there.
	Load runworks.EntryLoad `json:"load"`
	// Limits is what is new of the entry's use of the customers' limits; in a greeting
	// it is all that the entry used in the window.
	Limits runworks.LimitUse `json:"limits"`
	// RoutingVersion is the version of the routing in force there.
	RoutingVersion int64 `json:"routing_version,omitempty"`
	// Positions tell how far the entry has followed each subject.
	Positions map[Subject]runworks.Position `json:"topic_positions,omitempty"`
	// Offsets are Positions without their eras, for versions that know of none. They are only
	// written: without its era an offset can't be compared.
	Offsets map[Subject]int64 `json:"positions,omitempty"`
	// StoreLost says that the entry could not read the store of late.
	StoreLost bool `json:"store_lost,omitempty"`
	// Changes are what the entry read from the store since its last heartbeat; only frames
	// tell them.
	Changes []Change `json:"-"`
	// Suspects are all requests under which backend servers ended; only greetings tell them.
	Suspects []runworks.Suspect `json:"suspects,omitempty"`
	// ServerNotices is all that backend servers say of themselves; only greetings tell it.
	ServerNotices []runworks.ServerNotice `json:"server_words,omitempty"`
	// Names are those of the frames that follow a greeting, by their numbers.
	Names []string `json:"names,omitempty"`
}

// Exchange keeps the entries in touch; set the exported fields before Run.
type Exchange struct {
	Self   Member
	Dial   rpc.DialFunc
	Keys   rpc.FleetKeys
	Logger hclog.Logger
	// Interval is DefaultEvery if zero.
	Interval time.Duration
	// Heartbeat gives what this entry tells; From and Limits are filled in.
	Heartbeat func() Heartbeat
	// LimitUpdates gives the limits' part of a heartbeat, and LimitSnapshot that of a greeting.
	LimitUpdates, LimitSnapshot func() runworks.LimitUse
	// OnHeartbeat is told what another entry said, and OnGone which one fell silent.
	OnHeartbeat   func(now time.Time, b *Heartbeat)
	OnUnreachable func(from runworks.Incarnation)
	// OnHandshake is told, ahead of OnBeat, what another entry says first.
	OnHandshake func(now time.Time, b *Heartbeat)
	// Suspects gives the requests that a greeting tells of, and OnSuspects is told what
	// another entry told of some; nil gives none and tells nobody.
	Suspects   func() []runworks.Suspect
	OnSuspects func(from string, list []runworks.Suspect)
	// ServerNotices gives what backend servers say of themselves, for a greeting, and
	// OnServerWords is told what another entry told of some; nil gives none and tells nobody.
	ServerNotices   func() []runworks.ServerNotice
	OnServerNotices func(from string, list []runworks.ServerNotice)
	// TransferPermits gives away requests that this entry has at hand of a backend server's limit, as far
	// as it has no use for them; nil gives none.
	TransferPermits func(server string, requests int) int
	// OnSettled is told that this entry has waited long enough to hear another; nil tells
	// nobody.
	OnSettled func()
	// OnReplaced is told which life of an entry is over, as a new one was heard.
	OnReplaced func(old runworks.Incarnation)
	// State gives what this entry knows of a subject, for others.
	State func(s Subject) (any, error)

	work group.Group
	// telling keeps a greeting from missing what is new in a heartbeat that others get;
	// it guards encoder.
	telling sync.Mutex
	encoder encoder
	// untold is what far entries were not told yet of the customers' limits, and farTold when
	// they were told last.
	untold  map[string]runworks.CustomerUse
	farTold time.Time
	mu      sync.Mutex
	// ctx ends with Run; connections may be asked for before it.
	ctx   context.Context
	end   context.CancelFunc
	links map[string]*link
	heard map[runworks.Incarnation]*life
	// began is when Run did, and listed says that the list of entries was read.
	began  time.Time
	listed bool
	// lives holds the newest life of each entry, by its name.
	lives map[string]runworks.Incarnation
	// wordNews is what is to be told of backend servers, by server, and tellingWords says that
	// somebody does.
	wordNews     map[string]wordNews
	tellingWords bool
	// changes are not told yet; wake has them told at once.
	changes []Change
	wake    notify.Wake
}

// life is what is known of another entry's incarnation.
type life struct {
	name string
	hall string
	last time.Time
	// storeLost is its word that it could not read the store of late.
	storeLost bool
	// noEras says that it is of a version that tells offsets without their eras: what it reads
	// of the store is of no use here.
	noEras bool
}

// Run sends heartbeats until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	x.mu.Lock()
	x.began = time.Now()
	x.mu.Unlock()
	if x.OnSettled != nil {
		settled := time.AfterFunc(SettleTimeout, x.OnSettled)
		defer settled.Stop()
	}
	var last []byte
	var sent time.Time
	for ctx.Err() == nil {
		now := time.Now()
		x.forgetSilent(now)
		if data := x.tell(ctx, last, now.Sub(sent) >= quietEvery); data != nil {
			last, sent = data, now
		}
		pause.Until(ctx, x.every(), x.wake.C())
	}
	x.mu.Lock()
	x.ctxLocked()
	x.end()
	x.mu.Unlock()
	x.work.Close()
}

// ctxLocked gives the context of all connections.
func (x *Exchange) ctxLocked() context.Context {
	if x.ctx == nil {
		x.ctx, x.end = context.WithCancel(context.Background())
	}
	return x.ctx
}

// Settled says whether this entry has heard another since its start, or there is none to
// hear, as far as it can know by now.
func (x *Exchange) Settled(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.began.IsZero() {
		return false
	}
	alone := x.listed && len(x.links) == 0
	return alone || len(x.heard) > 0 || now.Sub(x.began) >= SettleTimeout
}

// LiveCount gives how many other entries sent a heartbeat of late.
func (x *Exchange) LiveCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.heard)
}
