package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateCalls guards against calls that a stopping entry judges by too few, too old or other calls.
func TestLateCalls(t *testing.T) {
	is := is.New(t)
	var d durations
	key := durationKey{"once", "app"}
	is.Equal(d.late(key, 0, time.Second, 900*time.Millisecond), 1.0) // nothing is known
	is.Equal(d.late(key, 0, time.Second, 1100*time.Millisecond), 0.0)
	for range 3 {
		d.add(key, endedCall{took: 10 * time.Millisecond})
	}
	is.Equal(d.late(key, 0, time.Second, 900*time.Millisecond), 1.0) // three calls are too few
	d.add(key, endedCall{took: 800 * time.Millisecond})
	is.Equal(d.late(key, 0, time.Second, 910*time.Millisecond), 0.0)
	is.Equal(d.late(key, 0, time.Second, 890*time.Millisecond), 0.25) // 800 ms and the margin
	is.Equal(d.late(durationKey{"once", "other"}, 0, time.Second, 900*time.Millisecond), 1.0)
	for range maxDurations {
		d.add(key, endedCall{took: 10 * time.Millisecond})
	}
	is.Equal(d.late(key, 0, time.Second, 100*time.Millisecond), 0.0) // the long call is forgotten
}

// TestLateCallsWithTokens guards against a long generation that is judged by short ones.
func TestLateCallsWithTokens(t *testing.T) {
	is := is.New(t)
	var d durations
	key := durationKey{"chat", "llm"}
	for range minDurations {
		d.add(key, endedCall{took: time.Second, work: 1000})
	}
	is.Equal(d.late(key, 4000, time.Second, 4*time.Second), 1.0)
	is.Equal(d.late(key, 4000, time.Second, 5*time.Second), 0.0)
	is.Equal(d.late(key, 500, time.Second, 600*time.Millisecond), 0.0)
	is.Equal(d.late(key, 0, time.Second, 600*time.Millisecond), 1.0) // a call without counts
}

// TestDurationsAreBounded guards against routes that come and go and are remembered for good.
func TestDurationsAreBounded(t *testing.T) {
	is := is.New(t)
	var d durations
	for i := range 2 * maxRoutes {
		d.add(durationKey{string(rune(i)), "app"}, endedCall{})
		is.True(len(d.calls) <= maxRoutes)
	}
}
