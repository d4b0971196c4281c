package tests

import (
	"testing"
	"time"
)

const (
	// soakSilenceSeeds is the first seed with which open connections go silent for good.
	soakSilenceSeeds = 700_000
	// soakReconnectBound is within which time after a silence changes are active in time again.
	soakReconnectBound = 4 * time.Second
	// soakStoreTimeout is how long a write to the store on a silent connection is not noticed.
	soakStoreTimeout = 2 * time.Second
)

// goesSilent reports whether open connections go silent.
func (s *soak) goesSilent() bool { return s.seed >= soakSilenceSeeds && s.seed < soakCutSeeds }

// silenceFaults draws moments at which open connections of fronts go silent: to the store, between
// fronts, or all. In a planned schedule those to servers keep working, so that no call is lost.
func (s *soak) silenceFaults() []soakStep {
	var steps []soakStep
	for range 2 + s.rand.IntN(4) {
		at := time.Duration(s.rand.Int64N(int64(s.faultTime)))
		fronts := s.fronts
		if s.rand.IntN(2) == 0 {
			fronts = []*soakFront{s.anyFront()}
		}
		store, peers, servers := s.rand.IntN(3) > 0, s.rand.IntN(3) > 0, !s.planned && s.rand.IntN(3) == 0
		fault := s.storeFault(soakFault{begin: func() {
			s.silences = append(s.silences, time.Now())
			s.silence(fronts, store, peers, servers)
		}, end: func() {}})
		name := "open connections go silent"
		steps = append(steps, soakStep{at: at, name: name, do: fault.begin},
			soakStep{at: at + soakStoreTimeout, name: name + ", noticed", do: fault.end})
	}
	return steps
}

// silence makes open connections of fronts silent, and those to all servers.
func (s *soak) silence(fronts []*soakFront, store, peers, servers bool) {
	for _, f := range fronts {
		if store {
			f.store.silence()
		}
		if peers {
			f.peers.silence()
		}
	}
	for _, server := range s.servers {
		if servers {
			server.proxy.silence()
		}
	}
}

// afterSilences returns when a change must be active that had to be at a time without silences.
func (s *soak) afterSilences(due time.Time) time.Time {
	for _, silent := range s.silences {
		if reconnected := silent.Add(soakReconnectBound); due.After(silent) && due.Before(reconnected) {
			due = reconnected
		}
	}
	return due
}

// TestSoakAllowsTimeToReconnect checks that the soak's bound for a change is later only within
// soakReconnectBound of a silence.
func TestSoakAllowsTimeToReconnect(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	s := &soak{silences: []time.Time{at(10), at(12)}}
	for _, one := range []struct{ due, want float64 }{{9, 9}, {11, 16}, {13, 16}, {15.5, 16}, {17, 17}} {
		if got := s.afterSilences(at(one.due)); !got.Equal(at(one.want)) {
			t.Errorf("due at %g s: %s, not %g s", one.due, got.Sub(began), one.want)
		}
	}
}
