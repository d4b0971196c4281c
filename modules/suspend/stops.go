package suspend

import (
	"context"
	"sync"
	"time"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// stopsInterval is the interval in which Stops notes that the process runs.
	stopsInterval = 50 * time.Millisecond
	// minStop is the time without a note that counts as a stop.
	minStop = 150 * time.Millisecond
)

// Stops counts the times in which this process did not run: it was stopped, got no processor time, or its host was suspended.
// What arrived meanwhile may not have been read yet when it runs again. The exported fields must be set before use.
type Stops struct {
	// BootTime reads the clock; nil means the function of the same name.
	BootTime Clock

	mu sync.Mutex
	// noted is when Count was last called; zero before.
	noted time.Duration
	count int
}

// Run notes that the process runs until ctx is done, and then returns nil. It returns an error if the clock can't be read.
func (s *Stops) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := s.Count(); err != nil {
			return err
		}
		pause.For(ctx, stopsInterval)
	}
	return nil
}

// Count returns the number of stops so far, with one that is just over.
func (s *Stops) Count() (int, error) {
	clock := s.BootTime
	if clock == nil {
		clock = BootTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, err := clock()
	if err != nil {
		return s.count, err
	}
	if s.noted != 0 && now-s.noted >= minStop {
		s.count++
	}
	s.noted = now
	return s.count, nil
}
