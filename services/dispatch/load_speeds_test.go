package dispatch

import (
	"flag"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var (
	loadSeed = flag.Uint64("load-seed", 1, "seed of the loads")
	loadFile = flag.String("load-file", "testdata/load", "file of the loads")
)

// loadSpeeds are the factors by which engines of three speeds take longer than usual.
var loadSpeeds = [...]float64{0.55, 1, 2.8}

// An engine takes changedSpeed times as long for changeTime, on average every changeEvery: it shares
// its machine with others.
const (
	changedSpeed = 2.5
	changeTime   = 500 * time.Millisecond
	changeEvery  = 10 * time.Second
)

// loadSpeed holds the durations of a step and of reading a token, and the tokens read between two
// steps.
type loadSpeed struct {
	step, read time.Duration
	chunk      int
}

// change returns by how much longer than usual the next step takes.
func (e *loadEngine) change() float64 {
	if e.changes == nil {
		return 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.slow * float64(e.step)
	switch {
	case e.changed == changedSpeed && e.changes.Float64() < changedSpeed*step/float64(changeTime):
		e.changed = 1
	case e.changed != changedSpeed && e.changes.Float64() < step/float64(changeEvery):
		e.changed = changedSpeed
	}
	return max(e.changed, 1)
}

// slowness returns the slowness that the engine reports.
func (e *loadEngine) slowness() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slow * max(e.changed, 1)
}

// parseDeployment parses the arguments of a load on engines of three speeds: the duration of a step,
// the tokens read in a millisecond and between two steps, the longest gap, and how long callers wait.
func (l *loadSim) parseDeployment(t *testing.T, d *datadriven.TestData) {
	if !d.HasArg("step-us") {
		return
	}
	var step, gap, timeout int
	var perMs string
	d.ScanArgs(t, "step-us", &step)
	d.ScanArgs(t, "tokens-a-ms", &perMs)
	d.ScanArgs(t, "chunk", &l.chunk)
	d.ScanArgs(t, "gap", &gap)
	d.ScanArgs(t, "patience", &timeout)
	duration, err := time.ParseDuration(perMs + "ms")
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	l.reports = true
	l.step = time.Duration(step) * time.Microsecond
	l.read = time.Duration(float64(time.Millisecond) * float64(time.Millisecond) / float64(duration))
	l.maxGap, l.callerTimeout = time.Duration(gap)*time.Millisecond, time.Duration(timeout)*time.Millisecond
}

// exchangeEstimates sends what each front learned of engines to all others.
func (l *loadSim) exchangeEstimates() {
	for _, from := range l.fronts {
		list := from.ChangedEngineEstimates()
		for _, to := range l.fronts {
			if to != from {
				to.ApplyEngineEstimates(list)
			}
		}
	}
}
