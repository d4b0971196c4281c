package quota

import "time"

// bucketWidth is the span of one bucket. Consumption that is older than the window by less than
// this still counts.
const bucketWidth = 100 * time.Millisecond

// maxTokens limits an amount that is read from a record, so that sums stay finite.
const maxTokens = 1 << 50

// boundTokens returns an amount within its limits.
func boundTokens(n float64) float64 { return min(max(n, 0), maxTokens) }

// usage is recent consumption in tokens, in buckets of bucketWidth.
type usage struct {
	// first is the bucket number of counts[0].
	first  int64
	counts []float64
}

// add adds tokens to a bucket. What is older than all buckets is added to the oldest, where it
// counts a little longer.
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

// subtractAt subtracts tokens from a bucket, as far as they are still in it.
func (u *usage) subtractAt(number int64, tokens float64) {
	if i := number - u.first; i >= 0 && i < int64(len(u.counts)) {
		u.counts[i] = max(u.counts[i]-tokens, 0)
	}
}

// subtract subtracts tokens whose bucket is unknown. It takes the oldest first, so that the
// remainder counts no shorter than it should.
func (u *usage) subtract(tokens float64) {
	for i, n := range u.counts {
		part := min(n, tokens)
		u.counts[i] -= part
		tokens -= part
	}
}

// trim drops the buckets before oldest.
func (u *usage) trim(oldest int64) {
	gone := min(max(oldest-u.first, 0), int64(len(u.counts)))
	u.first += gone
	u.counts = u.counts[gone:]
}

func (u *usage) sum() float64 { return u.last(len(u.counts)) }

// last returns the sum of the newest span buckets.
func (u *usage) last(span int) float64 {
	sum := 0.0
	for _, n := range u.counts[max(len(u.counts)-span, 0):] {
		sum += n
	}
	return sum
}

// between returns the sum of the buckets after one number and up to another.
func (u *usage) between(after, last int64) float64 {
	from := min(max(after+1-u.first, 0), int64(len(u.counts)))
	to := min(max(last+1-u.first, from), int64(len(u.counts)))
	sum := 0.0
	for _, n := range u.counts[from:to] {
		sum += n
	}
	return sum
}

// from returns the sum of the buckets from a number on.
func (u *usage) from(number int64) float64 {
	return u.between(number-1, u.first+int64(len(u.counts)))
}
