package tests

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// soakMoveSeeds is the first seed with which most new connections come to one front, and later to
	// another one.
	soakMoveSeeds = 950_000
	// soakMoveEvery is the time until they come to the first front, and then to the second.
	soakMoveEvery = 4 * time.Second
	// soakMoved is the part of the calls that come to it, and soakMovedServed the part of the ratio
	// served before that must be served from soakMoveContact on.
	soakMoved       = 0.9
	soakMovedServed = 0.75
	soakMoveContact = 3 * time.Second
	// soakKeptFor is for how long callers keep each connection open, and soakDescriptors the descriptors
	// of a front: too few for the connections that are kept.
	soakKeptFor     = 6 * time.Second
	soakDescriptors = 512
)

// moves reports whether most new connections come to one front.
func (s *soak) moves() bool { return s.seed >= soakMoveSeeds && s.seed < soakStarvedSeeds }

// movedTo returns the front to which most new connections come; nil if there is none.
func (s *soak) movedTo(at time.Time) *soakFront {
	if n := s.movePhase(at); s.moves() && n > 0 {
		return s.fronts[(int(s.seed)+n)%len(s.fronts)]
	}
	return nil
}

// keepIdle keeps the connections of a caller open for a while after its call.
func (s *soak) keepIdle(quit <-chan struct{}, transport *http.Transport) {
	select {
	case <-quit:
	case <-time.After(soakKeptFor):
	}
	transport.CloseIdleConnections()
}

// limitDescriptors limits the descriptors of a front.
func (s *soak) limitDescriptors(p *process) {
	limit := &unix.Rlimit{Cur: soakDescriptors, Max: soakDescriptors}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
		s.t.Error(err)
	}
}

// movePhase returns how often the front to which most connections come has changed.
func (s *soak) movePhase(at time.Time) int { return min(int(at.Sub(s.began)/soakMoveEvery), 2) }

// movedFront returns the front for the next call of a caller, which has chosen one.
func (s *soak) movedFront(rng *rand.Rand, chosen *soakFront) *soakFront {
	if to := s.movedTo(time.Now()); to != nil && rng.Float64() < soakMoved && !to.process.Load().ended() {
		return to
	}
	return chosen
}

// checkMoves checks that calls are served as before while most come to one front. Calls whose limit is
// reached do not count.
func (s *soak) checkMoves() {
	if !s.moves() {
		return
	}
	var served, asked [3]float64
	for _, c := range s.clients.calls {
		phase := s.movePhase(c.sent)
		settled := phase == 0 || !c.sent.Before(s.began.Add(time.Duration(phase)*soakMoveEvery+soakMoveContact))
		if !settled || !s.allowedNow(c) || c.status == http.StatusTooManyRequests {
			continue
		}
		asked[phase]++
		if c.status == http.StatusOK && c.err == nil {
			served[phase]++
		}
	}
	for phase := 1; phase < len(asked); phase++ {
		s.t.Logf("served at one front: %.0f of %.0f, before: %.0f of %.0f", served[phase], asked[phase], served[0], asked[0])
		if served[phase]*asked[0] < soakMovedServed*served[0]*asked[phase] {
			s.t.Errorf("at one front %.0f of %.0f calls were served, before %.0f of %.0f", served[phase], asked[phase], served[0], asked[0])
		}
	}
}

// TestSoakChecksMoves checks that the soak's check reports a front that serves less once most calls come to
// it.
func TestSoakChecksMoves(t *testing.T) {
	for _, one := range []struct {
		status int
		wrong  bool
	}{{http.StatusServiceUnavailable, true}, {http.StatusTooManyRequests, false}, {http.StatusOK, false}} {
		caught := &errorRecorder{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, soakSeed: soakSeed{seed: soakMoveSeeds}, began: time.Now()}
		for i := range 120 {
			c := &soakCall{sent: s.began.Add(time.Duration(i) * 100 * time.Millisecond), status: http.StatusOK}
			c.key = "yard-key"
			if s.movePhase(c.sent) > 0 && i%2 == 0 {
				c.status = one.status
			}
			s.clients.calls = append(s.clients.calls, c)
		}
		s.checkMoves()
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("%d: %q", one.status, caught.errs)
		}
	}
}
