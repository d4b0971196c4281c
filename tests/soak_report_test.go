package tests

import (
	"fmt"
	"slices"
	"time"

	"github.com/runworks/runworks/standin"
)

// soakReportSeeds is the first seed with which servers ask for back-off, and report draining in
// their responses alone.
const soakReportSeeds = 400000

func (s *soak) sendsReports() bool { return s.seed >= soakReportSeeds && s.seed < soakRestoreSeeds }

// reportFaults draws the back-off and draining that servers report.
func (s *soak) reportFaults() []soakStep {
	var steps []soakStep
	for range 3 + s.rand.IntN(4) {
		server := s.anyServer()
		at := time.Duration(s.rand.Int64N(int64(s.faultTime)))
		if s.rand.IntN(3) == 0 {
			steps = append(steps, soakStep{at: at, name: "a server of " + server.service + " reports draining in its responses", do: func() { s.reportDraining(server) }})
			continue
		}
		rest := []float64{0.7, 1, 2}[s.rand.IntN(3)]
		duration := time.Second + time.Duration(s.rand.Int64N(int64(2*time.Second)))
		name := fmt.Sprintf("a server of %s asks for %g s of back-off", server.service, rest)
		var inc *soakIncarnation
		steps = append(steps,
			soakStep{at: at, name: name, do: func() { inc = s.startReport(server, standin.RoutedFaults{Backoff: rest}) }},
			soakStep{at: at + duration, name: name + " no more", do: func() { s.stopReport(inc) }})
	}
	return steps
}

// startReport has a server's newest incarnation send a report, and returns that incarnation; nil
// if it sends one already, or is draining.
func (s *soak) startReport(server *soakServer, says standin.RoutedFaults) *soakIncarnation {
	inc := server.current()
	if inc.ended() || inc.reporting || !inc.drainingSince.IsZero() {
		return nil
	}
	inc.reporting = true
	trySetFaults(inc.process, says)
	return inc
}

func (s *soak) stopReport(inc *soakIncarnation) {
	if inc != nil {
		inc.reporting = false
		trySetFaults(inc.process, standin.RoutedFaults{})
	}
}

func (s *soak) reportDraining(server *soakServer) {
	if s.hasDraining(server.service) {
		return
	}
	if inc := s.startReport(server, standin.RoutedFaults{Draining: true}); inc != nil {
		inc.reportsDraining = true
	}
}

// checkReports checks that servers received no more than the users' requirements allow from
// fronts that they had asked for back-off, and from those that had forwarded a draining report.
func (s *soak) checkReports() {
	if !s.sendsReports() {
		return
	}
	calls := map[string]*soakCall{}
	for _, c := range s.clients.calls {
		calls[c.id] = c
	}
	for _, server := range s.servers {
		for _, inc := range server.incarnations {
			arrivals, ok := s.arrivals(inc)
			if !ok {
				continue
			}
			arrivals = slices.DeleteFunc(arrivals, func(one standin.RoutedArrival) bool { return one.Misdirected })
			s.checkBackoffs(inc, arrivals, calls)
			if inc.reportsDraining {
				s.checkDraining(inc, arrivals, calls)
			}
		}
	}
}

// checkBackoffs checks what arrived during the back-offs that a server asked for. They do not
// apply to a front's next process.
func (s *soak) checkBackoffs(inc *soakIncarnation, arrivals []standin.RoutedArrival, calls map[string]*soakCall) {
	asked, most := 0, 0
	for i, one := range arrivals {
		if one.Backoff == 0 || calls[one.ID] == nil {
			continue
		}
		asked++
		n := 0
		for _, later := range arrivals[i+1:] {
			since, from := later.At.Sub(one.At), calls[later.ID]
			if from != nil && from.process == calls[one.ID].process && since > backoffGrace && since < time.Duration(one.Backoff*float64(time.Second)) && s.counts(later.At) {
				n++
			}
		}
		most = max(most, n)
	}
	if asked > 0 {
		s.t.Logf("%s asked for back-off %d times, and got at most %d calls from a front in one", inc.id, asked, most)
	}
	if most > backoffExtra {
		s.t.Errorf("%s got %d calls from a front that it had asked for back-off, %d are allowed", inc.id, most, backoffExtra)
	}
}

// checkDraining checks that a front process sent no call that a caller sent later than drainBound
// after the process had forwarded that the server drains.
func (s *soak) checkDraining(inc *soakIncarnation, arrivals []standin.RoutedArrival, calls map[string]*soakCall) {
	passed := map[*process]time.Time{}
	for _, one := range arrivals {
		c := calls[one.ID]
		if c == nil || !c.draining {
			continue
		}
		if at := passed[c.process]; at.IsZero() || c.ended.Before(at) {
			passed[c.process] = c.ended
		}
	}
	s.t.Logf("%s reported draining; %d fronts forwarded that, it got %d calls", inc.id, len(passed), len(arrivals))
	for _, one := range arrivals {
		c := calls[one.ID]
		if c == nil || passed[c.process].IsZero() || !s.counts(one.At) {
			continue
		}
		if after := c.sent.Sub(passed[c.process]); after > drainBound {
			s.t.Errorf("%s arrived at %s, sent %s after %s had forwarded that the server drains", c.id, inc.id, after, c.front)
		}
	}
}
