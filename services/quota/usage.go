package quota

import "time"

// grain is the span of one count: what is older than the window by less than this
// still counts.
const grain = 100 * time.Millisecond

// usage is what one customer drew of late, in counts of a grain each.
type usage struct {
	counts []count
}

type count struct {
	from   time.Time
	tokens float64
}

// add counts tokens at now; times do not go back.
func (u *usage) add(now time.Time, tokens float64) {
	if n := len(u.counts); n > 0 && now.Sub(u.counts[n-1].from) < grain {
		u.counts[n-1].tokens += tokens
		return
	}
	u.counts = append(u.counts, count{from: now, tokens: tokens})
}

// sum gives what was drawn in the window before now.
func (u *usage) sum(now time.Time, window time.Duration) float64 {
	u.trim(now, window)
	sum := 0.0
	for _, c := range u.counts {
		sum += c.tokens
	}
	return sum
}

// until gives how long it takes until that many tokens have left the window.
func (u *usage) until(now time.Time, window time.Duration, tokens float64) time.Duration {
	for _, c := range u.counts {
		if tokens -= c.tokens; tokens <= 0 {
			return max(c.from.Add(window+grain).Sub(now), grain)
		}
	}
	return window
}

// trim forgets what left the window.
func (u *usage) trim(now time.Time, window time.Duration) {
	i := 0
	for i < len(u.counts) && now.Sub(u.counts[i].from) > window+grain {
		i++
	}
	u.counts = u.counts[i:]
}
