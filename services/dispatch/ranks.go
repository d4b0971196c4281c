package dispatch

// rankRecord is what is known of the calls of one route's rank.
type rankRecord struct {
	// duration is how long such a call has its slot on average, in seconds; 0 is not
	// known.
	duration average
}

// record gives what is known of a route's rank.
func (s *service) record(routeRank int) *rankRecord {
	if s.records == nil {
		s.records = make(map[int]*rankRecord)
	}
	one := s.records[routeRank]
	if one == nil {
		one = &rankRecord{}
		s.records[routeRank] = one
	}
	return one
}

// lastingLowest says whether calls of the lowest rank have their slots for longer than
// the average call: only then does a slot that they leave free spare others a wait.
func (s *service) lastingLowest() bool {
	lowest := s.record(s.lowest).duration
	return lowest == 0 || lowest >= s.duration
}
