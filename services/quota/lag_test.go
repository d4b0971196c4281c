package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// maxConsumed simulates a customer that requests many times its limit at many entries, which
// learn of each other's use one heartbeat later. It returns the most that the customer consumed
// in a window, as a multiple of its limit.
func maxConsumed(entries int, heartbeat time.Duration, requested float64, seed uint64) float64 {
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
	type sentCall struct {
		at     time.Duration
		tokens float64
	}
	var sentCalls []sentCall
	most := 0.0
	for at := time.Duration(0); at < span; at += step {
		now := begin.Add(at)
		for calls := requested * step.Seconds() / call; calls > rng.Float64(); calls-- {
			size := call * rng.ExpFloat64()
			if v := all[rng.IntN(entries)].Reserve(now, c, size); v.Wait == 0 {
				v.Debit.Commit(now)
				sentCalls = append(sentCalls, sentCall{at: at, tokens: size})
			}
		}
		for i, q := range all {
			if (at/step+time.Duration(i))%(heartbeat/step) == 0 {
				updates := q.Updates(now)
				for _, other := range all {
					if other != q {
						other.ApplyUpdates(now, q.Self, updates)
					}
				}
			}
		}
		sum := 0.0
		for _, d := range sentCalls {
			if d.at > at-DefaultWindow {
				sum += d.tokens
			}
		}
		most = max(most, sum)
	}
	return most / (c.TokensPerSecond*DefaultWindow.Seconds() + c.TokenBurst)
}

// TestLimitUnderOverload bounds what many entries together admit of a customer that requests
// about four times its limit.
func TestLimitUnderOverload(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		used := maxConsumed(27, 150*time.Millisecond, 1_400_000, seed)
		t.Logf("%.3f of the limit", used)
		is.True(used < 1.025)
	}
}
