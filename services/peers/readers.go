package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// StoreReaders is the number of entries that read the store on behalf of all: one, and a second
// for the time until the failure of the first is detected.
const StoreReaders = 2

// ReadsStore reports whether this entry is one of those that read the store on behalf of all: the
// first StoreReaders by a hash of their names, of the entries that were seen recently and can
// read the store. Where entries see different sets of others, more of them read. If all lost the
// store, as many still try; storeLost is set if this entry lost it.
func (x *Exchange) ReadsStore(storeLost bool) bool {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	ahead, reading := 0, 0
	own := xxhash.Sum64String(x.Self.Name)
	timeout := x.readerTimeoutLocked()
	for _, one := range x.peers {
		if now.Sub(one.lastSeen) > timeout || one.offsetsOnly || one.storeLost && !storeLost {
			continue
		}
		if !one.storeLost {
			reading++
		}
		if xxhash.Sum64String(one.name) < own {
			ahead++
		}
	}
	if storeLost && reading > 0 {
		return false
	}
	return ahead < StoreReaders
}

// readerTimeoutLocked returns the time within which a reader of the store must have been seen. A
// live entry sends a heartbeat within it.
func (x *Exchange) readerTimeoutLocked() time.Duration {
	return idleInterval + 2*x.remoteIntervalLocked()
}

// fillOffsets sets Offsets for versions that do not know eras.
func (b *Heartbeat) fillOffsets() {
	b.Offsets = make(map[Subject]int64, len(b.Positions))
	for subject, p := range b.Positions {
		b.Offsets[subject] = p.Offset
	}
}

// offsetsOnly reports whether the sender's version does not know eras.
func (b *Heartbeat) offsetsOnly() bool { return len(b.Positions) == 0 && len(b.Offsets) > 0 }
