package enginemodel

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// learned returns a model of an engine, with what its fleet has in common.
func learned(now time.Time, e engine) (*Model, *Fleet) {
	m, f := &Model{}, &Fleet{}
	observe(m, f, now, e, 300)
	return m, f
}

// TestStartingEntryForecasts guards against long prompts at a slow engine after the restart of an
// entry, which has observed nothing: it forecasts by what others sent as well as they do.
func TestStartingEntryForecasts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var fresh Model
	for _, speed := range []float64{0.55, 1, 2.8} {
		m, f := learned(now, engine{speed: speed, chunk: 2048})
		e, ok := m.Estimate(now, f, "s")
		is.True(ok)
		data, err := json.Marshal(Digest{From: "a", List: []Estimate{e}})
		is.NoErr(err)
		is.True(len(data) < 200)
		d, rejected, err := DecodeDigest(data)
		is.NoErr(err)
		is.Equal(rejected, 0)
		fresh = Model{}
		is.True(fresh.Merge(now, d.List[0]))
		known := f.Common(now, one(m))
		common := fresh.common(now)
		is.True(common.Known)
		want := firstEvent(m, now, &known, 6000)
		is.True(math.Abs(firstEvent(&fresh, now, &common, 6000)-want) < 0.1*want)
		want = longestGap(m, now, &known, 6000)
		is.True(math.Abs(longestGap(&fresh, now, &common, 6000)-want) < 0.1*want)
		// After MaxAge nothing is known again.
		later := now.Add(MaxAge)
		common = fresh.common(later)
		is.Equal(firstEvent(&fresh, later, &common, 6000), 0.0)
	}
	// An entry passes on nothing that it did not observe.
	_, ok := fresh.Estimate(now, &Fleet{}, "s")
	is.True(!ok)
}

// common returns what is known of a fleet of one engine of which nothing was observed.
func (m *Model) common(now time.Time) Common {
	var f Fleet
	return f.Common(now, one(m))
}

// TestMergeNewerAndBetterKnown guards against forecasts by an estimate that is older, known less well,
// or arrives again, and against an estimate of others that replaces fresh observations.
func TestMergeNewerAndBetterKnown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	estimate := func(gap float64, samples int, age time.Duration) Estimate {
		return Estimate{Server: "s", GapMs: gap, PerTokenUs: 20, OverheadMs: 50, Samples: samples, AgeMs: age.Milliseconds()}
	}
	var m Model
	is.True(m.Merge(now, estimate(20, 40, 5*time.Second)))
	is.True(!m.Merge(now, estimate(20, 40, 5*time.Second))) // again
	is.True(!m.Merge(now, estimate(90, 40, 6*time.Second))) // older
	is.True(!m.Merge(now, estimate(90, 5, 0)))              // known less well
	is.True(!m.Merge(now, estimate(90, 50, MaxAge)))        // too old
	is.Equal(m.gap(now), 0.02)
	is.True(m.Merge(now, estimate(30, 40, 0)))
	is.Equal(m.gap(now), 0.03)
	// With age a known estimate gives way to one with fewer samples.
	later := now.Add(25 * time.Second)
	is.True(m.Merge(later, estimate(50, 10, 0)))
	// Own observations come before those of others, unless they are older.
	var f Fleet
	for range 50 {
		m.AddGaps(later, &f, 1, 70*time.Millisecond, Generating, 0)
	}
	is.Equal(m.gap(later), 0.07)
	later = later.Add(5 * time.Second)
	is.True(m.Merge(later, estimate(90, 50, 0)))
	is.Equal(m.gap(later), 0.09)
	// What others sent is not passed on as an observation of this entry.
	e, ok := m.Estimate(later, &f, "s")
	is.True(ok)
	is.Equal(e.GapMs, 70.0)
}

