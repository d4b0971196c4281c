package tests

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// seeds is how many random failure schedules are run.
var seeds = flag.Int("seeds", 200, "how many random failure schedules are run")

// firstSeed replays one schedule: -first-seed N -seeds 1.
var firstSeed = flag.Int("first-seed", 1, "the first seed of the random failure schedules")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
