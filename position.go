package runworks

// Position is how far a topic of the platform's store was read. The store may come back from
// an older copy and give offsets out again, which begins a new era: an offset has a meaning
// within its era alone.
type Position struct {
	// Era numbers the times between two returns of the store.
	Era int64 `json:"era,omitempty"`
	// Offset is that of the next record.
	Offset int64 `json:"offset"`
}

// After says whether p is of a later era than q, or further on in the same one.
func (p Position) After(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Offset > q.Offset
}