// TestAbsurdDigest guards against calls that wait or go to the wrong engine because of numbers that
// can't be: such estimates are removed, the others stay.
func TestAbsurdDigest(t *testing.T) {
	good := `{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":0.01,"n":40,"age_ms":100}`
	for name, bad := range map[string]string{
		"negative gap":      `{"server":"s","gap_ms":-25,"per_token_us":16,"overhead_ms":30,"late":0,"n":40}`,
		"no gap":            `{"server":"s","per_token_us":16,"overhead_ms":30,"late":0,"n":40}`,
		"gap of hours":      `{"server":"s","gap_ms":1e9,"per_token_us":16,"overhead_ms":30,"late":0,"n":40}`,
		"overhead of hours": `{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":1e9,"late":0,"n":40}`,
		"token of hours":    `{"server":"s","gap_ms":25,"per_token_us":1e12,"overhead_ms":30,"late":0,"n":40}`,
		"negative token":    `{"server":"s","gap_ms":25,"per_token_us":-1,"overhead_ms":30,"late":0,"n":40}`,
		"more than all":     `{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":1.01,"n":40}`,
		"no samples":        `{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":0}`,
		"negative samples":  `{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":0,"n":-1}`,
		"from the future":   `{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":0,"n":40,"age_ms":-1}`,
		"from long ago":     `{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":0,"n":40,"age_ms":9000000000000000}`,
		"no server":         `{"gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":0,"n":40}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, rejected, err := DecodeDigest([]byte(`{"from":"a","list":[` + bad + `,` + good + `]}`))
			is.NoErr(err)
			is.Equal(rejected, 1)
			is.Equal(len(d.List), 1)
			is.Equal(d.List[0].GapMs, 25.0)
			var e Estimate
			is.NoErr(json.Unmarshal([]byte(bad), &e))
			var m Model
			is.True(!m.Merge(time.Now(), e))
			is.Equal(m, Model{})
		})
	}
	for _, data := range []string{"", "{", `{"list":[{"gap_ms":1e999}]}`, `{"list":{"server":1}}`, `{"list":[{"n":1.5}]}`} {
		if _, _, err := DecodeDigest([]byte(data)); err == nil {
			t.Errorf("%q was decoded", data)
		}
	}
	// Values that JSON can't carry are refused as well.
	for _, v := range []float64{math.NaN(), math.Inf(1)} {
		var m Model
		if m.Merge(time.Now(), Estimate{Server: "s", GapMs: v, Samples: 1}) || m.Merge(time.Now(), Estimate{Server: "s", GapMs: 1, Late: v, Samples: 1}) {
			t.Errorf("%v was taken over", v)
		}
	}
}

// TestChangedEstimates guards against messages each second for values that barely differ, and against
// receivers that forget an engine that works as before.
func TestChangedEstimates(t *testing.T) {
	is := is.New(t)
	before := Estimate{GapMs: 25, PerTokenUs: 16, OverheadMs: 30, Samples: 40}
	same := before
	same.GapMs, same.Samples = 26, 90
	is.True(!same.Changed(before, time.Second))
	is.True(same.Changed(before, MaxAge/2))
	slower := before
	slower.GapMs = 60
	is.True(slower.Changed(before, time.Second))
}

// FuzzDecodeDigest guards against a digest that stops the decoder or yields a forecast that is no
// time.
func FuzzDecodeDigest(f *testing.F) {
	f.Add([]byte(`{"from":"a","list":[{"server":"s","gap_ms":25,"per_token_us":16,"overhead_ms":30,"late":0.01,"n":40,"age_ms":100}]}`))
	f.Add([]byte(`{"list":[{"server":"s","gap_ms":5e-324,"per_token_us":6e7,"overhead_ms":6e4,"late":1,"n":1}]}`))
	f.Add([]byte(`{"list":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, rejected, err := DecodeDigest(data)
		if err != nil {
			return
		}
		if rejected < 0 || len(d.List) > maxServers {
			t.Fatalf("%d rejected, %d kept", rejected, len(d.List))
		}
		now := time.Now()
		for _, e := range d.List {
			var m Model
			m.Merge(now, e)
			c := m.common(now)
			for _, s := range []float64{firstEvent(&m, now, &c, 60000), longestGap(&m, now, &c, 60000), m.Gap(now, &c)} {
				if math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
					t.Fatalf("%+v: forecast %v", e, s)
				}
			}
		}
	})
}
