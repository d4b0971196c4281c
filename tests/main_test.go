package tests

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

var seeds = flag.Int("seeds", 200, "number of random failure schedules to run")

// firstSeed with -seeds 1 replays one schedule: -first-seed N -seeds 1.
var firstSeed = flag.Int("first-seed", 1, "first seed of the random failure schedules")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
