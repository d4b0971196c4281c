package tests

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

const (
	// soakNamesLimits is from which seed on servers name limits.
	soakNamesLimits = 300000
	// soakTold is how long all fronts may take to know a limit: some time to the first
	// answer that names it, and what the users' rule allows from then on.
	soakTold = 500*time.Millisecond + toldBefore
	// soakLimitLasts is how long a server names a limit: longer than the span in which its
	// calls are counted.
	soakLimitLasts = limitSpan + 2*time.Second
)

// soakServerLimit is a limit that a life of a server named for a time.
type soakServerLimit struct {
	life      *soakLife
	perSecond float64
	from, to  time.Time
}

// namesLimits says whether servers name limits. These schedules hold planned work alone:
// fronts that are paused or cut off are told late.
func (s *soak) namesLimits() bool { return s.seed >= soakNamesLimits }

// limitFaults draws the limits that servers name.
func (s *soak) limitFaults() []soakStep {
	var steps []soakStep
	for range 2 + s.rand.IntN(3) {
		server := s.anyServer()
		perSecond := []float64{0, 1, 2.5, 20}[s.rand.IntN(4)]
		at := time.Duration(s.rand.Int64N(int64(*soakTime)))
		name := fmt.Sprintf("a server of %s names a limit of %g", server.service, perSecond)
		limit := &soakServerLimit{perSecond: perSecond}
		steps = append(steps,
			soakStep{at: at, name: name, do: func() { s.nameLimit(server, limit) }},
			soakStep{at: at + soakLimitLasts, name: name + " no more", do: func() { s.endLimit(limit) }})
	}
	return steps
}

// nameLimit has a server's life name a limit, unless it names one.
func (s *soak) nameLimit(server *soakServer, limit *soakServerLimit) {
	life := server.life()
	for _, one := range s.limits {
		if one.life == life && one.to.IsZero() {
			return
		}
	}
	limit.life, limit.from = life, time.Now()
	s.limits = append(s.limits, limit)
	trySetFaults(life.process, standin.RoutedFaults{Limit: fmt.Sprint(limit.perSecond)})
}

func (s *soak) endLimit(limit *soakServerLimit) {
	if limit.life == nil {
		return
	}
	limit.to = time.Now()
	if !limit.life.ended() {
		trySetFaults(limit.life.process, standin.RoutedFaults{})
	}
}

// checkServerLimits checks that servers got no more than the users' rule allows while they
// named limits.
func (s *soak) checkServerLimits() {
	for _, limit := range s.limits {
		var arrivals []time.Time
		if !getJSON("http://"+limit.life.address("standin")+"/arrivals", &arrivals) {
			s.t.Errorf("%s does not tell its arrivals", limit.life.id)
			continue
		}
		most, all := mostIn(arrivals, limit.from.Add(soakTold), limit.to)
		allowed := limitSlack*limitSpan.Seconds()*limit.perSecond + limitExtra
		s.t.Logf("%s: %d calls at a limit of %g a second, at most %d in %s, %.1f allowed", limit.life.id, all, limit.perSecond, most, limitSpan, allowed)
		if float64(most) > allowed {
			s.t.Errorf("%s got %d calls in %s at a limit of %g a second, %.1f are allowed", limit.life.id, most, limitSpan, limit.perSecond, allowed)
		}
	}
}

// mostIn gives the most calls of a time in the span of a limit, and how many came in all.
func mostIn(arrivals []time.Time, from, to time.Time) (most, all int) {
	var counted []time.Time
	first := 0
	for _, at := range arrivals {
		if at.Before(from) || at.After(to) {
			continue
		}
		counted = append(counted, at)
		for at.Sub(counted[first]) > limitSpan {
			first++
		}
		most = max(most, len(counted)-first)
	}
	return most, len(counted)
}

// TestMostIn counts the calls of the span in which most came, of the time that counts.
func TestMostIn(t *testing.T) {
	is := is.New(t)
	var arrivals []time.Time
	from := time.Now()
	for _, second := range []int{-1, 0, 1, 2, 3, 4, 5, 20, 21, 60} {
		arrivals = append(arrivals, from.Add(time.Duration(second)*time.Second))
	}
	most, all := mostIn(arrivals, from, from.Add(30*time.Second))
	is.Equal(most, 5) // from 0 to 4 s
	is.Equal(all, 8)
}
