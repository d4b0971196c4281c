package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/runworks/runworks"
)

// StoreReaders is how many entries of all read the store for changes: one, and one for the time
// in which nobody knows yet that the first is gone.
const StoreReaders = 2

// Change is what an entry read of a subject on the store, for those that do not read it.
type Change struct {
	Subject Subject
	// From is the position before the change, and Next the one behind it, of the same era.
	From, Next runworks.Position
	Records    []runworks.Record
}

// SendChange has a change told to all others at once.
func (x *Exchange) SendChange(c Change) {
	x.mu.Lock()
	x.changes = append(x.changes, c)
	x.mu.Unlock()
	x.wake.Signal()
}

// takeChanges gives the changes that were not told yet.
func (x *Exchange) takeChanges() []Change {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.changes
	x.changes = nil
	return out
}

// ReadsStore says whether this entry is one of those that read the store for all: the first by
// a hash of their names, among those that were heard just now and are in touch with the
// store. Where entries hear different ones, more of them read. If all lost the store, some
// still try.
func (x *Exchange) ReadsStore(lost bool) bool {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	ahead, reading := 0, 0
	own := xxhash.Sum64String(x.Self.Name)
	fresh := x.freshLocked()
	for _, one := range x.heard {
		if now.Sub(one.last) > fresh || one.noEras || one.storeLost && !lost {
			continue
		}
		if !one.storeLost {
			reading++
		}
		if xxhash.Sum64String(one.name) < own {
			ahead++
		}
	}
	if lost && reading > 0 {
		return false
	}
	return ahead < StoreReaders
}

// freshLocked is within which time an entry that reads the store must have been heard. A
// live one has sent a heartbeat by then.
func (x *Exchange) freshLocked() time.Duration {
	return quietEvery + 2*x.farEveryLocked()
}

// tellOffsets fills in what versions that know of no eras read of the positions.
func (b *Heartbeat) tellOffsets() {
	b.Offsets = make(map[Subject]int64, len(b.Positions))
	for subject, p := range b.Positions {
		b.Offsets[subject] = p.Offset
	}
}

// noEras says whether the entry tells offsets alone.
func (b *Heartbeat) noEras() bool { return len(b.Positions) == 0 && len(b.Offsets) > 0 }
