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

// TestMonitor checks that a suspension is reported once, with its duration, and that one below
// minSuspension is not reported.
func TestMonitor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		var suspended atomic.Int64
		var lost []time.Duration
		w := &Monitor{
			Monotonic: func() (time.Duration, error) { return time.Since(began), nil },
			BootTime:  func() (time.Duration, error) { return time.Since(began) + time.Duration(suspended.Load()), nil },
			OnResume:  func(d time.Duration) { lost = append(lost, d) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(time.Second)
		suspended.Add(int64(3 * time.Second))
		time.Sleep(time.Second)
		suspended.Add(int64(minSuspension - time.Millisecond))
		time.Sleep(time.Second)
		cancel()
		is.NoErr(<-done)
		is.Equal(lost, []time.Duration{3 * time.Second})
	})
}

// TestUnreadableClock checks that Run returns the error of a clock that can't be read.
func TestUnreadableClock(t *testing.T) {
	is := is.New(t)
	errNone := errors.New("no such clock")
	w := &Monitor{BootTime: func() (time.Duration, error) { return 0, errNone }, Monotonic: Monotonic}
	is.Equal(w.Run(t.Context()), errNone)
}

// TestClocks checks that the clocks of the system can be read, and that the boot time is not
// behind.
func TestClocks(t *testing.T) {
	is := is.New(t)
	steady, err := Monotonic()
	is.NoErr(err)
	boot, err := BootTime()
	is.NoErr(err)
	is.True(boot >= steady)
}
