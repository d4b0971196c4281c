package suspend

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/runworks/runworks/modules/pause"
)

const (
	// DefaultEvery is how often the clocks are compared: a part of what callers wait for.
	DefaultEvery = 250 * time.Millisecond
	// leastLost is the least time that counts as a suspension: some times what passes
	// between the readings of the two clocks on a busy host.
	leastLost = 100 * time.Millisecond
)

// Clock gives the time since some point, in a clock of the system's.
type Clock func() (time.Duration, error)

// Boot gives the time since the host's start.
func Boot() (time.Duration, error) { return read(unix.CLOCK_BOOTTIME) }

// Steady gives the part of that time in which the host was not suspended, by which a process's
// own ages and timers go.
func Steady() (time.Duration, error) { return read(unix.CLOCK_MONOTONIC) }

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Watch compares the clocks; set the exported fields before Run.
type Watch struct {
	// Every is DefaultEvery if zero.
	Every time.Duration
	// Boot and Steady are the functions above if nil.
	Boot, Steady Clock
	// OnWake is told after a suspension how long it was.
	OnWake func(lost time.Duration)
}

// Run compares the clocks until ctx ends; the error says that one can't be read, and is nil
// at the end of ctx.
func (w *Watch) Run(ctx context.Context) error {
	every := w.Every
	if every == 0 {
		every = DefaultEvery
	}
	before, err := w.suspended()
	if err != nil {
		return err
	}
	for {
		pause.For(ctx, every)
		if ctx.Err() != nil {
			return nil
		}
		now, err := w.suspended()
		if err != nil {
			return err
		}
		if lost := now - before; lost >= leastLost {
			before = now
			w.OnWake(lost)
		}
	}
}

// suspended is how long the host has been suspended since its start.
func (w *Watch) suspended() (time.Duration, error) {
	boot, steady := w.Boot, w.Steady
	if boot == nil {
		boot, steady = Boot, Steady
	}
	all, err := boot()
	if err != nil {
		return 0, err
	}
	awake, err := steady()
	return all - awake, err
}
