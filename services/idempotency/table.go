package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/control"
)

// Table holds the records of the keys that one agent owns. Set the exported fields before use.
// It is not safe for concurrent use. Times are wall-clock times, as the keys contain them.
type Table struct {
	// Started is the time at which this incarnation of the agent started.
	Started time.Time
	// MaxClockSkew is the maximum difference between the clocks of callers, entries and agents.
	MaxClockSkew time.Duration
	// Retention is how long after its creation a key may be used for the first time. Its record
	// is kept longer, see insert.
	Retention time.Duration
	// MaxKeys limits the number of records.
	MaxKeys int

	records map[keyID]*record
	// order lists the records by their expiry.
	order []expiry
	// closed is set once the records were exported.
	closed bool
	// imported holds the records of other key owners; importedOrder lists them by their expiry.
	imported      map[keyID]*record
	importedOrder []expiry
	// withdrawn holds the requests whose claims are not granted any more; withdrawnOrder lists
	// them by their expiry.
	withdrawn      map[runworks.RequestID]struct{}
	withdrawnOrder []withdrawal
}

type keyID struct {
	customer string
	key      string
}

type expiry struct {
	id keyID
	at time.Time
}

// record is the state of one key.
type record struct {
	digest   string
	claimant runworks.RequestID
	source   runworks.Incarnation
	bound    bool
	run      control.RunLocation
	// spent is set once a caller was told that its request did not run: no request may run under
	// the key any more.
	spent bool
}

// CreatedAt returns the time at which a key was created. ok is false if the key is not a
// UUIDv7.
func CreatedAt(key string) (at time.Time, ok bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || len(key) != len(id.String()) {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// OwnedElsewhere reports whether the key had another owner at any time since.
type OwnedElsewhere func(since time.Time) bool

// Claim decides whether a request may run under a key. source is the entry that sent the
// claim.
func (t *Table) Claim(now time.Time, source runworks.Incarnation, c *control.KeyClaim, elsewhere OwnedElsewhere) control.KeyReply {
	t.expire(now)
	if _, ok := t.withdrawn[c.ID]; ok {
		return control.KeyReply{Verdict: control.KeyWithdrawn}
	}
	id := keyID{customer: c.Customer, key: c.Key}
	if r := t.records[id]; r != nil {
		return t.claimExisting(r, source, c)
	}
	if verdict := t.checkUnused(now, c, elsewhere); verdict != control.KeyFresh {
		return control.KeyReply{Verdict: verdict}
	}
	t.insert(now, id, &record{digest: c.Digest, claimant: c.ID, source: source})
	return control.KeyReply{Verdict: control.KeyFresh}
}

// checkUnused returns KeyFresh if a key without a record provably was not used before.
func (t *Table) checkUnused(now time.Time, c *control.KeyClaim, elsewhere OwnedElsewhere) control.KeyVerdict {
	created, ok := CreatedAt(c.Key)
	switch {
	case !ok:
		return control.KeyTooOld
	case created.After(now.Add(t.MaxClockSkew)):
		return control.KeyEarly
	case created.Before(t.Started.Add(t.MaxClockSkew)), created.Before(now.Add(-t.Retention)):
		return control.KeyTooOld
	case elsewhere(created.Add(-t.MaxClockSkew)):
		return control.KeyTooOld
	case len(t.records) >= t.MaxKeys:
		return control.KeyFull
	}
	return control.KeyFresh
}

// claimExisting decides about a claim for a key that has a record.
func (t *Table) claimExisting(r *record, source runworks.Incarnation, c *control.KeyClaim) control.KeyReply {
	switch {
	case r.digest != c.Digest:
		return control.KeyReply{Verdict: control.KeyReused}
	case r.spent:
		return control.KeyReply{Verdict: control.KeySpent}
	case r.bound:
		return control.KeyReply{Verdict: control.KeyBound, Run: r.run}
	case r.claimant == "":
		r.claimant, r.source = c.ID, source
		return control.KeyReply{Verdict: control.KeyFresh}
	case r.claimant == c.ID:
		return control.KeyReply{Verdict: control.KeyFresh}
	}
	return control.KeyReply{Verdict: control.KeyWaiting}
}

// Bind binds a key to the location at which its request is about to run. If it returns false,
// the request must not run. The claimant may bind again, but only after proof that the request
// did not run at the former location.
func (t *Table) Bind(b *control.KeyBind) bool {
	r := t.records[keyID{customer: b.Customer, key: b.Key}]
	if t.closed || r == nil || r.spent || r.claimant != b.Run.ID.Base() {
		return false
	}
	r.bound = true
	r.run = b.Run
	return true
}

// Release ends the use of a key by a request that provably did not run, and reports whether it
// took effect. If the message names a run, or withdraws a claim, the key can be claimed again.
// Otherwise, the message is from the claimant and the key is spent: only then may a caller be
// told that its request did not run, as an older call under the key may still arrive.
func (t *Table) Release(now time.Time, e *control.KeyRelease) bool {
	r := t.records[keyID{customer: e.Customer, key: e.Key}]
	switch {
	case t.closed:
		return false
	case e.Withdraw:
		return t.withdraw(now, r, e.ID)
	case r == nil || r.spent:
		return false
	case e.Run != "":
		return r.unbind(e.Run)
	case r.claimant != e.ID:
		return false
	}
	r.spent = true
	return true
}

// unbind removes the binding to a run together with the claim.
func (r *record) unbind(run runworks.RequestID) bool {
	if !r.bound || r.run.ID != run {
		return false
	}
	r.claimant, r.source = "", ""
	r.bound = false
	r.run = control.RunLocation{}
	return true
}

// ReleaseSource frees the keys that an entry had claimed but not bound when its connection was
// lost. A late Bind for such a claim is refused.
func (t *Table) ReleaseSource(source runworks.Incarnation) {
	for _, r := range t.records {
		if r.source == source && !r.bound {
			r.claimant, r.source = "", ""
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

func (t *Table) insert(now time.Time, id keyID, r *record) {
	if t.records == nil {
		t.records = make(map[keyID]*record)
	}
	t.records[id] = r
	// A key may be claimed first until Retention after its creation, which may be MaxClockSkew in
	// the future: after 2 Retention + MaxClockSkew no claim can be taken for the first one.
	t.order = append(t.order, expiry{id: id, at: now.Add(2*t.Retention + t.MaxClockSkew)})
}

// expire deletes the records whose retention has ended.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && now.After(t.order[0].at) {
		delete(t.records, t.order[0].id)
		t.order = t.order[1:]
	}
	t.expireWithdrawn(now)
}
