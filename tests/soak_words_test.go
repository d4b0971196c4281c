package tests

import (
	"fmt"
	"slices"
	"time"

	"github.com/runworks/runworks/standin"
)

// soakSaysWords is from which seed on servers ask for rest, and say in their answers alone that
// they leave.
const soakSaysWords = 400000

func (s *soak) saysWords() bool { return s.seed >= soakSaysWords && !s.storeReturns() }

// wordFaults draws what servers say of themselves.
func (s *soak) wordFaults() []soakStep {
	var steps []soakStep
	for range 3 + s.rand.IntN(4) {
		server := s.anyServer()
		at := time.Duration(s.rand.Int64N(int64(*soakTime)))
		if s.rand.IntN(3) == 0 {
			steps = append(steps, soakStep{at: at, name: "a server of " + server.service + " says in its answers that it leaves", do: func() { s.sayLeaves(server) }})
			continue
		}
		rest := []float64{0.7, 1, 2}[s.rand.IntN(3)]
		lasts := time.Second + time.Duration(s.rand.Int64N(int64(2*time.Second)))
		name := fmt.Sprintf("a server of %s asks for %g s of rest", server.service, rest)
		var life *soakLife
		steps = append(steps,
			soakStep{at: at, name: name, do: func() { life = s.speak(server, standin.RoutedFaults{Backoff: rest}) }},
			soakStep{at: at + lasts, name: name + " no more", do: func() { s.fallSilent(life) }})
	}
	return steps
}

// speak has a server's life say something of itself, and gives that life; nil if it says
// something already, or leaves.
func (s *soak) speak(server *soakServer, says standin.RoutedFaults) *soakLife {
	life := server.life()
	if life.ended() || life.speaks || !life.left.IsZero() {
		return nil
	}
	life.speaks = true
	trySetFaults(life.process, says)
	return life
}

func (s *soak) fallSilent(life *soakLife) {
	if life != nil {
		life.speaks = false
		trySetFaults(life.process, standin.RoutedFaults{})
	}
}

func (s *soak) sayLeaves(server *soakServer) {
	if s.leaving(server.service) {
		return
	}
	if life := s.speak(server, standin.RoutedFaults{Draining: true}); life != nil {
		life.leaves = true
	}
}

// checkWords checks that servers got no more than the users' rules allow from fronts that they
// had asked for rest, and from those that had passed on that they leave.
func (s *soak) checkWords() {
	if !s.saysWords() {
		return
	}
	calls := map[string]*soakCall{}
	for _, c := range s.clients.calls {
		calls[c.id] = c
	}
	for _, server := range s.servers {
		for _, life := range server.lives {
			arrivals, ok := s.arrivals(life)
			if !ok {
				continue
			}
			arrivals = slices.DeleteFunc(arrivals, func(one standin.RoutedArrival) bool { return one.Misdirected })
			s.checkRests(life, arrivals, calls)
			if life.leaves {
				s.checkLeaves(life, arrivals, calls)
			}
		}
	}
}

// checkRests checks what came in the rests that a server asked for. A front's next life was
// not asked.
func (s *soak) checkRests(life *soakLife, arrivals []standin.RoutedArrival, calls map[string]*soakCall) {
	asked, most := 0, 0
	for i, one := range arrivals {
		if one.Backoff == 0 || calls[one.ID] == nil {
			continue
		}
		asked++
		n := 0
		for _, later := range arrivals[i+1:] {
			since, from := later.At.Sub(one.At), calls[later.ID]
			if from != nil && from.life == calls[one.ID].life && since > restBound && since < time.Duration(one.Backoff*float64(time.Second)) && s.counts(later.At) {
				n++
			}
		}
		most = max(most, n)
	}
	if asked > 0 {
		s.t.Logf("%s asked for rest %d times, and got at most %d calls from a front in one", life.id, asked, most)
	}
	if most > restExtra {
		s.t.Errorf("%s got %d calls from a front that it had asked for rest, %d are allowed", life.id, most, restExtra)
	}
}

// checkLeaves checks that nothing came from a front's life that a caller sent later than
// leaveBound after it had passed on that the server leaves.
func (s *soak) checkLeaves(life *soakLife, arrivals []standin.RoutedArrival, calls map[string]*soakCall) {
	passed := map[*process]time.Time{}
	for _, one := range arrivals {
		c := calls[one.ID]
		if c == nil || !c.leaving {
			continue
		}
		if at := passed[c.life]; at.IsZero() || c.ended.Before(at) {
			passed[c.life] = c.ended
		}
	}
	s.t.Logf("%s said that it leaves; %d fronts passed that on, it got %d calls", life.id, len(passed), len(arrivals))
	for _, one := range arrivals {
		c := calls[one.ID]
		if c == nil || passed[c.life].IsZero() || !s.counts(one.At) {
			continue
		}
		if after := c.sent.Sub(passed[c.life]); after > leaveBound {
			s.t.Errorf("%s came to %s, sent %s after %s had passed on that it leaves", c.id, life.id, after, c.front)
		}
	}
}
