package peers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// decoder reads the frames of one connection.
type decoder struct {
	from      Member
	relays    bool
	schedules bool
	names     []string
}

// decode returns the heartbeat of a frame. After an error the names are out of step, and the
// connection must be closed.
func (c *decoder) decode(data []byte) (*Heartbeat, error) {
	if c.from.Incarnation == "" {
		return nil, errorx.IllegalState.New("heartbeat received before the handshake")
	}
	f, stopping, err := decodeFrame(data)
	if err != nil {
		return nil, errorx.Decorate(err, "decode the heartbeat of %s", c.from.Name)
	}
	if f.First < 0 || f.First > len(c.names) || f.First+len(f.Names) > 2*maxNames {
		return nil, errorx.IllegalFormat.New(
			"invalid names from number %d on (%d of them) with %d known, in a heartbeat of %s",
			f.First, len(f.Names), len(c.names), c.from.Name)
	}
	if f.First == 0 || len(f.Names) > 0 {
		c.names = append(c.names[:f.First:f.First], f.Names...)
	}
	return c.heartbeat(f, stopping)
}

// decodeFrame returns the frame of data and whether its sender is stopping.
func decodeFrame(data []byte) (f *frame, stopping bool, err error) {
	if len(data) > 0 && data[0] == stoppingFrameHead {
		var s stoppingFrame
		err = cbor.Unmarshal(data, &s)
		return &s.frame, s.Stopping, err
	}
	f = &frame{}
	return f, false, cbor.Unmarshal(data, f)
}

// heartbeat resolves the numbers of a frame.
func (c *decoder) heartbeat(f *frame, stopping bool) (*Heartbeat, error) {
	r := &nameTable{names: c.names}
	b := &Heartbeat{
		From: c.from, RoutingVersion: f.RoutingVersion, StoreLost: f.StoreLost, Relays: c.relays, Schedules: c.schedules, Stopping: stopping, Changes: r.changes(f.Changes),
		Positions: make(map[Subject]runworks.Position, len(f.Positions)),
	}
	for _, p := range f.Positions {
		b.Positions[Subject(r.name(p.Subject))] = runworks.Position{Era: p.Era, Offset: p.Offset}
	}
	r.load(&b.Load, f)
	b.Limits = runworks.LimitUse{
		Version: f.Limits.Version, RecordsWritten: f.Limits.RecordsWritten, Complete: f.Limits.Complete,
	}
	b.Limits.Customers = make(map[string]runworks.CustomerUse, len(f.Limits.Customers))
	for _, u := range f.Limits.Customers {
		b.Limits.Customers[r.name(u.Customer)] = runworks.CustomerUse{
			Consumed: u.Consumed, ConsumedInWindow: u.ConsumedInWindow, Reserved: u.Reserved,
		}
	}
	if r.unknown {
		return nil, errorx.IllegalFormat.New("undefined name number in a heartbeat of %s", c.from.Name)
	}
	return b, nil
}

// nameTable resolves numbers to names and records whether one was undefined.
type nameTable struct {
	names   []string
	unknown bool
}

func (r *nameTable) name(n int) string {
	if n < 0 || n >= len(r.names) {
		r.unknown = true
		return ""
	}
	return r.names[n]
}

// load copies an entry's load from a frame.
func (r *nameTable) load(load *runworks.EntryLoad, f *frame) {
	*load = runworks.EntryLoad{
		Running:             r.counts(f.Running),
		ConsecutiveFailures: r.counts(f.ConsecutiveFailures),
		UnreadPromptTokens:  r.counts(f.UnreadPromptTokens),
	}
	for _, n := range f.Ejected {
		load.Ejected = append(load.Ejected, r.name(n))
	}
	load.Waiting = make(runworks.WaitingCalls, len(f.Waiting))
	for _, w := range f.Waiting {
		load.Waiting[r.name(w.Service)] = runworks.WaitingCall{Rank: w.Rank, Calls: w.Calls}
	}
}

func (r *nameTable) changes(list []frameChange) []Change {
	var out []Change
	for _, c := range list {
		one := Change{
			Subject: Subject(r.name(c.Subject)),
			From:    runworks.Position{Era: c.Era, Offset: c.From},
			Next:    runworks.Position{Era: c.Era, Offset: c.Next},
		}
		for _, record := range c.Records {
			one.Records = append(one.Records, runworks.Record{Key: record.Key, Value: record.Value})
		}
		out = append(out, one)
	}
	return out
}

func (r *nameTable) counts(list []frameCount) map[string]int {
	out := make(map[string]int, len(list))
	for _, c := range list {
		out[r.name(c.Name)] = int(c.N)
	}
	return out
}
