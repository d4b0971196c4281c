package catchup

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/patch"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/services/peers"
)

const (
	// maxChangeBytes limits a change that an entry sends to the others, and that it accepts. The
	// others request or read larger ones.
	maxChangeBytes = 1 << 20
	// grace, plus a random part of maxSpread, is how long an entry that is behind waits for the
	// change to arrive before it requests it: several times what a change takes through all
	// entries. The spread keeps the entries that missed the same change from requesting it at once;
	// it is shorter where they are few.
	grace         = 150 * time.Millisecond
	maxSpread     = 500 * time.Millisecond
	spreadPerPeer = 5 * time.Millisecond
	// maxRequests is the number of other entries that are asked before the store is read.
	maxRequests = 2
)

// errOrderUnknown means that the records of a change can't be put in order. Those that are known already
// could not be told from the others.
var errOrderUnknown = errorx.IllegalFormat.New("order of the records unknown")

// Topic is the entry's copy of a topic.
type Topic interface {
	// Loaded reports whether the topic's state is known, and StoreLost whether the store can't be
	// read.
	Loaded() bool
	StoreLost() bool
	// Position is the position up to which the topic is known.
	Position() runworks.Position
	// Value returns the newest value of a key; nil if it has none.
	Value(key string) []byte
	// Apply applies changes from one position to another. It returns what of them was not known; nil
	// if they do not continue the known state, or are known already.
	Apply(from, next runworks.Position, records []runworks.Record) *Update
	// Since returns the changes since a position, and reports whether they are still kept.
	Since(position runworks.Position) (*Update, bool)
	// ReadTo makes the store be read up to a position, which another entry has.
	ReadTo(position runworks.Position)
}

// Follower keeps one topic up to date. Set the exported fields before use.
type Follower struct {
	Subject peers.Subject
	Topic   Topic
	Logger  hclog.Logger
	// SendChange sends a change to all other entries, and RequestChanges requests from the named one
	// what changed since a position.
	SendChange     func(c peers.Change)
	RequestChanges func(ctx context.Context, name string, subject peers.Subject, since runworks.Position) (*peers.Change, error)
	// RequestState requests the whole state of the named entry and applies it.
	RequestState func(name string)
	// PeerCount returns the number of other entries.
	PeerCount func() int
	// Go runs a function until it ends or the process stops.
	Go func(f func()) bool
	// Context ends when the process stops.
	Context context.Context

	running atomic.Bool
	// ahead is the latest announcement of a position that this entry has not reached.
	ahead atomic.Pointer[announcement]
}

// announcement is how far another entry has read.
type announcement struct {
	from     string
	position runworks.Position
}

// Send sends an update that this entry read from the store to the other entries.
func (f *Follower) Send(u *Update) {
	c, err := f.encode(u)
	if err != nil {
		f.Logger.Error("change could not be encoded; the other entries request or read it", "subject", f.Subject, "error", err.Error())
		return
	}
	f.SendChange(*c)
}

// encode returns the change for an update. Long records are patches of their previous values.
func (f *Follower) encode(u *Update) (*peers.Change, error) {
	out := &peers.Change{Subject: f.Subject, From: u.From, Next: u.Next}
	size := 0
	for i, r := range withoutReplaced(u.Records) {
		if len(r.Value) <= longRecord {
			out.Records = append(out.Records, r)
			size += len(r.Key) + len(r.Value)
			continue
		}
		base := u.Previous[r.Key]
		data, err := patch.Make(base, r.Value)
		if err != nil {
			return nil, err
		}
		out.Patches = append(out.Patches, peers.Patch{Key: r.Key, Data: data, Whole: len(base) == 0, Place: i + 1})
		size += len(r.Key) + len(data)
	}
	if size > maxChangeBytes {
		return nil, errorx.IllegalArgument.New("change of %d bytes", size)
	}
	return out, nil
}

// Since returns the changes since a position, for another entry. The error is runworks.ErrTruncated
// if they are no longer kept.
func (f *Follower) Since(position runworks.Position) (*peers.Change, error) {
	u, ok := f.Topic.Since(position)
	if !ok {
		return nil, errorx.Decorate(runworks.ErrTruncated, "changes of %s since %d", f.Subject, position.Offset)
	}
	return f.encode(u)
}

// Receive applies a change that the named entry sent. One that does not fit is requested.
func (f *Follower) Receive(from string, c *peers.Change) {
	if !c.Next.After(f.Topic.Position()) {
		return
	}
	records, err := f.decode(c)
	if err != nil {
		f.Logger.Warn("change of another front could not be applied; requesting it", "name", from, "subject", f.Subject, "error", err.Error())
		f.Announced(from, c.Next)
		return
	}
	if f.Topic.Apply(c.From, c.Next, records) != nil {
		f.Logger.Info("applied changes from another front", "name", from, "subject", f.Subject, "era", c.Next.Era, "from_offset", c.From.Offset, "offset", c.Next.Offset, "records", len(records))
	}
}

// decode returns the records of a change in order. The error is errOrderUnknown if it does not say where its
// patches belong.
func (f *Follower) decode(c *peers.Change) ([]runworks.Record, error) {
	records := slices.Clone(c.Records)
	for i, p := range c.Patches {
		place := p.Place
		if place == 0 && len(c.Records) == 0 {
			place = i + 1 // of an earlier version, which sends patches in order
		}
		if place < 1 || place > len(records)+1 {
			return nil, errorx.Decorate(errOrderUnknown, "record %s at place %d of %d", p.Key, p.Place, len(c.Records)+len(c.Patches))
		}
		var base []byte
		if !p.Whole {
			base = f.Topic.Value(p.Key)
		}
		value, err := patch.Apply(base, p.Data, maxChangeBytes)
		if err != nil {
			return nil, errorx.Decorate(err, "record %s", p.Key)
		}
		records = slices.Insert(records, place-1, runworks.Record{Key: p.Key, Value: value})
	}
	return records, nil
}

// Announced notes how far the named entry has read. Changes up to there that do not arrive are
// requested from the entries that announced them, and read from the store only after that. An entry
// that can reach neither the store nor its changes requests the whole state.
func (f *Follower) Announced(from string, position runworks.Position) {
	if !position.After(f.Topic.Position()) {
		return
	}
	f.ahead.Store(&announcement{from: from, position: position})
	if !f.Topic.Loaded() && !f.Topic.StoreLost() || !f.running.CompareAndSwap(false, true) {
		return // the first read is under way, or the request
	}
	f.Go(func() {
		defer f.running.Store(false)
		spread := min(maxSpread, time.Duration(f.PeerCount())*spreadPerPeer)
		pause.For(f.Context, grace+rand.N(spread+1))
		f.catchUp()
	})
}

// catchUp requests what is missing.
func (f *Follower) catchUp() {
	for range maxRequests {
		a := f.ahead.Load()
		known := f.Topic.Position()
		if !a.position.After(known) {
			return
		}
		if !f.Topic.Loaded() || a.position.Era != known.Era {
			break // changes do not lead there
		}
		c, err := f.RequestChanges(f.Context, a.from, f.Subject, known)
		if err != nil {
			f.Logger.Warn("request for changes of another front failed", "name", a.from, "subject", f.Subject, "error", err.Error())
			continue
		}
		f.Receive(a.from, c)
	}
	a := f.ahead.Load()
	switch {
	case !a.position.After(f.Topic.Position()):
	case f.Topic.StoreLost():
		f.RequestState(a.from)
	default:
		f.Topic.ReadTo(a.position)
	}
}
