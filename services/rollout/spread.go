package rollout

import (
	"math"
	"time"
)

const (
	// minRouteAnswers is the number of answers of the old version on a route after which other
	// answers are compared with them, and recentAnswers the number that their mean follows.
	minRouteAnswers = 20
	recentAnswers   = 500
	// minServerAnswers is the number of answers after which the level of a server is used.
	minServerAnswers = 8
	// minLevelAnswers is the number of answers of a server of the new version after which its level
	// is compared: the differences between servers are larger than the error of its mean.
	minLevelAnswers = 3
	// levelNoise is the variance of the mean of so few answers.
	levelNoise = 0.12
	// settledAnswers is the number of answers of a server after which its level is settled.
	settledAnswers = 12
	// minOldServers is the number of servers of the old version that must be known, if there are as
	// many, and half of all.
	minOldServers = 3
	// knownShare of the listed servers of the old version must be known for the slowest of them to
	// count as the slowest. Until then, it is assumed to be at least assumedSpread above the mean, as
	// engines of a speed of 2.8 are above the mean of all.
	knownShare    = 0.9
	assumedSpread = 1.2
	// minResiduals is the number of answers after which the spread at one server is used.
	minResiduals = 40
	// timeOffset is added to all times: those of a few ms vary by that much with the load of the
	// host.
	timeOffset = 5 * time.Millisecond
	// bucketWidth is the width of a bucket of logarithms of times, and maxBucket the last one: a
	// time of e^4 (55) times the mean.
	bucketWidth = 0.2
	maxBucket   = 20
	// slowQuantile and slowFactor define a slow answer: it exceeds slowFactor times that quantile
	// of the old version's answers at one server.
	slowQuantile = 0.95
	slowFactor   = 1.5
	// levelFactor is by how much the servers of a version must be slower on average, and
	// levelDeviations by how many standard deviations, for the version to be condemned.
	levelFactor     = 2
	levelDeviations = 2.5
	// minLevelServers is the number of servers that are compared, if there are as many.
	minLevelServers = 8
	// minLevelSpread is the least standard deviation between the levels of servers. It is that of
	// engines of the speeds 0.55, 1 and 2.8: eight old ones may by chance all be of one speed.
	minLevelSpread = 0.67
)

// buckets counts logarithms of times, relative to the mean of the route, in buckets of bucketWidth.
type buckets [2*maxBucket + 1]int

// bucketOf returns the bucket of a logarithm, from 0 on.
func bucketOf(x float64) int {
	return maxBucket + int(max(-maxBucket, min(math.Round(x/bucketWidth), maxBucket)))
}

func (b *buckets) count() int {
	n := 0
	for _, c := range b {
		n += c
	}
	return n
}

// quantile returns the bucket that holds a quantile.
func (b *buckets) quantile(q float64) int {
	n, below := float64(b.count()), 0.0
	for i, c := range b {
		if below += float64(c); below >= q*n && below > 0 {
			return i
		}
	}
	return len(b) - 1
}

// above counts those above a bucket.
func (b *buckets) above(cut int) int {
	n := 0
	for _, c := range b[min(cut+1, len(b)):] {
		n += c
	}
	return n
}

func (b *buckets) add(o *buckets) {
	for i, c := range o {
		b[i] += c
	}
}

// since returns the counts beyond those of o.
func (b *buckets) since(o *buckets) buckets {
	var out buckets
	for i, c := range b {
		out[i] = max(c-o[i], 0)
	}
	return out
}

// level returns the mean of the logarithms.
func (b *buckets) level() float64 {
	sum, n := 0.0, 0
	for i, c := range b {
		sum += float64(i-maxBucket) * bucketWidth * float64(c)
		n += c
	}
	return sum / float64(max(n, 1))
}

// mean is a mean of the newest values.
type mean struct {
	n     int
	value float64
}

func (m *mean) add(x float64) {
	m.n++
	m.value += (x - m.value) / float64(min(m.n, recentAnswers))
}

// spread holds how the times of the old version's answers are distributed: by route, by server, and
// at one server.
type spread struct {
	routes    map[string]*mean
	servers   map[string]*mean
	residuals buckets
	// listed is the number of servers of the old version that may get calls.
	listed int
}

