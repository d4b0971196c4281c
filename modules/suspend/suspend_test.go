package suspend

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestWatch tells of a suspension once, with its length, and of none that is shorter than
// what a busy host loses between two readings.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		var asleep atomic.Int64
		var lost []time.Duration
		w := &Watch{
			Steady: func() (time.Duration, error) { return time.Since(began), nil },
			Boot:   func() (time.Duration, error) { return time.Since(began) + time.Duration(asleep.Load()), nil },
			OnWake: func(d time.Duration) { lost = append(lost, d) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(time.Second)
		asleep.Add(int64(3 * time.Second))
		time.Sleep(time.Second)
		asleep.Add(int64(leastLost - time.Millisecond))
		time.Sleep(time.Second)
		cancel()
		is.NoErr(<-done)
		is.Equal(lost, []time.Duration{3 * time.Second})
	})
}

// TestUnreadableClock gives the error of a clock that the system does not have.
func TestUnreadableClock(t *testing.T) {
	is := is.New(t)
	errNone := errors.New("no such clock")
	w := &Watch{Boot: func() (time.Duration, error) { return 0, errNone }, Steady: Steady}
	is.Equal(w.Run(t.Context()), errNone)
}

// TestClocks reads the system's clocks.
func TestClocks(t *testing.T) {
	is := is.New(t)
	steady, err := Steady()
	is.NoErr(err)
	boot, err := Boot()
	is.NoErr(err)
	is.True(boot >= steady)
}
