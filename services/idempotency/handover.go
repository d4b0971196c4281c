package idempotency

import (
	"time"

	"github.com/runworks/runworks/services/control"
)

// Export closes the table for a planned stop and returns its records; from then on Bind and
// Release fail. A key without a bound run is exported as spent, since no request can run under
// it any more.
func (t *Table) Export() []control.KeyRecord {
	t.closed = true
	out := make([]control.KeyRecord, 0, len(t.records))
	for n, r := range t.records {
		out = append(out, control.KeyRecord{
			Customer: n.customer, Key: n.key, Digest: r.digest, Run: r.run, Spent: !r.bound,
		})
	}
	return out
}

// Import stores the records that another key owner exported at its planned stop.
func (t *Table) Import(now time.Time, records []control.KeyRecord) {
	if t.imported == nil {
		t.imported = make(map[keyID]*record)
	}
	t.expireImported(now)
	for i := range records {
		one := &records[i]
		id := keyID{customer: one.Customer, key: one.Key}
		t.imported[id] = &record{digest: one.Digest, bound: !one.Spent, run: one.Run, spent: one.Spent}
		t.importedOrder = append(t.importedOrder, expiry{id: id, at: now.Add(2*t.Retention + t.MaxClockSkew)})
	}
}

// LookupImported returns what another key owner recorded for a key. It never allows a request
// to run.
func (t *Table) LookupImported(now time.Time, c *control.KeyClaim) control.KeyReply {
	t.expireImported(now)
	r := t.imported[keyID{customer: c.Customer, key: c.Key}]
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

// expireImported deletes imported records whose retention has ended.
func (t *Table) expireImported(now time.Time) {
	for len(t.importedOrder) > 0 && now.After(t.importedOrder[0].at) {
		delete(t.imported, t.importedOrder[0].id)
		t.importedOrder = t.importedOrder[1:]
	}
}
