package idempotency

import (
	"time"

	"github.com/runworks/runworks/services/control"
)

// Export takes no more binds and ends, and gives the records, for a planned stop.
// A key without a bound run is given as spent: nothing can run under it any more.
func (h *Table) Export() []control.KeyRecord {
	h.closed = true
	out := make([]control.KeyRecord, 0, len(h.records))
	for n, r := range h.records {
		out = append(out, control.KeyRecord{
			Customer: n.customer, Key: n.key, Digest: r.digest, Run: r.run, Spent: !r.bound,
		})
	}
	return out
}

// Import keeps the records that another home handed over at its planned stop.
func (h *Table) Import(now time.Time, records []control.KeyRecord) {
	if h.taken == nil {
		h.taken = make(map[name]*record)
	}
	h.forgetTaken(now)
	for i := range records {
		one := &records[i]
		n := name{customer: one.Customer, key: one.Key}
		h.taken[n] = &record{digest: one.Digest, bound: !one.Spent, run: one.Run, spent: one.Spent}
		h.takenOrder = append(h.takenOrder, expiry{name: n, at: now.Add(2*h.Retention + h.MaxClockSkew)})
	}
}

// LookupImported tells what another home knew of a key. It never lets a request run.
func (h *Table) LookupImported(now time.Time, c *control.KeyClaim) control.KeyReply {
	h.forgetTaken(now)
	r := h.taken[name{customer: c.Customer, key: c.Key}]
	switch {
	case r == nil:
		return control.KeyReply{Verdict: control.KeyTooOld}
	case r.digest != c.Digest:
		return control.KeyReply{Verdict: control.KeyReused}
	case r.spent:
		return control.KeyReply{Verdict: control.KeySpent}
	}
	return control.KeyReply{Verdict: control.KeyBound, Run: r.run}
}

// forgetTaken drops the records of other homes that are past their time.
func (h *Table) forgetTaken(now time.Time) {
	for len(h.takenOrder) > 0 && now.After(h.takenOrder[0].at) {
		delete(h.taken, h.takenOrder[0].name)
		h.takenOrder = h.takenOrder[1:]
	}
}
