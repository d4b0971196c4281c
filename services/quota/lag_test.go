package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// overdrawn plays a customer that asks many times its limit of many entries, which hear
// of each other a heartbeat later, and gives the most that it drew in a window, as a part of
// its limit.
func overdrawn(entries int, beat time.Duration, asked float64, seed uint64) float64 {
	const (
		step = 5 * time.Millisecond
		span = 12 * time.Second
		call = 3000.0
	)
	c := &runworks.RoutedCustomer{Name: "yard", TokensPerSecond: 280_000, TokenBurst: 680_000}
	rng := rand.New(rand.NewPCG(1, seed))
	all := make([]*Quota, entries)
	for i := range all {
		all[i] = running(runworks.Incarnation(fmt.Sprint(i)))
	}
	type draw struct {
		at     time.Duration
		tokens float64
	}
	var draws []draw
	most := 0.0
	for at := time.Duration(0); at < span; at += step {
		now := begin.Add(at)
		for calls := asked * step.Seconds() / call; calls > rng.Float64(); calls-- {
			size := call * rng.ExpFloat64()
			if v := all[rng.IntN(entries)].Reserve(now, c, size); v.Wait == 0 {
				v.Debit.Commit(now)
				draws = append(draws, draw{at: at, tokens: size})
			}
		}
		for i, q := range all {
			if (at/step+time.Duration(i))%(beat/step) == 0 {
				news := q.Updates(now)
				for _, other := range all {
					if other != q {
						other.ApplyUpdates(now, q.Self, news)
					}
				}
			}
		}
		sum := 0.0
		for _, d := range draws {
			if d.at > at-DefaultWindow {
				sum += d.tokens
			}
		}
		most = max(most, sum)
	}
	return most / (c.TokensPerSecond*DefaultWindow.Seconds() + c.TokenBurst)
}

// TestLimitHoldsInAHurry bounds what many entries together let through of a customer that
// asks four times its limit.
func TestLimitHoldsInAHurry(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		part := overdrawn(27, 150*time.Millisecond, 1_400_000, seed)
		t.Logf("%.3f of the limit", part)
		is.True(part < 1.025)
	}
}
