package suspend

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStops guards against a stop, or a suspension of the host, that is not counted before the process goes on, and against
// one that is counted twice or while the process runs.
func TestStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began, stopped := time.Now(), time.Duration(0)
		s := &Stops{BootTime: func() (time.Duration, error) { return time.Hour + time.Since(began) + stopped, nil }}
		count := func() int {
			n, err := s.Count()
			is.NoErr(err)
			return n
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Run(ctx) }()
		time.Sleep(10 * time.Second)
		is.Equal(count(), 0)
		stopped += minStop
		is.Equal(count(), 1) // before Run notes it
		time.Sleep(10 * time.Second)
		is.Equal(count(), 1)
		cancel()
		synctest.Wait()
		time.Sleep(minStop) // as if no goroutine ran
		is.Equal(count(), 2)
		is.Equal(count(), 2)
	})
}

// TestStopsWithoutClock guards against a clock that fails and is taken for one that shows no stop.
func TestStopsWithoutClock(t *testing.T) {
	is := is.New(t)
	broken := errors.New("no clock")
	s := &Stops{BootTime: func() (time.Duration, error) { return 0, broken }}
	_, err := s.Count()
	is.True(errors.Is(err, broken))
	is.True(errors.Is(s.Run(t.Context()), broken))
}
