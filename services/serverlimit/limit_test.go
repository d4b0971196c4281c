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

// TestLimit runs a server's reports and one entry's requests from the data file. Each line begins
// with its time in milliseconds.
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
			fields := strings.SplitN(line, " ", 3)
			rest := fields[len(fields)-1]
			var err error
			if text, ok := playColdStart(&l, now, verb, rest); ok {
				fmt.Fprintf(&out, "%d %s\n", ms, text)
				continue
			}
			switch verb {
			case "name": // the limit, and when the server reported it
				_, err = fmt.Sscan(rest, &perSecond, &other)
				fmt.Fprintf(&out, "%d news=%t\n", ms, l.Set(now, at(other), perSecond))
			case "end": // when the request was sent
				_, err = fmt.Sscan(rest, &other)
				fmt.Fprintf(&out, "%d news=%t\n", ms, l.Clear(now, now, at(other)))
			case "share": // the entry's index, and the number of entries
				_, err = fmt.Sscan(rest, &other, &n)
				l.SetShare(now, ShareOf(l.PerSecond(now), other, n))
			case "send": // the number of requests
				_, err = fmt.Sscan(rest, &n)
				sent := 0
				for range n {
					if l.Admits(now) {
						l.Consume(now)
						sent++
					}
				}
				fmt.Fprintf(&out, "%d sent=%d next=%.2f\n", ms, sent, l.Wait(now))
			case "donate": // the number of permits requested
				_, err = fmt.Sscan(rest, &n)
				fmt.Fprintf(&out, "%d lent=%d next=%.2f\n", ms, l.Donate(now, n), l.Wait(now))
			case "transfer": // the number of permits, and of requests sent
				_, err = fmt.Sscan(rest, &n, &other)
				l.AddTransferred(n)
				for range other {
					l.Consume(now)
				}
				fmt.Fprintf(&out, "%d next=%.2f\n", ms, l.Wait(now))
				l.DropTransferred()
			case "state":
				reported, given := l.Reported()
				fmt.Fprintf(&out, "%d in-force=%t over=%t word=%+v of %d\n", ms, l.Active(now), l.Expired(now), reported, max(given.Sub(start), 0).Milliseconds())
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

// playColdStart runs the verbs of cold starts and reports whether verb is one.
func playColdStart(l *Limit, now time.Time, verb, rest string) (string, bool) {
	switch verb {
	case "cold": // the limit, and until when
		var perSecond float64
		var until int
		if _, err := fmt.Sscan(rest, &perSecond, &until); err != nil {
			return err.Error(), true
		}
		return fmt.Sprintf("news=%t", l.SetColdStart(now, start.Add(time.Duration(until)*time.Millisecond), perSecond)), true
	case "expire":
		return fmt.Sprintf("share=%t rate=%.2f in-force=%t", l.RemoveExpired(now), l.PerSecond(now), l.Active(now)), true
	}
	return "", false
}

// TestShares checks the sum of all entries' shares: the rates add up to the limit or the minimum
// rate, and the bursts to no more than a second's worth and ExtraBurst. An entry with a share may
// send a whole request.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 2000), rapid.Just(1e300)).Draw(t, "limit")
		entries := rapid.IntRange(1, 400).Draw(t, "entries")
		var rate, atOnce float64
		for ahead := range entries {
			share := ShareOf(limit, ahead, entries)
			rate += share.PerSecond
			atOnce += share.Burst
			if share.PerSecond > 0 && share.Burst < 1 {
				t.Fatalf("%+v admits nothing", share)
			}
		}
		limit = max(limit, minRate)
		if math.Abs(rate-limit) > 1e-6*limit || atOnce > (limit+ExtraBurst)*(1+1e-6) {
			t.Fatalf("%g a second and %g at once, of %g", rate, atOnce, limit)
		}
	})
}

// TestSharesInSpan has all entries send what they may at random times: in any four seconds the
// server gets at most one and a half times its limit and five requests more.
func TestSharesInSpan(t *testing.T) {
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

// TestNoLimit checks that without a limit every request is admitted and nothing is reported.
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

// TestColdStartInSecond has all entries send what they may to a server that starts up, each from a
// random moment on: in no second does it get more than its limit.
func TestColdStartInSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.Float64Range(5, 200).Draw(t, "most")
		n := rapid.IntRange(1, 400).Draw(t, "entries")
		limits := make([]Limit, n)
		until := start.Add(10 * time.Second)
		for i := range limits {
			limits[i].SetColdStart(start, until, RateWithin(most))
			limits[i].SetShare(start, ShareOf(RateWithin(most), i, n))
		}
		var sent []time.Time
		first := 0
		now := start
		for now.Before(until.Add(-time.Second)) {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			for i := range limits {
				for limits[i].Admits(now) {
					limits[i].Consume(now)
					sent = append(sent, now)
				}
			}
			for first < len(sent) && now.Sub(sent[first]) > time.Second {
				first++
			}
			if got := len(sent) - first; float64(got) > most {
				t.Fatalf("%d in a second, %g allowed", got, most)
			}
		}
	})
}
