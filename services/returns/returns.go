package returns

import (
	"slices"
	"time"
)

const (
	// promiseGrace is how long after its time a promise counts as demand: callers return some time
	// after it, by their own delays.
	promiseGrace = 500 * time.Millisecond
	// timeLeftDivisor bounds a time to the fraction of its time left for which a caller waits.
	timeLeftDivisor = 3
	// maxPromises bounds the promises of a service: at a thousand calls per second, those of several
	// seconds.
	maxPromises = 8192
)

// Basis is what a time was derived from.
type Basis string

// The values of Basis.
const (
	// Queue means that the time follows from the calls that wait.
	Queue Basis = "queue"
	// Promised means that it follows from the times that were given to others before.
	Promised Basis = "promised"
	// Spread means that no capacity is expected while the caller waits, or that nothing is known. The
	// time is no promise.
	Spread Basis = "spread"
)

// Demand is the state of a service for a refused call.
type Demand struct {
	// Rank orders calls; 0 is the highest.
	Rank int
	// Waiting is the number of waiting calls of its own and of higher ranks.
	Waiting int
	// PerSecond is the number of slots that become free for its rank per second; 0 is unknown.
	PerSecond float64
	// TimeLeft is the caller's time left.
	TimeLeft time.Duration
}

// Book holds the times that were given out for one service. The zero value is empty. It is not safe
// for concurrent use.
type Book struct {
	// promised holds the promised times of each rank in ascending order.
	promised map[int][]time.Time
	size     int
}

// Give returns after which time the caller of a refused call should return, and enters it as a promise if
// capacity is expected by then. The times of a rank are given out in sequence, at the rate at which slots
// become free for it after the calls that wait and those that were promised a time before, of the
// same and of higher ranks. A time beyond the fraction of its time left for which a caller waits is not
// promised: the caller is told that bound instead. It is 0 if the rate is unknown.
func (b *Book) Give(now time.Time, d Demand) (time.Duration, Basis) {
	if d.PerSecond <= 0 {
		return 0, Spread
	}
	b.expire(now)
	bound := max(d.TimeLeft/timeLeftDivisor, 0)
	ahead, basis := d.Waiting, Queue
	for rank, times := range b.promised {
		if rank <= d.Rank {
			ahead += len(times)
		}
	}
	if ahead > d.Waiting {
		basis = Promised
	}
	step := seconds(1 / d.PerSecond)
	at := now.Add(seconds(float64(ahead+1) / d.PerSecond))
	own := b.promised[d.Rank]
	if n := len(own); n > 0 && at.Before(own[n-1].Add(step)) {
		at = own[n-1].Add(step)
	}
	if at.Sub(now) > bound || b.size >= maxPromises {
		return bound, Spread
	}
	if b.promised == nil {
		b.promised = make(map[int][]time.Time)
	}
	b.promised[d.Rank] = append(own, at)
	b.size++
	return at.Sub(now), basis
}

// Due returns how many callers of a rank and those above were told to return by now and may not have.
func (b *Book) Due(now time.Time, rank int) int {
	b.expire(now)
	n := 0
	for one, times := range b.promised {
		if one <= rank {
			due, _ := slices.BinarySearchFunc(times, now, time.Time.Compare)
			n += due
		}
	}
	return n
}

// expire removes the promises that no longer count.
func (b *Book) expire(now time.Time) {
	for rank, times := range b.promised {
		gone, _ := slices.BinarySearchFunc(times, now.Add(-promiseGrace), time.Time.Compare)
		if gone == 0 {
			continue
		}
		b.size -= gone
		if b.promised[rank] = times[gone:]; gone == len(times) {
			delete(b.promised, rank)
		}
	}
}

// maxSeconds bounds computed times, so that they can be represented.
const maxSeconds = 3600

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
