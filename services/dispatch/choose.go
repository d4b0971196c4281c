package dispatch

import (
	"slices"
	"time"
)

// hallCost is what another hall adds to a server's score, as a part of its load:
// it decides between equals.
const hallCost = 0.05

// open gives the servers with a free slot; suspended ones only if no server of
// the service is healthy.
func (s *service) open(now time.Time) []*server {
	var open []*server
	healthy := slices.ContainsFunc(s.servers, func(one *server) bool { return one.healthy(now) })
	for _, one := range s.servers {
		if one.room(now) && (one.healthy(now) || !healthy) {
			open = append(open, one)
		}
	}
	return open
}

// choose gives the open server that suits a call best; nil if none may have it.
func (d *Dispatcher) choose(s *service, open []*server, ask *Ask) *server {
	var best *server
	var lowest float64
	typical := s.typicalPace()
	for _, one := range open {
		if slices.Contains(ask.Avoid, one.ID) {
			continue
		}
		if score := d.score(one, typical); best == nil || score < lowest {
			best, lowest = one, score
		}
	}
	return best
}

// score is lower for the better server: its share of taken slots, times its
// pace against the others.
func (d *Dispatcher) score(s *server, typical float64) float64 {
	score := float64(s.load()+1) / float64(max(s.Slots, 1))
	if s.pace > 0 && typical > 0 {
		score *= s.pace / typical
	}
	if s.Hall != d.Hall {
		score += hallCost
	}
	return score
}

// typicalPace is the mean pace of the servers whose pace is known.
func (s *service) typicalPace() float64 {
	sum, n := 0.0, 0
	for _, one := range s.servers {
		if one.pace > 0 {
			sum += one.pace
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
