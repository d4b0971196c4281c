package peers

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// maxNames is after how many names an encoder numbers them anew: some times as many as the
// servers, services and customers of the largest fleet.
const maxNames = 20000

// A frame is a heartbeat on the wire, to entries that read frames: a fifth of the bytes and of
// the processor time of JSON-RPC, which a small host among a hundred could not spare. The sender
// is known from the greeting of the connection. Names of servers, services, customers and
// subjects are told once and numbered in the order in which they were told; a greeting tells
// those of all frames before it.
type frame struct {
	_ struct{} `cbor:",toarray"`
	// First is the number of the first of Names; 0 makes all numbers told before void.
	First          int
	Names          []string
	RoutingVersion int64
	Positions      []framePosition
	Running        []frameCount
	Failed         []frameCount
	Reading        []frameCount
	LeftOut        []int
	Waiting        []frameWaiting
	Limits         frameLimits
	StoreLost      bool
	Changes        []frameChange
}

// framePosition is the position in a subject.
type framePosition struct {
	_       struct{} `cbor:",toarray"`
	Subject int
	Era     int64
	Offset  int64
}

// frameChange is a Change.
type frameChange struct {
	_       struct{} `cbor:",toarray"`
	Subject int
	Era     int64
	From    int64
	Next    int64
	Records []frameRecord
}

// frameRecord is a record of a Change; its key is told once as a rule, so it has no number.
type frameRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// frameCount is a count of what a name stands for.
type frameCount struct {
	_    struct{} `cbor:",toarray"`
	Name int
	N    int64
}

// frameWaiting tells of the calls that wait for a service.
type frameWaiting struct {
	_       struct{} `cbor:",toarray"`
	Service int
	Rank    int
	Calls   int
}

// frameLimits is a LimitUse without the times of draws.
type frameLimits struct {
	_         struct{} `cbor:",toarray"`
	Version   int64
	Records   int64
	Complete  bool
	Customers []frameUse
}

// frameUse is a CustomerUse without the times of draws.
type frameUse struct {
	_        struct{} `cbor:",toarray"`
	Customer int
	Drawn    float64
	Used     float64
	Held     float64
}

// encoder writes the frames of one entry; it takes no lock.
type encoder struct {
	numbers map[string]int
	// names are those that were told, and new ones that the next frame tells.
	names []string
	told  int
}

// shortly encodes whole numbers of tokens in 3 or 5 bytes in place of 9.
var shortly = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// encode gives the frame of a heartbeat on the wire.
func (e *encoder) encode(b *Heartbeat) ([]byte, error) { return e.frame(b).encode() }

// encode gives the frame on the wire.
func (f *frame) encode() ([]byte, error) {
	data, err := shortly.Marshal(f)
	if err != nil {
		return nil, errorx.Decorate(err, "encode the heartbeat")
	}
	return data, nil
}

// frame gives the frame of a heartbeat; if it tells names, all have to get it.
func (e *encoder) frame(b *Heartbeat) *frame {
	if e.numbers == nil || len(e.names) > maxNames {
		e.numbers, e.names, e.told = make(map[string]int), nil, 0
	}
	f := &frame{First: e.told, RoutingVersion: b.RoutingVersion, StoreLost: b.StoreLost, Changes: e.changes(b.Changes)}
	for subject, p := range b.Positions {
		f.Positions = append(f.Positions, framePosition{Subject: e.number(string(subject)), Era: p.Era, Offset: p.Offset})
	}
	slices.SortFunc(f.Positions, func(a, b framePosition) int { return a.Subject - b.Subject })
	e.load(f, &b.Load)
	f.Limits = frameLimits{Version: b.Limits.Version, Records: b.Limits.RecordsWritten, Complete: b.Limits.Complete, Customers: e.uses(b.Limits.Customers)}
	f.Names = e.names[e.told:]
	e.told = len(e.names)
	return f
}

// load puts what an entry runs, and what waits there, into a frame.
func (e *encoder) load(f *frame, load *runworks.EntryLoad) {
	f.Running = e.counts(load.Running)
	f.Failed = e.counts(load.ConsecutiveFailures)
	f.Reading = e.counts(load.UnreadPromptTokens)
	for _, id := range load.Ejected {
		f.LeftOut = append(f.LeftOut, e.number(id))
	}
	for service, w := range load.Waiting {
		f.Waiting = append(f.Waiting, frameWaiting{Service: e.number(service), Rank: w.Rank, Calls: w.Calls})
	}
	slices.SortFunc(f.Waiting, func(a, b frameWaiting) int { return a.Service - b.Service })
}

func (e *encoder) uses(list map[string]runworks.CustomerUse) []frameUse {
	out := make([]frameUse, 0, len(list))
	for customer, u := range list {
		out = append(out, frameUse{Customer: e.number(customer), Drawn: u.Consumed, Used: u.ConsumedInWindow, Held: u.Reserved})
	}
	slices.SortFunc(out, func(a, b frameUse) int { return a.Customer - b.Customer })
	return out
}

