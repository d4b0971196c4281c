package tests

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

const (
	// soakLimitSeeds is the first seed with which servers report rate limits, up to
	// soakReportSeeds.
	soakLimitSeeds = 300000
	// soakLimitDelay is how long all fronts may take to enforce a limit: the time to the first
	// response that reports it, and limitGrace.
	soakLimitDelay = 500*time.Millisecond + limitGrace
	// soakLimitDuration is how long a server reports a limit: longer than the span in which its
	// calls are counted.
	soakLimitDuration = limitSpan + 2*time.Second
	// soakRecoveryTime is how long after its recovery a front need not keep to limits: the users'
	// requirement excludes this time.
	soakRecoveryTime = 3 * time.Second
)

// soakServerLimit is a limit that an incarnation of a server reported for a time.
type soakServerLimit struct {
	inc       *soakIncarnation
	perSecond float64
	from, to  time.Time
}

// soakSpan is a period of time; its end is zero until it is over.
type soakSpan struct{ from, to time.Time }

// reportsLimits reports whether servers report rate limits.
func (s *soak) reportsLimits() bool { return s.seed >= soakLimitSeeds && s.seed < soakReportSeeds }

// faultsWithReports returns the faults during which fronts have to comply with server reports. A
// server that is cut off or paused receives at once what was sent over some time, so that there
// are no such faults. What servers receive while a front is killed or paused, and shortly
// afterwards, is not checked.
func (s *soak) faultsWithReports() []func() soakFault {
	excused := func(kind func() soakFault) func() soakFault {
		return func() soakFault { return s.exclude(kind()) }
	}
	return []func() soakFault{s.cutStore, s.breakStore, s.pauseStore, excused(s.killFront), excused(s.pauseFront), excused(s.killAllFronts)}
}

// exclude excludes what servers receive during a fault from the checks.
func (s *soak) exclude(f soakFault) soakFault {
	begin, end := f.begin, f.end
	span := &soakSpan{}
	f.begin = func() {
		span.from = time.Now()
		s.excluded = append(s.excluded, span)
		begin()
	}
	f.end = func() {
		end()
		span.to = time.Now().Add(soakRecoveryTime)
	}
	return f
}

// counts reports whether what a server receives at a time is checked.
func (s *soak) counts(at time.Time) bool {
	for _, span := range s.excluded {
		if at.After(span.from) && (span.to.IsZero() || at.Before(span.to)) {
			return false
		}
	}
	return true
}

// limitFaults draws the limits that servers report.
func (s *soak) limitFaults() []soakStep {
	var steps []soakStep
	for range 2 + s.rand.IntN(3) {
		server := s.anyServer()
		perSecond := []float64{0, 1, 2.5, 20}[s.rand.IntN(4)]
		at := time.Duration(s.rand.Int64N(int64(s.faultTime)))
		name := fmt.Sprintf("a server of %s reports a limit of %g", server.service, perSecond)
		limit := &soakServerLimit{perSecond: perSecond}
		steps = append(steps,
			soakStep{at: at, name: name, do: func() { s.startLimit(server, limit) }},
			soakStep{at: at + soakLimitDuration, name: name + " no more", do: func() { s.endLimit(limit) }})
	}
	return steps
}

// startLimit has a server's incarnation report a limit, unless it reports one already.
func (s *soak) startLimit(server *soakServer, limit *soakServerLimit) {
	inc := server.current()
	for _, one := range s.limits {
		if one.inc == inc && one.to.IsZero() {
			return
		}
	}
	limit.inc, limit.from = inc, time.Now()
	s.limits = append(s.limits, limit)
	trySetFaults(inc.process, standin.RoutedFaults{Limit: fmt.Sprint(limit.perSecond)})
}

func (s *soak) endLimit(limit *soakServerLimit) {
	if limit.inc == nil {
		return
	}
	limit.to = time.Now()
	if !limit.inc.ended() {
		trySetFaults(limit.inc.process, standin.RoutedFaults{})
	}
}

// arrivals returns the calls that arrived at a server's incarnation; ok is false if they are
// unknown.
func (s *soak) arrivals(inc *soakIncarnation) (list []standin.RoutedArrival, ok bool) {
	if inc.ended() {
		s.t.Logf("%s was killed: its arrivals are unknown", inc.id)
		return nil, false
	}
	if !getJSON("http://"+inc.address("standin")+"/arrivals", &list) {
		s.t.Errorf("%s: no arrivals", inc.id)
		return nil, false
	}
	return list, true
}

// checkServerLimits checks that servers received no more than the users' requirement allows while
// they reported limits.
func (s *soak) checkServerLimits() {
	for _, limit := range s.limits {
		all, ok := s.arrivals(limit.inc)
		if !ok {
			continue
		}
		var arrivals []time.Time
		for _, one := range all {
			if s.counts(one.At) {
				arrivals = append(arrivals, one.At)
			}
		}
		most, n := maxInSpan(arrivals, limit.from.Add(soakLimitDelay), limit.to)
		allowed := limitFactor*limitSpan.Seconds()*limit.perSecond + limitExtra
		s.t.Logf("%s: %d calls at a limit of %g a second, at most %d in %s, %.1f allowed", limit.inc.id, n, limit.perSecond, most, limitSpan, allowed)
		if float64(most) > allowed {
			s.t.Errorf("%s got %d calls in %s at a limit of %g a second, %.1f are allowed", limit.inc.id, most, limitSpan, limit.perSecond, allowed)
		}
	}
}

// maxInSpan returns the most arrivals in one limitSpan between from and to, and how many there
// were in all.
func maxInSpan(arrivals []time.Time, from, to time.Time) (most, all int) {
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

// TestMaxInSpan checks that only arrivals within the given time count.
func TestMaxInSpan(t *testing.T) {
	is := is.New(t)
	var arrivals []time.Time
	from := time.Now()
	for _, second := range []int{-1, 0, 1, 2, 3, 4, 5, 20, 21, 60} {
		arrivals = append(arrivals, from.Add(time.Duration(second)*time.Second))
	}
	most, all := maxInSpan(arrivals, from, from.Add(30*time.Second))
	is.Equal(most, 5) // from 0 to 4 s
	is.Equal(all, 8)
}
