package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/control"
)

// Table keeps the records of keys; set the exported fields before use. It takes
// no lock: its owner does. Times are wall-clock times, as keys carry them.
type Table struct {
	// Started is when this incarnation began.
	Started time.Time
	// MaxClockSkew bounds how far the clocks of callers, entries and agents are apart.
	MaxClockSkew time.Duration
	// Retention is how long after it was minted a key may be used first, and how
	// long its record stays.
	Retention time.Duration
	// MaxKeys bounds the records.
	MaxKeys int

	records map[name]*record
	// order lists the records by the time they may be forgotten at the earliest.
	order []expiry
	// closed is set once the records were handed over.
	closed bool
	// taken holds records that other homes handed over, in takenOrder.
	taken      map[name]*record
	takenOrder []expiry
}

type name struct {
	customer string
	key      string
}

type expiry struct {
	name name
	at   time.Time
}

// record is what is known of one key.
type record struct {
	digest string
	owner  runworks.RequestID
	source runworks.Incarnation
	bound  bool
	run    control.RunLocation
	// spent is set once a caller was told not-run: nothing may run any more.
	spent bool
}

// CreatedAt reads the time at which a key was made; ok is set for a UUIDv7 only.
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

// OwnedElsewhere says whether the key had another home at any time since.
type OwnedElsewhere func(since time.Time) bool

// Claim decides about a request that wants to run under a key. source is the
// entry that asks.
func (h *Table) Claim(now time.Time, source runworks.Incarnation, c *control.KeyClaim, elsewhere OwnedElsewhere) control.KeyReply {
	h.forget(now)
	n := name{customer: c.Customer, key: c.Key}
	if r := h.records[n]; r != nil {
		return h.again(r, source, c)
	}
	if verdict := h.mayBeFirst(now, c, elsewhere); verdict != control.KeyFresh {
		return control.KeyReply{Verdict: verdict}
	}
	h.insert(now, n, &record{digest: c.Digest, owner: c.ID, source: source})
	return control.KeyReply{Verdict: control.KeyFresh}
}

// mayBeFirst says whether a key without a record is proved to be unused.
func (h *Table) mayBeFirst(now time.Time, c *control.KeyClaim, elsewhere OwnedElsewhere) control.KeyVerdict {
	minted, ok := CreatedAt(c.Key)
	switch {
	case !ok:
		return control.KeyTooOld
	case minted.After(now.Add(h.MaxClockSkew)):
		return control.KeyEarly
	case minted.Before(h.Started.Add(h.MaxClockSkew)), minted.Before(now.Add(-h.Retention)):
		return control.KeyTooOld
	case elsewhere(minted.Add(-h.MaxClockSkew)):
		return control.KeyTooOld
	case len(h.records) >= h.MaxKeys:
		return control.KeyFull
	}
	return control.KeyFresh
}

// again answers a claim for a key that has a record.
func (h *Table) again(r *record, source runworks.Incarnation, c *control.KeyClaim) control.KeyReply {
	switch {
	case r.digest != c.Digest:
		return control.KeyReply{Verdict: control.KeyReused}
	case r.spent:
		return control.KeyReply{Verdict: control.KeySpent}
	case r.bound:
		return control.KeyReply{Verdict: control.KeyBound, Run: r.run}
	case r.owner == "":
		r.owner, r.source = c.ID, source
		return control.KeyReply{Verdict: control.KeyFresh}
	case r.owner == c.ID:
		return control.KeyReply{Verdict: control.KeyFresh}
	}
	return control.KeyReply{Verdict: control.KeyWaiting}
}

// Bind binds a key to the place its request is about to run at; false means
// that the request must not run. Its owner binds again only after proof that it
// did not run at the former place.
func (h *Table) Bind(b *control.KeyBind) bool {
	r := h.records[name{customer: b.Customer, key: b.Key}]
	if h.closed || r == nil || r.spent || r.owner != b.Run.ID.Base() {
		return false
	}
	r.bound = true
	r.run = b.Run
	return true
}

// End ends a key whose request provably did not run, and says whether it took
// effect. An owner's end spends the key for good: only then may a caller be told
// not-run, as an older call under the key may still be on its way. An end that
// names a run frees the key for the next comer.
func (h *Table) End(e *control.KeyRelease) bool {
	r := h.records[name{customer: e.Customer, key: e.Key}]
	switch {
	case h.closed || r == nil || r.spent:
		return false
	case e.Run != "":
		return r.freeRun(e.Run)
	case r.owner != e.ID:
		return false
	}
	r.spent = true
	return true
}

// freeRun takes back the binding to a run, and with it the owner's right.
func (r *record) freeRun(run runworks.RequestID) bool {
	if !r.bound || r.run.ID != run {
		return false
	}
	r.owner, r.source = "", ""
	r.bound = false
	r.run = control.RunLocation{}
	return true
}

// ReleaseSource frees the keys that an entry claimed and had not bound when its
// connection went: a late bind of its is refused.
func (h *Table) ReleaseSource(source runworks.Incarnation) {
	for _, r := range h.records {
		if r.source == source && !r.bound {
			r.owner, r.source = "", ""
		}
	}
}

// Len gives the number of records.
func (h *Table) Len() int { return len(h.records) }

func (h *Table) insert(now time.Time, n name, r *record) {
	if h.records == nil {
		h.records = make(map[name]*record)
	}
	h.records[n] = r
	// A key may be claimed first until Keep after it was minted, and minted may
	// lie Skew ahead: by 2 Keep + Skew no claim of it can be taken for a first.
	h.order = append(h.order, expiry{name: n, at: now.Add(2*h.Retention + h.MaxClockSkew)})
}

// forget drops the records that are past their time.
func (h *Table) forget(now time.Time) {
	for len(h.order) > 0 && now.After(h.order[0].at) {
		delete(h.records, h.order[0].name)
		h.order = h.order[1:]
	}
}
