package enginemodel

import (
	"encoding/json"
	"math"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// MaxAge is the age from which what another entry learned is not used: engines share their
	// machines, and what they do changes within seconds.
	MaxAge = 30 * time.Second
	// maxTime bounds the plausible times of an estimate.
	maxTime = time.Minute
	// minGapMs is the shortest plausible gap, far below that of any engine.
	minGapMs = 0.01
	// maxSamples bounds the plausible number of samples; a front of the largest deployment observes
	// less than a million events in an hour.
	maxSamples = 1 << 40
	// maxServers and maxName bound the list and the names of a digest. The largest system has 4,096
	// servers.
	maxServers, maxName = 4096, 256
	// trustedSamples is the number of samples from which more make an estimate no better known.
	trustedSamples = 50
	// staleAfter is how much newer than this entry's own gaps those of another must be to be used
	// instead.
	staleAfter = 2 * time.Second
)

// Estimate is what one entry learned of one engine by its own calls.
type Estimate struct {
	// Server is the engine's Instance.IncarnationID.
	Server string `json:"server"`
	// GapMs is the mean gap between events while no prompt is processed, in milliseconds.
	GapMs float64 `json:"gap_ms"`
	// PerTokenUs is the time for each unprocessed prompt token in microseconds, and OverheadMs the
	// time to a first event without it, in milliseconds. Both are 0 if no prompt was observed.
	PerTokenUs float64 `json:"per_token_us"`
	OverheadMs float64 `json:"overhead_ms"`
	// Late is the fraction of gaps that were longer than callers allow.
	Late float64 `json:"late"`
	// Samples is the number of gaps and prompts, and AgeMs the time since the last, in milliseconds.
	Samples int   `json:"n"`
	AgeMs   int64 `json:"age_ms"`
}

// Digest is the message with what an entry learned.
type Digest struct {
	// From is the name of the sending entry.
	From string     `json:"from"`
	List []Estimate `json:"list"`
}

// DecodeDigest decodes a digest. It removes implausible estimates and returns their number.
func DecodeDigest(data []byte) (d Digest, rejected int, err error) {
	if err := json.Unmarshal(data, &d); err != nil {
		return Digest{}, 0, errorx.Decorate(err, "decode the digest")
	}
	if len(d.From) > maxName || len(d.List) > maxServers {
		return Digest{}, 0, errorx.IllegalFormat.New("a digest with %d engines and a name of %d bytes", len(d.List), len(d.From))
	}
	kept := d.List[:0]
	for _, e := range d.List {
		if e.plausible() {
			kept = append(kept, e)
		}
	}
	rejected = len(d.List) - len(kept)
	d.List = kept
	return d, rejected, nil
}

// plausible reports whether the values of an estimate are possible.
func (e *Estimate) plausible() bool {
	if e.Server == "" || len(e.Server) > maxName || e.Samples <= 0 || e.Samples > maxSamples {
		return false
	}
	return e.GapMs >= minGapMs && within(e.GapMs, float64(maxTime/time.Millisecond)) &&
		within(e.OverheadMs, float64(maxTime/time.Millisecond)) &&
		within(e.PerTokenUs, float64(maxTime/time.Microsecond)) &&
		within(e.Late, 1) && within(float64(e.AgeMs), float64(maxTime/time.Millisecond))
}

// within reports whether a value is a number from 0 to a limit.
func within(v, limit float64) bool { return !math.IsNaN(v) && v >= 0 && v <= limit }

// AgedBy returns the estimate as it reads when d has passed since it was received.
func (e Estimate) AgedBy(d time.Duration) Estimate {
	e.AgeMs += d.Milliseconds()
	return e
}

// remote is the best estimate of another entry.
type remote struct {
	// gap is in seconds, and overhead and perToken in gaps; the latter are 0 if unknown.
	gap, overhead, perToken float64
	late                    float64
	samples                 int
	at                      time.Time
}

// weight returns how well the estimate is known at a time: by its samples and its age; 0 if it is too
// old or there is none.
func (r *remote) weight(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.samples == 0 || age >= MaxAge {
		return 0
	}
	return float64(min(r.samples, trustedSamples)) * (1 - max(age, 0).Seconds()/MaxAge.Seconds())
}

// Merge takes over the estimate of another entry if it is better known, by samples and age, than the
// one kept so far, and reports whether it did. What this entry learned by its own calls is not
// changed, so an estimate that arrives again has no effect.
func (m *Model) Merge(now time.Time, e Estimate) bool {
	if !e.plausible() {
		return false
	}
	r := remote{gap: e.GapMs / 1e3, late: e.Late, samples: e.Samples, at: now.Add(-time.Duration(e.AgeMs) * time.Millisecond)}
	r.overhead, r.perToken = e.OverheadMs/e.GapMs, e.PerTokenUs/e.GapMs/1e3
	if r.weight(now) <= m.remote.weight(now) {
		return false
	}
	m.remote = r
	return true
}

// Estimate returns what was learned by this entry's own calls, for the others; ok is false if that is
// nothing, or nothing since MaxAge. It holds nothing that others sent: an estimate that was passed on
// would seem confirmed by each entry that it passes.
func (m *Model) Estimate(now time.Time, f *Fleet, server string) (e Estimate, ok bool) {
	gap := m.ownGap(now)
	if gap == 0 || now.Sub(m.updated) >= MaxAge {
		return Estimate{}, false
	}
	e = Estimate{
		Server: server, GapMs: round(gap*1e3, 100), Late: round(m.late, 1000),
		Samples: m.any.n + m.read, AgeMs: max(now.Sub(m.updated), 0).Milliseconds(),
	}
	if overhead, perToken, ok := f.line.fit(); ok && m.read > 0 {
		overhead, perToken = m.prompts.fitWithPrior(overhead, perToken)
		e.OverheadMs, e.PerTokenUs = round(gap*overhead*1e3, 10), round(gap*perToken*1e6, 100)
	}
	return e, e.plausible()
}

// Changed reports whether an estimate differs from the one sent before by more than a tenth, or is
// newer by a third of MaxAge, after which the receiver's is known less well.
func (e *Estimate) Changed(before Estimate, since time.Duration) bool {
	differs := func(a, b float64) bool { return math.Abs(a-b) > 0.1*max(a, b) }
	return differs(e.GapMs, before.GapMs) || differs(e.PerTokenUs, before.PerTokenUs) || differs(e.OverheadMs, before.OverheadMs) ||
		math.Abs(e.Late-before.Late) > 0.02 || since > MaxAge/3 && e.Samples > before.Samples
}

// round rounds a value to a fraction of 1, as JSON writes all digits.
func round(v, fraction float64) float64 { return math.Round(v*fraction) / fraction }
