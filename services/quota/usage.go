package quota

import "time"

// grain is the span of one count: what is older than the window by less than this
// still counts.
const grain = 100 * time.Millisecond

// usage is what was drawn of late, in counts of a grain each.
type usage struct {
	// first is the number of the first count's grain.
	first  int64
	counts []float64
}

// add counts tokens in a grain. What is older than all that is counted is put to the
// oldest, where it counts a little longer.
func (u *usage) add(number int64, tokens float64) {
	if len(u.counts) == 0 {
		u.first = number
	}
	i := max(number-u.first, 0)
	for int64(len(u.counts)) <= i {
		u.counts = append(u.counts, 0)
	}
	u.counts[i] += tokens
}

// removeAt takes back what was counted in a grain, as far as it still is.
func (u *usage) removeAt(number int64, tokens float64) {
	if i := number - u.first; i >= 0 && i < int64(len(u.counts)) {
		u.counts[i] = max(u.counts[i]-tokens, 0)
	}
}

// remove takes tokens back of which nobody knows when they were drawn: the oldest, as
// the rest then counts no shorter than it should.
func (u *usage) remove(tokens float64) {
	for i, n := range u.counts {
		part := min(n, tokens)
		u.counts[i] -= part
		tokens -= part
	}
}

// trim forgets what is older than a grain.
func (u *usage) trim(oldest int64) {
	gone := min(max(oldest-u.first, 0), int64(len(u.counts)))
	u.first += gone
	u.counts = u.counts[gone:]
}

func (u *usage) sum() float64 { return u.last(len(u.counts)) }

// last gives what was counted in the newest grains.
func (u *usage) last(span int) float64 {
	sum := 0.0
	for _, n := range u.counts[max(len(u.counts)-span, 0):] {
		sum += n
	}
	return sum
}

// since gives what was counted behind a grain.
func (u *usage) since(number int64) float64 {
	return u.last(int(max(u.first+int64(len(u.counts))-1-number, 0)))
}