func (e *encoder) changes(list []Change) []frameChange {
	var out []frameChange
	for _, c := range list {
		one := frameChange{Subject: e.number(string(c.Subject)), Era: c.From.Era, From: c.From.Offset, Next: c.Next.Offset}
		for _, r := range c.Records {
			one.Records = append(one.Records, frameRecord{Key: r.Key, Value: r.Value})
		}
		out = append(out, one)
	}
	return out
}

func (e *encoder) counts(list map[string]int) []frameCount {
	out := make([]frameCount, 0, len(list))
	for name, n := range list {
		out = append(out, frameCount{Name: e.number(name), N: int64(n)})
	}
	slices.SortFunc(out, byName)
	return out
}

func byName(a, b frameCount) int { return a.Name - b.Name }

// number gives the number of a name, a new one if it has none.
func (e *encoder) number(name string) int {
	n, ok := e.numbers[name]
	if !ok {
		n = len(e.names)
		e.numbers[name] = n
		e.names = append(e.names, strings.Clone(name))
	}
	return n
}

// decoder reads the frames of one connection.
type decoder struct {
	from  Member
	names []string
}

// decode gives the heartbeat of a frame; an error means that the connection has to begin
// anew.
func (c *decoder) decode(data []byte) (*Heartbeat, error) {
	if c.from.Incarnation == "" {
		return nil, errorx.IllegalState.New("a heartbeat came before the greeting")
	}
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, errorx.Decorate(err, "decode the heartbeat of %s", c.from.Name)
	}
	if f.First < 0 || f.First > len(c.names) || f.First+len(f.Names) > 2*maxNames {
		return nil, errorx.IllegalFormat.New("names from %d on, %d of them, behind %d, by %s", f.First, len(f.Names), len(c.names), c.from.Name)
	}
	if f.First == 0 || len(f.Names) > 0 {
		c.names = append(c.names[:f.First:f.First], f.Names...)
	}
	return c.beat(&f)
}

// beat gives the numbers of a frame their names back.
func (c *decoder) beat(f *frame) (*Heartbeat, error) {
	r := &namer{names: c.names}
	b := &Heartbeat{From: c.from, RoutingVersion: f.RoutingVersion, StoreLost: f.StoreLost, Changes: r.changes(f.Changes), Positions: make(map[Subject]runworks.Position, len(f.Positions))}
	for _, p := range f.Positions {
		b.Positions[Subject(r.name(p.Subject))] = runworks.Position{Era: p.Era, Offset: p.Offset}
	}
	r.load(&b.Load, f)
	b.Limits = runworks.LimitUse{Version: f.Limits.Version, RecordsWritten: f.Limits.Records, Complete: f.Limits.Complete}
	b.Limits.Customers = make(map[string]runworks.CustomerUse, len(f.Limits.Customers))
	for _, u := range f.Limits.Customers {
		b.Limits.Customers[r.name(u.Customer)] = runworks.CustomerUse{Consumed: u.Drawn, ConsumedInWindow: u.Used, Reserved: u.Held}
	}
	if r.unknown {
		return nil, errorx.IllegalFormat.New("a name that was not told, by %s", c.from.Name)
	}
	return b, nil
}

// namer finds names by their numbers, and notes if one is not known.
type namer struct {
	names   []string
	unknown bool
}

func (r *namer) name(n int) string {
	if n < 0 || n >= len(r.names) {
		r.unknown = true
		return ""
	}
	return r.names[n]
}

// load takes what an entry runs, and what waits there, from a frame.
func (r *namer) load(load *runworks.EntryLoad, f *frame) {
	*load = runworks.EntryLoad{Running: r.counts(f.Running), ConsecutiveFailures: r.counts(f.Failed), UnreadPromptTokens: r.counts(f.Reading)}
	for _, n := range f.LeftOut {
		load.Ejected = append(load.Ejected, r.name(n))
	}
	load.Waiting = make(runworks.WaitingCalls, len(f.Waiting))
	for _, w := range f.Waiting {
		load.Waiting[r.name(w.Service)] = runworks.WaitingCall{Rank: w.Rank, Calls: w.Calls}
	}
}

func (r *namer) changes(list []frameChange) []Change {
	var out []Change
	for _, c := range list {
		one := Change{Subject: Subject(r.name(c.Subject)), From: runworks.Position{Era: c.Era, Offset: c.From}, Next: runworks.Position{Era: c.Era, Offset: c.Next}}
		for _, record := range c.Records {
			one.Records = append(one.Records, runworks.Record{Key: record.Key, Value: record.Value})
		}
		out = append(out, one)
	}
	return out
}

func (r *namer) counts(list []frameCount) map[string]int {
	out := make(map[string]int, len(list))
	for _, c := range list {
		out[r.name(c.Name)] = int(c.N)
	}
	return out
}
