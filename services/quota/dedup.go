package quota

import "github.com/runworks/runworks"

// recordDedup subtracts from the record what live incarnations report themselves. An entry that
// starts beside others that started recently gets both, and would count that consumption twice.
// The zero value subtracts nothing; it is guarded by Quota's lock.
type recordDedup struct {
	// recorded is what each incarnation had consumed since its start when the record was written,
	// and subtracted what of it was already subtracted.
	recorded, subtracted map[runworks.Incarnation]map[string]float64
}

// setRecorded stores the record's figures of each incarnation.
func (s *recordDedup) setRecorded(consumed map[runworks.Incarnation]map[string]float64) {
	s.recorded = consumed
	s.subtracted = make(map[runworks.Incarnation]map[string]float64, len(consumed))
	for id := range consumed {
		s.subtracted[id] = make(map[string]float64)
	}
}

// subtract removes from the record's incarnation what another incarnation has reported itself by
// now.
func (s *recordDedup) subtract(id runworks.Incarnation, inc, record *incarnation) {
	if record == nil {
		return
	}
	for customer, recorded := range s.recorded[id] {
		a, from := inc.accounts[customer], record.accounts[customer]
		if a == nil || from == nil {
			continue
		}
		done := s.subtracted[id][customer]
		if remaining := min(recorded, a.consumed) - done; remaining > 0 {
			from.recent.subtract(remaining)
			s.subtracted[id][customer] = done + remaining
		}
	}
}
