package dispatch

// startShareWeight is the weight of the newest start in a tier's share of the starts. It
// averages over some twenty starts, which take half a second under load.
const startShareWeight = 0.05

// rankStats holds statistics of the calls of one route rank.
type rankStats struct {
	// duration is the mean time in seconds for which such a call holds its slot; 0 is unknown.
	duration average
}

// statsFor returns the statistics of a route rank.
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

// lowestRankIsLong reports whether calls of the lowest rank hold their slots for longer than
// the mean call. Only then does reserving slots from them shorten the wait of others.
func (s *service) lowestRankIsLong() bool {
	lowest := s.statsFor(s.lowestRank).duration
	return lowest == 0 || lowest >= s.duration
}

// recordStart records from which of the waiting tiers a call started. A tier without records
// is taken to get every start.
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

// startShare returns the fraction of the starts that a tier gets while it has calls waiting.
func (s *service) startShare(tier int) float64 {
	if share, ok := s.startShares[tier]; ok {
		return share
	}
	return 1
}
