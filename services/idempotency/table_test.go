package idempotency

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/control"
)

// CI gives the same verdict every run; -rapid.seed on the command line goes first.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "5000")
}

var start = time.UnixMilli(1_800_000_000_000)

// mint makes a UUIDv7 of a time.
func mint(at time.Time, n byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

func newHome(at time.Time) *Table {
	return &Table{Started: at, MaxClockSkew: time.Second, Retention: time.Minute, MaxKeys: 100}
}

func neverElsewhere(time.Time) bool { return false }

// keyCall is a call of a caller at an entry, as far as it got.
type keyCall struct {
	id      runworks.RequestID
	key     string
	source  runworks.Incarnation
	granted bool
	run     control.RunLocation
}

// keyWorld is the oracle: which keys ran, and which were told not-run.
type keyWorld struct {
	home  *Table
	now   time.Time
	next  int
	calls []*keyCall
	keys  []string
	ran   map[string]int
	told  map[string]bool
}

func (w *keyWorld) check(t *rapid.T) {
	for key, n := range w.ran {
		if n > 1 {
			t.Fatalf("key %s ran %d times", key, n)
		}
		if w.told[key] {
			t.Fatalf("key %s ran and a caller was told not-run", key)
		}
	}
}

// TestKeysAtMostOnce drives a home at random with calls that are claimed, bound,
// ended, lost and late, with restarts and time, and checks that no key runs
// twice, and none that was told not-run.
func TestKeysAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &keyWorld{home: newHome(start), now: start.Add(2 * time.Second), ran: map[string]int{}, told: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(*rapid.T) {
				w.next++
				w.keys = append(w.keys, mint(w.now, byte(w.next)))
			},
			"claim":   w.claim,
			"bind":    w.bind,
			"end":     w.end,
			"free":    w.free,
			"lost":    func(t *rapid.T) { w.home.ReleaseSource(w.source(t)) },
			"restart": func(*rapid.T) { w.home = newHome(w.now) },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			},
			"": w.check,
		})
	})
}

func (w *keyWorld) source(t *rapid.T) runworks.Incarnation {
	return runworks.Incarnation(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "source"))
}

// claim begins a call under one of the keys, or repeats the claim of a call.
func (w *keyWorld) claim(t *rapid.T) {
	if len(w.keys) == 0 {
		return
	}
	w.next++
	c := &keyCall{id: runworks.RequestID(fmt.Sprint(w.next)), key: rapid.SampledFrom(w.keys).Draw(t, "key"), source: w.source(t)}
	if len(w.calls) > 0 && rapid.Bool().Draw(t, "again") {
		c = rapid.SampledFrom(w.calls).Draw(t, "call")
	} else {
		w.calls = append(w.calls, c)
	}
	reply := w.home.Claim(w.now, c.source, &control.KeyClaim{Customer: "c", Key: c.key, Digest: "d", ID: c.id}, neverElsewhere)
	c.granted = c.granted || reply.Verdict == control.KeyFresh
}

func (w *keyWorld) pick(t *rapid.T) *keyCall {
	if len(w.calls) == 0 {
		return nil
	}
	return rapid.SampledFrom(w.calls).Draw(t, "call")
}

// bind binds a call that was let in, perhaps long ago; a bound call runs. It
// binds again only as an entry does: never, as it has run.
func (w *keyWorld) bind(t *rapid.T) {
	c := w.pick(t)
	if c == nil || !c.granted || c.run.ID != "" {
		return
	}
	run := control.RunLocation{ID: c.id.Attempt(1), Server: "e1"}
	if w.home.Bind(&control.KeyBind{Customer: "c", Key: c.key, Run: run}) {
		c.run = run
		if rapid.Bool().Draw(t, "starts") {
			w.ran[c.key]++
		} else {
			c.run.Server = "" // tombstoned at its agent
		}
	}
}

// end says that a call did not run: before it was bound, or after its run was
// found not to have started.
func (w *keyWorld) end(t *rapid.T) {
	c := w.pick(t)
	if c == nil || c.run.Server != "" {
		return
	}
	if w.home.End(&control.KeyRelease{Customer: "c", Key: c.key, ID: c.id}) {
		w.told[c.key] = true
	}
}

// free says of a run that it was found not to have started.
func (w *keyWorld) free(t *rapid.T) {
	c := w.pick(t)
	if c == nil || c.run.ID == "" || c.run.Server != "" {
		return
	}
	w.home.End(&control.KeyRelease{Customer: "c", Key: c.key, Run: c.run.ID})
}

// TestVerdicts walks through what a home says to one key.
func TestVerdicts(t *testing.T) {
	now := start.Add(10 * time.Second)
	key := mint(now, 1)
	elsewhere := func(time.Time) bool { return true }
	tests := []struct {
		name      string
		key       string
		elsewhere OwnedElsewhere
		prepare   func(h *Table)
		want      control.KeyVerdict
	}{
		{"fresh", key, neverElsewhere, nil, control.KeyFresh},
		{"minted before the home began", mint(start.Add(-time.Second), 1), neverElsewhere, nil, control.KeyTooOld},
		{"minted within the skew of the beginning", mint(start.Add(500*time.Millisecond), 1), neverElsewhere, nil, control.KeyTooOld},
		{"minted in the future", mint(now.Add(2*time.Second), 1), neverElsewhere, nil, control.KeyEarly},
		{"had another home", key, elsewhere, nil, control.KeyTooOld},
		{"another comer waits", key, neverElsewhere, func(h *Table) { claimFirst(h, now, key, "d") }, control.KeyWaiting},
		{"used for another request", key, neverElsewhere, func(h *Table) { claimFirst(h, now, key, "other") }, control.KeyReused},
		{"told not-run", key, neverElsewhere, func(h *Table) {
			claimFirst(h, now, key, "d")
			h.End(&control.KeyRelease{Customer: "c", Key: key, ID: "first"})
		}, control.KeySpent},
		{"its entry was lost", key, neverElsewhere, func(h *Table) {
			claimFirst(h, now, key, "d")
			h.ReleaseSource("x")
		}, control.KeyFresh},
		{"runs", key, neverElsewhere, func(h *Table) {
			claimFirst(h, now, key, "d")
			h.Bind(&control.KeyBind{Customer: "c", Key: key, Run: control.RunLocation{ID: "first.1"}})
			h.ReleaseSource("x")
		}, control.KeyBound},
		{"no room", key, neverElsewhere, func(h *Table) { h.MaxKeys = 0 }, control.KeyFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHome(start)
			if test.prepare != nil {
				test.prepare(h)
			}
			reply := h.Claim(now, "y", &control.KeyClaim{Customer: "c", Key: test.key, Digest: "d", ID: "second"}, test.elsewhere)
			is.Equal(reply.Verdict, test.want)
		})
	}
}

func claimFirst(h *Table, now time.Time, key, digest string) {
	h.Claim(now, "x", &control.KeyClaim{Customer: "c", Key: key, Digest: digest, ID: "first"}, neverElsewhere)
}

// BenchmarkClaim measures a claim of a key with 100,000 records.
func BenchmarkClaim(b *testing.B) {
	h := newHome(start)
	h.MaxKeys = 1 << 30
	now := start.Add(10 * time.Second)
	claims := make([]control.KeyClaim, 100_000)
	for i := range claims {
		key := mint(now, byte(i))[:30] + fmt.Sprintf("%06x", i)
		claims[i] = control.KeyClaim{Customer: "c", Key: key, Digest: "d", ID: "id"}
		h.Claim(now, "x", &claims[i], neverElsewhere)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Claim(now, "x", &claims[i%len(claims)], neverElsewhere)
	}
}
