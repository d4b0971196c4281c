package runworks

// Position is the point up to which a topic of the platform's store was read. The store may
// be restored from an older copy and assign offsets a second time, which starts a new era.
// Offsets are comparable only within one era.
type Position struct {
	// Era rises with each restore of the store.
	Era int64 `json:"era,omitempty"`
	// Offset is the offset of the next record.
	Offset int64 `json:"offset"`
}

// After reports whether p is of a later era than q, or has a higher offset in the same era.
func (p Position) After(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Offset > q.Offset
}