func logTime(d time.Duration) float64 { return math.Log((d + timeOffset).Seconds()) }

// ratio returns the logarithm of a time relative to the mean of its route.
func (s *spread) ratio(route string, d time.Duration) (x float64, ok bool) {
	m := s.routes[route]
	if m == nil || m.n < minRouteAnswers || d <= 0 {
		return 0, false
	}
	return logTime(d) - m.value, true
}

// add adds a time of the old version.
func (s *spread) add(route, server string, d time.Duration) {
	if d <= 0 {
		return
	}
	if s.routes == nil {
		s.routes, s.servers = make(map[string]*mean), make(map[string]*mean)
	}
	if x, ok := s.ratio(route, d); ok {
		m := s.servers[server]
		if m == nil {
			m = &mean{}
			s.servers[server] = m
		}
		if m.n >= minServerAnswers {
			s.residuals[bucketOf(x-m.value)]++
		}
		m.add(x)
	}
	if s.routes[route] == nil {
		s.routes[route] = &mean{}
	}
	s.routes[route].add(logTime(d))
}

// levels returns the mean, the standard deviation, the maximum and the number of the levels of the
// old version's servers.
func (s *spread) levels() (average, deviation, highest float64, n int) {
	squares := 0.0
	for _, m := range s.servers {
		if m.n < minServerAnswers {
			continue
		}
		if n == 0 || m.value > highest {
			highest = m.value
		}
		average += m.value
		squares += m.value * m.value
		n++
	}
	if n == 0 {
		return 0, 0, 0, 0
	}
	average /= float64(n)
	variance := max(squares/float64(n)-average*average, 0)
	if n > 1 {
		variance *= float64(n) / float64(n-1)
	}
	return average, max(math.Sqrt(variance), minLevelSpread), highest, n
}

// margin returns by how many buckets an answer exceeds the level of its server to be slow, and the
// share of the old version's answers that do; ok is false while too little is known.
func (s *spread) margin() (n int, share float64, ok bool) {
	total := s.residuals.count()
	if total < minResiduals {
		return 0, 0, false
	}
	cut := s.residuals.quantile(slowQuantile) + int(math.Ceil(math.Log(slowFactor)/bucketWidth))
	return cut - maxBucket, float64(s.residuals.above(cut)) / float64(total), true
}

// cut returns the bucket above which an answer of a server of the new version is slow, where all are
// its answers. Its level is its own median, so that a part of slow answers shows, but at most that
// of the slowest old server.
func (s *spread) cut(all *buckets) (bucket int, share float64, ok bool) {
	margin, share, ok := s.margin()
	average, _, highest, n := s.levels()
	if !ok || n < min(minOldServers, len(s.servers)) || 2*n < len(s.servers) {
		return 0, 0, false // the slowest old server may not be known yet
	}
	if float64(n) < knownShare*float64(s.listed) {
		// A slow server gets few calls, so that it is known last.
		highest = max(highest, average+assumedSpread)
	}
	level := bucketOf(highest)
	if all.count() >= minServerAnswers {
		level = min(level, all.quantile(0.5))
	}
	return level + margin, share, true
}

// slower reports whether the servers of the new version, of which levels holds the mean ratios, are
// slower than can be explained by the spread between the old ones, by a number of standard deviations.
func (s *spread) slower(levels []float64, deviations float64) bool {
	average, deviation, _, n := s.levels()
	if n < minOldServers || len(levels) == 0 {
		return false
	}
	if deviations > harmlessDeviations && float64(n) < knownShare*float64(s.listed) {
		return false // without the slow servers, which are known last, the mean is too low
	}
	sum, most := 0.0, math.Inf(-1)
	for _, x := range levels {
		sum += x
		most = max(most, x)
	}
	compared := len(levels)
	if compared > 2 {
		sum, compared = sum-most, compared-1 // a single slow server is not held against its version
	}
	excess := sum/float64(compared) - average
	if excess < math.Log(levelFactor) {
		return false
	}
	return excess > deviations*math.Sqrt((deviation*deviation+levelNoise)/float64(compared)+deviation*deviation/float64(n))
}
