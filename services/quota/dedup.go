package quota

import "github.com/runworks/runworks"

// setOff takes out of what the record tells what the lives that are heard tell themselves.
// An entry that starts beside young ones hears both, and would count these draws twice. The zero
// value takes nothing out; it takes no lock.
type setOff struct {
	// recorded is what each life had drawn since its start as the record was written, and done
	// what of it was taken out.
	recorded, done map[runworks.Incarnation]map[string]float64
}

// take notes what a record tells of each life.
func (s *setOff) take(drawn map[runworks.Incarnation]map[string]float64) {
	s.recorded = drawn
	s.done = make(map[runworks.Incarnation]map[string]float64, len(drawn))
	for id := range drawn {
		s.done[id] = make(map[string]float64)
	}
}

// told takes out of the record's life what another life tells of itself by now.
func (s *setOff) told(id runworks.Incarnation, l, record *life) {
	if record == nil {
		return
	}
	for customer, recorded := range s.recorded[id] {
		a, from := l.accounts[customer], record.accounts[customer]
		if a == nil || from == nil {
			continue
		}
		done := s.done[id][customer]
		if more := min(recorded, a.drawn) - done; more > 0 {
			from.recent.remove(more)
			s.done[id][customer] = done + more
		}
	}
}
