package suspend

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// DefaultInterval is the interval between comparisons of the clocks, well below the time
	// that callers wait.
	DefaultInterval = 250 * time.Millisecond
	// minSuspension is the shortest difference that counts as a suspension. It is several times
	// the delay between the readings of the two clocks on a busy host.
	minSuspension = 100 * time.Millisecond
)

// Clock returns the time since a fixed point, according to one of the system's clocks.
type Clock func() (time.Duration, error)

// BootTime returns the time since the host was booted, including suspensions.
func BootTime() (time.Duration, error) { return read(unix.CLOCK_BOOTTIME) }

// Monotonic returns the time since the host was booted without suspensions; the timers of a
// process use this clock.
func Monotonic() (time.Duration, error) { return read(unix.CLOCK_MONOTONIC) }

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Monitor compares the clocks. The exported fields must be set before Run.
type Monitor struct {
	// Interval is the time between comparisons; zero means DefaultInterval.
	Interval time.Duration
	// BootTime and Monotonic read the clocks; nil means the functions of the same names.
	BootTime, Monotonic Clock
	// OnResume is called after a suspension with its duration.
	OnResume func(lost time.Duration)
}

// Run compares the clocks until ctx is done, and then returns nil. It returns an error if a
// clock can't be read.
func (w *Monitor) Run(ctx context.Context) error {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	before, err := w.suspended()
	if err != nil {
		return err
	}
	for {
		pause.For(ctx, interval)
		if ctx.Err() != nil {
			return nil
		}
		now, err := w.suspended()
		if err != nil {
			return err
		}
		if lost := now - before; lost >= minSuspension {
			before = now
			w.OnResume(lost)
		}
	}
}

// suspended returns for how long the host has been suspended since it was booted.
func (w *Monitor) suspended() (time.Duration, error) {
	boot, steady := w.BootTime, w.Monotonic
	if boot == nil {
		boot, steady = BootTime, Monotonic
	}
	all, err := boot()
	if err != nil {
		return 0, err
	}
	awake, err := steady()
	return all - awake, err
}
