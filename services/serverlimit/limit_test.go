package serverlimit

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLimit plays the words of servers and the sends of one entry from the data file: each
// line begins with its time in milliseconds.
func TestLimit(t *testing.T) {
	datadriven.RunTest(t, "testdata/limit", func(t *testing.T, d *datadriven.TestData) string {
		var l Limit
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var ms, other, n int
			var perSecond float64
			var verb string
			if _, err := fmt.Sscan(line, &ms, &verb); err != nil {
				d.Fatalf(t, "%s: %v", line, err)
			}
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			now := at(ms)
			words := strings.SplitN(line, " ", 3)
			rest := words[len(words)-1]
			var err error
			switch verb {
			case "name": // the limit, and when the server gave its word
				_, err = fmt.Sscan(rest, &perSecond, &other)
				fmt.Fprintf(&out, "%d news=%t\n", ms, l.Set(now, at(other), perSecond))
			case "end": // when the request was sent
				_, err = fmt.Sscan(rest, &other)
				fmt.Fprintf(&out, "%d news=%t\n", ms, l.Clear(now, now, at(other)))
			case "share": // how many come before it, of how many
				_, err = fmt.Sscan(rest, &other, &n)
				l.SetShare(now, ShareOf(l.PerSecond(), other, n))
			case "send": // tries so many
				_, err = fmt.Sscan(rest, &n)
				sent := 0
				for range n {
					if l.Admits(now) {
						l.Consume(now)
						sent++
					}
				}
				fmt.Fprintf(&out, "%d sent=%d next=%.2f\n", ms, sent, l.Wait(now))
			case "lend": // asks for so many
				_, err = fmt.Sscan(rest, &n)
				fmt.Fprintf(&out, "%d lent=%d next=%.2f\n", ms, l.Donate(now, n), l.Wait(now))
			case "borrow": // so many, of which some are sent
				_, err = fmt.Sscan(rest, &n, &other)
				l.AddTransferred(n)
				for range other {
					l.Consume(now)
				}
				fmt.Fprintf(&out, "%d next=%.2f\n", ms, l.Wait(now))
				l.DropTransferred()
			case "state":
				word, given := l.Reported()
				fmt.Fprintf(&out, "%d in-force=%t over=%t word=%+v of %d\n", ms, l.Active(now), l.Expired(now), word, max(given.Sub(start), 0).Milliseconds())
			default:
				d.Fatalf(t, "no verb %s", verb)
			}
			if err != nil {
				d.Fatalf(t, "%s: %v", line, err)
			}
		}
		return out.String()
	})
}

// TestParts adds the parts of all entries up: no more than the limit, or than the least rate,
// and all that they may send at once no more than a second's worth and Extra. Who has a part
// may send a whole request.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 2000), rapid.Just(1e300)).Draw(t, "limit")
		entries := rapid.IntRange(1, 400).Draw(t, "entries")
		var rate, atOnce float64
		for ahead := range entries {
			part := ShareOf(limit, ahead, entries)
			rate += part.PerSecond
			atOnce += part.Burst
			if part.PerSecond > 0 && part.Burst < 1 {
				t.Fatalf("%+v gives nothing", part)
			}
		}
		limit = max(limit, leastRate)
		if math.Abs(rate-limit) > 1e-6*limit || atOnce > (limit+ExtraBurst)*(1+1e-6) {
			t.Fatalf("%g a second and %g at once, of %g", rate, atOnce, limit)
		}
	})
}

// TestPartsInSpan has all entries send what they may, whenever they like: in any four
// seconds the server gets at most one and a half times its limit and five requests more.
func TestPartsInSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 4 * time.Second
		perSecond := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 100)).Draw(t, "limit")
		n := rapid.IntRange(1, 110).Draw(t, "entries")
		limits := make([]Limit, n)
		for i := range limits {
			limits[i].Set(start, start, perSecond)
			limits[i].SetShare(start, ShareOf(perSecond, i, n))
		}
		var sent []time.Time
		now := start
		first := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
			who := rapid.SampledFrom([]int{-1, -1, 0, n / 2, n - 1}).Draw(t, "who")
			for i := range limits {
				for (who < 0 || who == i) && limits[i].Admits(now) {
					limits[i].Consume(now)
					sent = append(sent, now)
				}
			}
			for first < len(sent) && now.Sub(sent[first]) > span {
				first++
			}
			if got, allowed := len(sent)-first, 1.5*span.Seconds()*perSecond+5; float64(got) > allowed {
				t.Fatalf("%d in %s at %g a second, %g allowed", got, span, perSecond, allowed)
			}
		}
	})
}

// TestNoLimit lets everything pass, and tells nothing.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	var l Limit
	for range 1000 {
		is.True(l.Admits(start))
		l.Consume(start)
	}
	is.True(!l.Active(start))
	is.True(!l.Expired(start))
	word, _ := l.Reported()
	is.True(!word.Named)
}
