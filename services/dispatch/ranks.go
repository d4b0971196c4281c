package dispatch

// shareWeight is the weight of the newest start in a tier's share of the starts: some
// twenty starts tell, which is half a second under load.
const shareWeight = 0.05

// rankRecord is what is known of the calls of one route's rank.
type rankRecord struct {
	// duration is how long such a call has its slot on average, in seconds; 0 is not
	// known.
	duration average
}

// record gives what is known of a route's rank.
func (s *service) record(routeRank int) *rankRecord {
	if s.rankStats == nil {
		s.rankStats = make(map[int]*rankRecord)
	}
	one := s.rankStats[routeRank]
	if one == nil {
		one = &rankRecord{}
		s.rankStats[routeRank] = one
	}
	return one
}

// lastingLowest says whether calls of the lowest rank have their slots for longer than
// the average call: only then does a slot that they leave free spare others a wait.
func (s *service) lastingLowest() bool {
	lowest := s.record(s.lowestRank).duration
	return lowest == 0 || lowest >= s.duration
}

// noteStart records which of the tiers that wait a call started from. A tier that
// nothing is known of is taken to get every start.
func (s *service) noteStart(tier int) {
	if s.startShares == nil {
		s.startShares = make(map[int]float64)
	}
	s.queue.EachTier(func(waiting, _ int) {
		if waiting != tier {
			s.startShares[waiting] = s.share(waiting) * (1 - shareWeight)
		}
	})
	share := s.share(tier)
	s.startShares[tier] = share + shareWeight*(1-share)
}

// share is the part of the starts that a tier gets while its calls wait.
func (s *service) share(tier int) float64 {
	if share, ok := s.startShares[tier]; ok {
		return share
	}
	return 1
}
