package tests

import (
	"fmt"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakOneByOneSeeds is the first seed with which paths close their connections one by one, and servers mix responses
	// with and without length or chunks.
	soakOneByOneSeeds = 1_240_000
	// soakMinGap and soakMaxGap bound the time between two closes.
	soakMinGap = 2 * time.Millisecond
	soakMaxGap = 200 * time.Millisecond
)

// endsOneByOne reports whether paths close their connections one by one.
func (s *soak) endsOneByOne() bool { return s.mixesFrom(soakOneByOneSeeds) }

// oneByOneFaults draws the times in which servers mix responses, and a path to a server, from callers or between fronts closes
// the connections that are open then one by one.
func (s *soak) oneByOneFaults() []soakStep {
	var steps []soakStep
	for range 6 + s.rand.IntN(6) {
		server, f := s.anyServer(), s.anyFront()
		each := 2 + s.rand.IntN(3)
		at := 300*time.Millisecond + time.Duration(s.rand.Int64N(int64(s.faultTime)))
		steps = append(steps, soakStep{at: at - 200*time.Millisecond, name: fmt.Sprintf("a server of %s sends no lengths in each %dth response", server.service, each), do: func() {
			if inc := server.current(); !inc.ended() {
				trySetFaults(inc.process, standin.RoutedFaults{CloseDelimitedEach: each})
			}
		}})
		path, what := server.proxy, "a server of "+server.service
		switch s.rand.IntN(5) {
		case 0:
			path, what = f.peers, f.name+" from the others"
		case 1:
			path, what = f.callers, f.name+" from callers"
		}
		which, gap := []proxyEnd{proxyEndsAnswers, proxyEndsBoth}[s.rand.IntN(2)], soakMinGap+time.Duration(s.rand.Int64N(int64(soakMaxGap-soakMinGap)))
		steps = append(steps, soakStep{at: at, name: fmt.Sprintf("the way to %s closes one by one, %s apart, both ways %t", what, gap, which == proxyEndsBoth), do: func() {
			s.closing.Go(func() { path.endOneByOne(which, func() { s.wait(gap) }) })
		}})
	}
	return steps
}
