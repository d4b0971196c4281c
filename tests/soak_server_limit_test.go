package tests

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

const (
	// soakNamesLimits is from which seed on servers name limits, up to soakSaysWords.
	soakNamesLimits = 300000
	// soakTold is how long all fronts may take to know a limit: some time to the first
	// answer that names it, and what the users' rule allows from then on.
	soakTold = 500*time.Millisecond + toldBefore
	// soakLimitLasts is how long a server names a limit: longer than the span in which its
	// calls are counted.
	soakLimitLasts = limitSpan + 2*time.Second
	// soakBackAfter is how long after its return a front is not held to limits: the users'
	// rule excuses it as long.
	soakBackAfter = 3 * time.Second
)

// soakServerLimit is a limit that a life of a server named for a time.
type soakServerLimit struct {
	life      *soakLife
	perSecond float64
	from, to  time.Time
}

// soakSpan is a time; its end is zero as long as it lasts.
type soakSpan struct{ from, to time.Time }

// namesLimits says whether servers name limits.
func (s *soak) namesLimits() bool { return s.seed >= soakNamesLimits && s.seed < soakSaysWords }

// besideLimits are the faults beside which what servers say of themselves is kept. A server that is cut off
// or stands still gets what was sent at different times at once, so there are none of these.
// What servers get while a front is killed or paused does not count, nor soon after it.
func (s *soak) besideLimits() []func() soakFault {
	excused := func(kind func() soakFault) func() soakFault {
		return func() soakFault { return s.excuse(kind()) }
	}
	return []func() soakFault{s.cutStore, s.breakStore, s.pauseStore, excused(s.killFront), excused(s.pauseFront), excused(s.killAllFronts)}
}

// excuse has what servers get during a fault not count.
func (s *soak) excuse(f soakFault) soakFault {
	begin, end := f.begin, f.end
	span := &soakSpan{}
	f.begin = func() {
		span.from = time.Now()
		s.excused = append(s.excused, span)
		begin()
	}
	f.end = func() {
		end()
		span.to = time.Now().Add(soakBackAfter)
	}
	return f
}

// counts says whether what a server gets at a time counts.
func (s *soak) counts(at time.Time) bool {
	for _, span := range s.excused {
		if at.After(span.from) && (span.to.IsZero() || at.Before(span.to)) {
			return false
		}
	}
	return true
}

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

// arrivals gives the calls that came to a server's life; ok is false if that is not known.
func (s *soak) arrivals(life *soakLife) (list []standin.RoutedArrival, ok bool) {
	if life.ended() {
		s.t.Logf("%s was killed, and what it got is not known", life.id)
		return nil, false
	}
	if !getJSON("http://"+life.address("standin")+"/arrivals", &list) {
		s.t.Errorf("%s does not tell its arrivals", life.id)
		return nil, false
	}
	return list, true
}

// checkServerLimits checks that servers got no more than the users' rule allows while they
// named limits.
func (s *soak) checkServerLimits() {
	for _, limit := range s.limits {
		all, ok := s.arrivals(limit.life)
		if !ok {
			continue
		}
		var arrivals []time.Time
		for _, one := range all {
			if s.counts(one.At) {
				arrivals = append(arrivals, one.At)
			}
		}
		most, n := mostIn(arrivals, limit.from.Add(soakTold), limit.to)
		allowed := limitSlack*limitSpan.Seconds()*limit.perSecond + limitExtra
		s.t.Logf("%s: %d calls at a limit of %g a second, at most %d in %s, %.1f allowed", limit.life.id, n, limit.perSecond, most, limitSpan, allowed)
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
