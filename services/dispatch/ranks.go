package dispatch

// startShareWeight is the weight of the newest start in a tier's share of the starts: some
// twenty starts tell, which is half a second under load.
const startShareWeight = 0.05

// rankStats is what is known of the calls of one route's rank.
type rankStats struct {
	// duration is how long such a call has its slot on average, in seconds; 0 is not
	// known.
	duration average
}

// statsFor gives what is known of a route's rank.
func (s *service) statsFor(routeRank int) *rankStats {
	if s.rankStats == nil {
		s.rankStats = make(map[int]*rankStats)
	}
	one := s.rankStats[routeRank]
	if one == nil {
		one = &rankStats{}
		s.rankStats[routeRank] = one
	}
	return one
}

// lowestRankIsLong says whether calls of the lowest rank have their slots for longer than
// the average call: only then does a slot that they leave free spare others a wait.
func (s *service) lowestRankIsLong() bool {
	lowest := s.statsFor(s.lowestRank).duration
	return lowest == 0 || lowest >= s.duration
}

// recordStart records which of the tiers that wait a call started from. A tier that
// nothing is known of is taken to get every start.
func (s *service) recordStart(tier int) {
	if s.startShares == nil {
		s.startShares = make(map[int]float64)
	}
	s.queue.EachTier(func(waiting, _ int) {
		if waiting != tier {
			s.startShares[waiting] = s.startShare(waiting) * (1 - startShareWeight)
		}
	})
	share := s.startShare(tier)
	s.startShares[tier] = share + startShareWeight*(1-share)
}

// startShare is the part of the starts that a tier gets while its calls wait.
func (s *service) startShare(tier int) float64 {
	if share, ok := s.startShares[tier]; ok {
		return share
	}
	return 1
}
