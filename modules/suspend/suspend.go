package suspend

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// DefaultInterval is how often the clocks are compared: a part of what callers wait for.
	DefaultInterval = 250 * time.Millisecond
	// minSuspension is the least time that counts as a suspension: some times what passes
	// between the readings of the two clocks on a busy host.
	minSuspension = 100 * time.Millisecond
)

// Clock gives the time since some point, in a clock of the system's.
type Clock func() (time.Duration, error)

// BootTime gives the time since the host's start.
func BootTime() (time.Duration, error) { return read(unix.CLOCK_BOOTTIME) }

// Monotonic gives the part of that time in which the host was not suspended, by which a process's
// own ages and timers go.
func Monotonic() (time.Duration, error) { return read(unix.CLOCK_MONOTONIC) }

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Monitor compares the clocks; set the exported fields before Run.
type Monitor struct {
	// Interval is DefaultEvery if zero.
	Interval time.Duration
	// BootTime and Monotonic are the functions above if nil.
	BootTime, Monotonic Clock
	// OnResume is told after a suspension how long it was.
	OnResume func(lost time.Duration)
}

// Run compares the clocks until ctx ends; the error says that one can't be read, and is nil
// at the end of ctx.
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

// suspended is how long the host has been suspended since its start.
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
