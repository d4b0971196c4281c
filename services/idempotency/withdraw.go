package idempotency

import (
	"time"

	"github.com/runworks/runworks"
)

// withdrawal is a withdrawn claim and the time at which it is forgotten.
type withdrawal struct {
	id runworks.RequestID
	at time.Time
}

// withdraw frees a key from the claim of a request that is not bound. The claim may also arrive
// after its withdrawal, and is not granted then; r is nil for a key without a record.
func (t *Table) withdraw(now time.Time, r *record, id runworks.RequestID) bool {
	claimed := r != nil && r.claimant == id
	if claimed && (r.bound || r.spent) {
		return false
	}
	if claimed {
		r.claimant, r.source = "", ""
	}
	t.rememberWithdrawn(now, id)
	return true
}

// rememberWithdrawn refuses later claims of a request. A withdrawal that is forgotten too early
// makes other claims wait for this request, but lets nothing run twice.
func (t *Table) rememberWithdrawn(now time.Time, id runworks.RequestID) {
	t.expireWithdrawn(now)
	if _, ok := t.withdrawn[id]; ok {
		return
	}
	if t.withdrawn == nil {
		t.withdrawn = make(map[runworks.RequestID]struct{})
	}
	if len(t.withdrawnOrder) >= t.MaxKeys {
		t.forgetWithdrawn()
	}
	t.withdrawn[id] = struct{}{}
	t.withdrawnOrder = append(t.withdrawnOrder, withdrawal{id: id, at: now.Add(t.Retention)})
}

// expireWithdrawn forgets the withdrawals whose retention has ended.
func (t *Table) expireWithdrawn(now time.Time) {
	for len(t.withdrawnOrder) > 0 && now.After(t.withdrawnOrder[0].at) {
		t.forgetWithdrawn()
	}
}

// forgetWithdrawn forgets the oldest withdrawal, if there is one.
func (t *Table) forgetWithdrawn() {
	if len(t.withdrawnOrder) == 0 {
		return
	}
	delete(t.withdrawn, t.withdrawnOrder[0].id)
	t.withdrawnOrder = t.withdrawnOrder[1:]
}
