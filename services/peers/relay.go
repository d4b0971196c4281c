package peers

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/group"
	"github.com/runworks/runworks/modules/rpc"
)

const (
	// relayFanout is the number of entries of its hall to which an entry sends a change. With 8, a
	// change reaches a hall of 500 entries in three steps.
	relayFanout = 8
	// changesTimeout limits a request for changes. Another entry is asked after it.
	changesTimeout = 500 * time.Millisecond
)

// Change is what an entry read of a subject from the store, for entries that do not read it.
type Change struct {
	Subject Subject `json:"subject"`
	// From is the position before the change and Next the one after it, of the same era.
	From runworks.Position `json:"from"`
	Next runworks.Position `json:"next"`
	// Records are the changed records in order, without those in Patches.
	Records []runworks.Record `json:"records,omitempty"`
	Patches []Patch           `json:"patches,omitempty"`
}

// Patch is the newest value of a long record as a patch (modules/patch).
type Patch struct {
	Key string `json:"key"`
	// Data is a patch of the record's value at Change.From or, if Whole is set, of nothing.
	Data  []byte `json:"data"`
	Whole bool   `json:"whole,omitempty"`
	// Place is the record's place among all of the change, from 1 on; patches are in this order. Earlier
	// versions send none, and put all patches behind the other records.
	Place int `json:"place,omitempty"`
}

// relayedChange is a change on its way through the entries.
type relayedChange struct {
	Change Change `json:"change"`
	// Targets are the names of the entries to which the receiver passes the change on.
	Targets []string `json:"targets,omitempty"`
}

// changesRequest requests the changes of a subject since a position.
type changesRequest struct {
	Subject Subject           `json:"subject"`
	Since   runworks.Position `json:"since"`
}

// relay passes changes on through the entries, so that none of them sends one more than a few times:
// one entry of each other hall, and a few of the own one, receive it with the names of those to
// which they pass it on. Which ones is decided anew for each change. An entry that does not receive
// it, because one on the path stopped, learns from heartbeats that it is behind and uses
// RequestChanges.
type relay struct {
	hall string
	// halls returns the halls of the other entries, by name.
	halls func() map[string]string
	// send sends a change to the named entry. An error means that it was not sent.
	send func(name string, m *relayedChange) error
	work *group.Group
}

// pass sends a change to the named entries through some of them.
func (r *relay) pass(c *Change, targets []string) {
	for _, members := range r.groups(targets) {
		r.work.Go(func() { r.sendToGroup(c, members) })
	}
}

// groups divides entries into groups, each of which receives a change through one of its members:
// one group for each other hall, and relayFanout of the own hall.
func (r *relay) groups(targets []string) [][]string {
	halls := r.halls()
	targets = slices.Clone(targets)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	remote := map[string][]string{}
	local := make([][]string, min(relayFanout, len(targets)))
	n := 0
	for _, name := range targets {
		if hall, known := halls[name]; known && hall != r.hall {
			remote[hall] = append(remote[hall], name)
			continue
		}
		local[n%len(local)] = append(local[n%len(local)], name)
		n++
	}
	return slices.AppendSeq(local[:min(n, len(local))], maps.Values(remote))
}

// sendToGroup sends a change to the first entry of a group that can be reached, which passes it on
// to those after it.
func (r *relay) sendToGroup(c *Change, members []string) {
	for i, name := range members {
		if r.send(name, &relayedChange{Change: *c, Targets: members[i+1:]}) == nil {
			return
		}
	}
}

// SendChange sends a change to all other entries that pass on changes.
func (x *Exchange) SendChange(c Change) {
	x.mu.Lock()
	var targets []string
	for _, one := range x.peers {
		if one.relays {
			targets = append(targets, one.name)
		}
	}
	x.mu.Unlock()
	x.relay().pass(&c, targets)
}

// relay returns the relay of this entry.
func (x *Exchange) relay() *relay {
	return &relay{hall: x.Self.Hall, halls: x.peerHalls, send: x.sendChangeTo, work: &x.work}
}

// peerHalls returns the halls of the other entries, by name.
func (x *Exchange) peerHalls() map[string]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	halls := make(map[string]string, len(x.peers))
	for _, one := range x.peers {
		halls[one.name] = one.hall
	}
	return halls
}

// sendChangeTo sends a change to the named entry.
func (x *Exchange) sendChangeTo(name string, m *relayedChange) error {
	conn := x.connByName(name)
	if conn == nil {
		return errNotConnected(name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	err := conn.Notify(ctx, MethodChange, m)
	if err != nil {
		_ = conn.Close() // maintain logs the loss and dials again
	}
	return err
}

func errNotConnected(name string) error {
	return errorx.IllegalState.New("there is no connection to %s", name)
}

// connByName returns the connection to the named entry, or nil if there is none.
func (x *Exchange) connByName(name string) *rpc.Conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.connByNameLocked(name)
}

func (x *Exchange) connByNameLocked(name string) *rpc.Conn {
	if l := x.links[name]; l != nil {
		return l.conn
	}
	return nil
}

// handleChange passes a change on and processes it.
func (x *inbound) handleChange(params json.RawMessage) error {
	var m relayedChange
	if err := json.Unmarshal(params, &m); err != nil {
		x.Logger.Warn("change could not be decoded", "name", x.decoder.from.Name, "error", err.Error())
		return errorx.Decorate(err, "decode the change")
	}
	x.relay().pass(&m.Change, m.Targets)
	x.OnChange(x.decoder.from.Name, &m.Change)
	return nil
}

// RequestChanges requests from the named entry the changes of a subject since a position. It fails
// if the entry does not have them all or does not answer within 0.5 s.
func (x *Exchange) RequestChanges(ctx context.Context, name string, subject Subject, since runworks.Position) (*Change, error) {
	conn := x.connByName(name)
	if conn == nil {
		return nil, errNotConnected(name)
	}
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	var c Change
	if err := conn.Call(ctx, MethodChangesSince, changesRequest{Subject: subject, Since: since}, &c); err != nil {
		return nil, errorx.Decorate(err, "request from %s the changes of %s", name, subject)
	}
	return &c, nil
}

// handleChangesRequest answers RequestChanges.
func (x *Exchange) handleChangesRequest(params json.RawMessage) (any, error) {
	var r changesRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errorx.Decorate(err, "decode the request")
	}
	if x.ChangesSince == nil {
		return nil, errorx.UnsupportedOperation.New("this entry keeps no changes")
	}
	return x.ChangesSince(r.Subject, r.Since)
}
