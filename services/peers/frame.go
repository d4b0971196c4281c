package peers

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// maxNames is the number of names after which an encoder discards its numbering: several times
// the number of servers, services and customers of the largest installation.
const maxNames = 20000

// A frame is the binary encoding of a heartbeat, for entries that support it. It takes a fifth of
// the bytes and of the processor time of JSON-RPC, which a small host among a hundred could not
// spare. The sender is known from the handshake of the connection. Names of servers, services,
// customers and subjects are sent once and numbered in the order in which they were sent; a
// handshake carries those of all earlier frames. The order of the fields is the wire format.
type frame struct {
	_ struct{} `cbor:",toarray"`
	// First is the number of the first of Names; 0 discards all earlier names.
	First               int
	Names               []string
	RoutingVersion      int64
	Positions           []framePosition
	Running             []frameCount
	ConsecutiveFailures []frameCount
	UnreadPromptTokens  []frameCount
	Ejected             []int
	Waiting             []frameWaiting
	Limits              frameLimits
	StoreLost           bool
	Changes             []frameChange
}

// stoppingFrame is the frame of an entry whose planned stop began. A decoder of a previous version
// accepts no frame with more fields than it knows, so this one goes only to entries that schedule.
type stoppingFrame struct {
	_ struct{} `cbor:",toarray"`
	frame
	Stopping bool
}

// stoppingFrameHead is the first byte of an encoded stoppingFrame: an array of 13 elements, where
// that of a frame has 12.
const stoppingFrameHead = 0x80 | 13

// framePosition is a position in a subject.
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

// frameRecord is a record of a Change. Its key is not numbered, as most keys are sent once.
type frameRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// frameCount is a count for a numbered name.
type frameCount struct {
	_    struct{} `cbor:",toarray"`
	Name int
	N    int64
}

// frameWaiting holds the calls that wait for a service.
type frameWaiting struct {
	_       struct{} `cbor:",toarray"`
	Service int
	Rank    int
	Calls   int
}

// frameLimits is a LimitUse without the times of debits.
type frameLimits struct {
	_              struct{} `cbor:",toarray"`
	Version        int64
	RecordsWritten int64
	Complete       bool
	Customers      []frameUse
}

// frameUse is a CustomerUse without the times of debits.
type frameUse struct {
	_                struct{} `cbor:",toarray"`
	Customer         int
	Consumed         float64
	ConsumedInWindow float64
	Reserved         float64
}

// encoder writes the frames of one entry. It is not safe for concurrent use.
type encoder struct {
	numbers map[string]int
	// names holds the names by number; those from sent on are new and go out with the next frame.
	names []string
	sent  int
}

// shortFloats encodes whole numbers of tokens in 3 or 5 bytes rather than 9.
var shortFloats = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// encode returns the encoded frame of a heartbeat.
func (e *encoder) encode(b *Heartbeat) ([]byte, error) { return e.frame(b).encode() }

// encode returns the encoded frame.
func (f *frame) encode() ([]byte, error) { return marshal(f) }

// encodeStopping returns the encoded frame of an entry whose planned stop began.
func (f *frame) encodeStopping() ([]byte, error) {
	return marshal(&stoppingFrame{frame: *f, Stopping: true})
}

func marshal(f any) ([]byte, error) {
	data, err := shortFloats.Marshal(f)
	if err != nil {
		return nil, errorx.Decorate(err, "encode the heartbeat")
	}
	return data, nil
}

// frame returns the frame of a heartbeat. If it adds names, it must be sent to all entries.
func (e *encoder) frame(b *Heartbeat) *frame {
	if e.numbers == nil || len(e.names) > maxNames {
		e.numbers, e.names, e.sent = make(map[string]int), nil, 0
	}
	f := &frame{
		First: e.sent, RoutingVersion: b.RoutingVersion, StoreLost: b.StoreLost,
		Changes: e.changes(b.Changes),
	}
	for subject, p := range b.Positions {
		f.Positions = append(f.Positions, framePosition{
			Subject: e.number(string(subject)), Era: p.Era, Offset: p.Offset,
		})
	}
	slices.SortFunc(f.Positions, func(a, b framePosition) int { return a.Subject - b.Subject })
	e.load(f, &b.Load)
	f.Limits = frameLimits{
		Version: b.Limits.Version, RecordsWritten: b.Limits.RecordsWritten,
		Complete: b.Limits.Complete, Customers: e.uses(b.Limits.Customers),
	}
	f.Names = e.names[e.sent:]
	e.sent = len(e.names)
	return f
}

// load copies an entry's load into a frame.
func (e *encoder) load(f *frame, load *runworks.EntryLoad) {
	f.Running = e.counts(load.Running)
	f.ConsecutiveFailures = e.counts(load.ConsecutiveFailures)
	f.UnreadPromptTokens = e.counts(load.UnreadPromptTokens)
	for _, id := range load.Ejected {
		f.Ejected = append(f.Ejected, e.number(id))
	}
	for service, w := range load.Waiting {
		f.Waiting = append(f.Waiting, frameWaiting{
			Service: e.number(service), Rank: w.Rank, Calls: w.Calls,
		})
	}
	slices.SortFunc(f.Waiting, func(a, b frameWaiting) int { return a.Service - b.Service })
}

func (e *encoder) uses(list map[string]runworks.CustomerUse) []frameUse {
	out := make([]frameUse, 0, len(list))
	for customer, u := range list {
		out = append(out, frameUse{
			Customer: e.number(customer), Consumed: u.Consumed,
			ConsumedInWindow: u.ConsumedInWindow, Reserved: u.Reserved,
		})
	}
	slices.SortFunc(out, func(a, b frameUse) int { return a.Customer - b.Customer })
	return out
}

func (e *encoder) changes(list []Change) []frameChange {
	var out []frameChange
	for _, c := range list {
		one := frameChange{
			Subject: e.number(string(c.Subject)),
			Era:     c.From.Era, From: c.From.Offset, Next: c.Next.Offset,
		}
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

// number returns the number of a name and assigns one if it has none.
func (e *encoder) number(name string) int {
	n, ok := e.numbers[name]
	if !ok {
		n = len(e.names)
		e.numbers[name] = n
		e.names = append(e.names, strings.Clone(name))
	}
	return n
}
