package peers

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/modules/rpc"
)

// The methods between entries.
const (
	// MethodBeat is the notification that carries a Beat.
	MethodBeat = "entry.beat"
	// MethodGreet is the first notification on a connection: a Beat that tells all of
	// the limits, where others tell what is new.
	MethodGreet = "entry.greet"
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

// StateCall asks for what an entry knows.
type StateCall struct {
	Subject Subject `json:"subject"`
}

const (
	// DefaultEvery is the time between heartbeats: about the time in which a few
	// slots of a service become free.
	DefaultEvery = 50 * time.Millisecond
	// everyPerPeer stretches the time between heartbeats with the number of
	// entries, so that their cost to an entry stays bounded: it hears five hundred a
	// second at most.
	everyPerPeer = 2 * time.Millisecond
	// quietEvery is the time between heartbeats with nothing new, well below what
	// counts as silence.
	quietEvery = 250 * time.Millisecond
	// silentAfter is when an entry that sent no heartbeat counts as gone, and
	// what it ran as ended or cut off.
	silentAfter = 1500 * time.Millisecond
	// firstRedial and lastRedial are the waits between attempts to reach an entry.
	firstRedial = 100 * time.Millisecond
	lastRedial  = 2 * time.Second
	sendTimeout = time.Second
)

// Member is an entry that others may reach.
type Member struct {
	Name string `json:"name"`
	// Address is host:port for the other entries.
	Address     string               `json:"address"`
	Incarnation runworks.Incarnation `json:"incarnation"`
}

// Beat is what an entry tells the others.
type Beat struct {
	From Member `json:"from"`
	// Load is what the entry runs and what waits there.
	Load runworks.EntryLoad `json:"load"`
	// Limits is what is new of the entry's use of the customers' limits; in a greeting
	// it is all that the entry used in the window.
	Limits runworks.LimitUse `json:"limits"`
	// RoutingVersion is the version of the routing in force there.
	RoutingVersion int64 `json:"routing_version,omitempty"`
	// Positions tell how far the entry has followed each subject.
	Positions map[Subject]int64 `json:"positions,omitempty"`
	// StoreLost says that the entry could not read the store of late.
	StoreLost bool `json:"store_lost,omitempty"`
	// Changes are what the entry read from the store since its last heartbeat; only frames
	// tell them.
	Changes []Change `json:"-"`
	// Names are those of the frames that follow a greeting, by their numbers.
	Names []string `json:"names,omitempty"`
}

// Exchange keeps the entries in touch; set the exported fields before Run.
type Exchange struct {
	Self   Member
	Dial   rpc.DialFunc
	Keys   rpc.FleetKeys
	Logger hclog.Logger
	// Every is DefaultEvery if zero.
	Every time.Duration
	// Beat gives what this entry tells; From and Limits are filled in.
	Beat func() Beat
	// News gives the limits' part of a heartbeat, and Limits that of a greeting.
	News, Limits func() runworks.LimitUse
	// OnBeat is told what another entry said, and OnGone which one fell silent.
	OnBeat func(now time.Time, b *Beat)
	OnGone func(from runworks.Incarnation)
	// OnGreeting is told, ahead of OnBeat, what another entry says first.
	OnGreeting func(now time.Time, b *Beat)
	// OnReplaced is told which life of an entry is over, as a new one was heard.
	OnReplaced func(old runworks.Incarnation)
	// State gives what this entry knows of a subject, for others.
	State func(s Subject) (any, error)

	work group.Group
	// telling keeps a greeting from missing what is new in a heartbeat that others get;
	// it guards encoder.
	telling sync.Mutex
	encoder encoder
	mu      sync.Mutex
	// ctx ends with Run; connections may be asked for before it.
	ctx   context.Context
	end   context.CancelFunc
	links map[string]*link
	heard map[runworks.Incarnation]*life
	// lives holds the newest life of each entry, by its name.
	lives map[string]runworks.Incarnation
	// changes are not told yet; wake has them told at once.
	changes []Change
	wake    chan struct{}
}

// life is what is known of another entry's incarnation.
type life struct {
	name string
	last time.Time
	// storeLost is its word that it could not read the store of late.
	storeLost bool
}

// Run sends heartbeats until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var last []byte
	var sent time.Time
	for ctx.Err() == nil {
		now := time.Now()
		x.forgetSilent(now)
		if data := x.tell(ctx, last, now.Sub(sent) >= quietEvery); data != nil {
			last, sent = data, now
		}
		pause.Until(ctx, x.every(), x.waking())
	}
	x.mu.Lock()
	x.ctxLocked()
	x.end()
	x.mu.Unlock()
	x.work.Close()
}

// tell sends a heartbeat, unless it says the same as the last one and need not be sent;
// it gives the frame that it sent.
func (x *Exchange) tell(ctx context.Context, last []byte, needed bool) []byte {
	x.telling.Lock()
	defer x.telling.Unlock()
	beat := x.Beat()
	beat.From, beat.Limits, beat.Changes = x.Self, x.News(), x.takeChanges()
	data, names, err := x.encoder.encode(&beat)
	if err != nil {
		x.Logger.Error("the heartbeat can't be sent", "error", err.Error())
		return nil
	}
	if bytes.Equal(data, last) && !needed && !names {
		return nil
	}
	x.send(ctx, data, &beat)
	return data
}

// ctxLocked gives the context of all connections.
func (x *Exchange) ctxLocked() context.Context {
	if x.ctx == nil {
		x.ctx, x.end = context.WithCancel(context.Background())
	}
	return x.ctx
}

// every is the time between heartbeats.
func (x *Exchange) every() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.everyLocked()
}

func (x *Exchange) everyLocked() time.Duration {
	every := x.Every
	if every == 0 {
		every = DefaultEvery
	}
	return max(every, time.Duration(len(x.heard))*everyPerPeer)
}

// send gives a heartbeat to every entry that is connected: a frame to those that read
// them.
func (x *Exchange) send(ctx context.Context, data []byte, beat *Beat) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	x.mu.Lock()
	conns := make([]*rpc.Conn, 0, len(x.links))
	for _, l := range x.links {
		if l.conn != nil {
			conns = append(conns, l.conn)
		}
	}
	x.mu.Unlock()
	for _, conn := range conns {
		var err error
		if conn.Frames {
			err = conn.SendFrame(data)
		} else {
			err = conn.Notify(ctx, MethodBeat, beat)
		}
		if err != nil {
			// The link's own loop dials again and logs the loss.
			_ = conn.Close()
		}
	}
}

// Live gives how many other entries sent a heartbeat of late.
func (x *Exchange) Live() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.heard)
}
