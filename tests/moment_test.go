package tests

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/runworks/runworks/standin"
)

var (
	momentSeed     = flag.Int64("moment-seed", 1, "seed from which pairs of events at points of streams are drawn")
	momentPairs    = flag.Int("moment-pairs", 32, "how many pairs are played")
	momentPattern  = flag.String("moment-pattern", "", "play only pairs whose names match this expression")
	momentParallel = flag.Int("moment-parallel", 4, "how many pairs are played at once")
	momentNumber   = flag.Int("moment-number", -1, "play only the pair with this number; negative plays all")
	momentAll      = flag.Bool("moment-all", false, "play those in which nothing tells that a stream is not whole, too")
)

// momentNamed is how many pairs that were never played are named.
const momentNamed = 200

// momentReport counts what was played.
type momentReport struct {
	mu sync.Mutex
	// events are the numbers of plays in which an event happened as the first and as the second one, and pairs and points
	// those in which both did.
	events        map[string]*[2]int
	pairs, points map[string]int
	// kinds are the numbers of plays by the kind of the calls that stop.
	kinds map[momentKind]int
	// reasons are the plays in which events did not happen, or that could not be played, by the reason.
	reasons map[string][]string
	// played, both and same are the numbers of plays, of those in which both events happened, and of those of these in which
	// they did at points of one stream; streams, whole and cut those of
	// streams, of whole ones, and of attempts that were cut.
	played, both, same  int
	streams, whole, cut int
	faults              map[string]int
	failed              []string
}

// TestMoments guards against streams that look complete too early, mix versions or runs, or have events missing, repeated or out of
// order, responses of another call, and calls that run twice, where two things happen at points of the same stream.
func TestMoments(t *testing.T) {
	count := max(*momentPairs, *momentNumber+1)
	plays, again := drawMoments(*momentSeed, count, regexp.MustCompile(*momentPattern), *momentAll)
	if *momentNumber >= 0 {
		plays = slices.DeleteFunc(plays, func(d momentDraw) bool { return d.number != *momentNumber })
	}
	report := &momentReport{events: map[string]*[2]int{}, pairs: map[string]int{}, points: map[string]int{}, reasons: map[string][]string{}, faults: map[string]int{}, kinds: map[momentKind]int{}}
	places := make(chan struct{}, *momentParallel)
	t.Run("play", func(t *testing.T) {
		for _, d := range plays {
			if d.reason != "" {
				t.Logf("%d-%d can't be played: %s: %s, %s", *momentSeed, d.number, d.reason, d.play.pair[0].name, d.play.pair[1].name)
				report.reasons["pair: "+d.reason] = append(report.reasons["pair: "+d.reason], fmt.Sprintf("%d-%d", *momentSeed, d.number))
				continue
			}
			t.Run(fmt.Sprintf("%d-%d %s", *momentSeed, d.number, d.play.name()), func(t *testing.T) {
				t.Parallel()
				places <- struct{}{}
				defer func() { <-places }()
				playMoment(t, d, report)
			})
		}
	})
	for _, reason := range slices.Sorted(maps.Keys(again)) {
		t.Logf("%d times points or a form were drawn again: %s", again[reason], reason)
	}
	report.log(t)
	if report.both*3 < report.played*2 {
		t.Errorf("both events happened in only %d of %d plays", report.both, report.played)
	}
}

// playMoment plays a pair and checks what callers got and servers ran.
func playMoment(t *testing.T, d momentDraw, report *momentReport) {
	p := newMomentSite(t, d.play)
	result := p.run()
	faults := checkMoment(p.streams, p.ran())
	for _, f := range faults {
		t.Errorf("%s: %s: %s", f.rule, f.kind, f.text)
	}
	p.checkFronts()
	report.add(t, p, d.number, result, faults)
}

// add counts a play.
func (r *momentReport) add(t *testing.T, p *momentSite, number int, result momentResult, faults []momentFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.played++
	r.kinds[p.play.kind]++
	for i, event := range p.play.events() {
		if r.events[event.name] == nil {
			r.events[event.name] = &[2]int{}
		}
		if result.reasons[i] == "" {
			r.events[event.name][i]++
		} else {
			reason := fmt.Sprintf("event %d: %s", i+1, result.reasons[i])
			r.reasons[reason] = append(r.reasons[reason], fmt.Sprintf("%d-%d", *momentSeed, number))
			t.Logf("event %d did not happen: %s", i+1, result.reasons[i])
		}
	}
	if result.reasons == [2]string{} {
		r.both++
		if result.same {
			r.same++
		}
		r.pairs[p.play.pair[0].name+", then "+p.play.pair[1].name]++
		r.points[fmt.Sprint(p.play.points[0], ", then ", p.play.points[1])]++
	}
	for _, f := range faults {
		r.faults[fmt.Sprint(f.rule, ": ", f.kind)]++
	}
	if t.Failed() {
		r.failed = append(r.failed, t.Name())
	}
	whole, cut, outcomes := 0, 0, map[string]int{}
	for _, s := range p.streams {
		if slices.ContainsFunc(s.chains, func(c *momentChain) bool { return c.whole }) {
			whole++
		}
		for _, c := range s.calls {
			outcomes[c.outcome()]++
			if c.status == http.StatusOK && c.err != nil {
				cut++
			}
		}
	}
	r.whole, r.cut, r.streams = r.whole+whole, r.cut+cut, r.streams+len(p.streams)
	t.Logf("%d of %d streams whole, attempts %v", whole, len(p.streams), outcomes)
}

// momentPointPairs returns the names of all pairs of points.
func momentPointPairs() []string {
	var out []string
	for _, points := range [][]standin.Point{momentPoints, momentPlainPoints} {
		for i, first := range points {
			for _, second := range points[i:] {
				if name := fmt.Sprint(first, ", then ", second); !slices.Contains(out, name) {
					out = append(out, name)
				}
			}
		}
	}
	for _, points := range momentLate {
		out = append(out, fmt.Sprint(points[0], ", then ", points[1]))
	}
	return out
}

// log logs what was played, how often, and what was not.
func (r *momentReport) log(t *testing.T) {
	events := momentEvents()
	var out strings.Builder
	fmt.Fprintf(&out, "plays by kind of call: %v\n", r.kinds)
	fmt.Fprintf(&out, "%d plays, both events in %d, at one stream in %d; %d of %d streams whole, %d attempts cut\n", r.played, r.both, r.same, r.whole, r.streams, r.cut)
	for _, event := range events {
		n := r.events[event.name]
		if n == nil {
			n = &[2]int{}
		}
		fmt.Fprintf(&out, "%4d first, %4d second: %s\n", n[0], n[1], event.name)
	}
	var never []string
	for _, name := range momentPointPairs() {
		if r.points[name] == 0 {
			never = append(never, name)
		} else {
			fmt.Fprintf(&out, "%4d at %s\n", r.points[name], name)
		}
	}
	fmt.Fprintf(&out, "points never played: %s\n", strings.Join(never, "; "))
	r.writePairs(&out, events)
	for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
		fmt.Fprintf(&out, "%4d not played: %s: %s\n", len(r.reasons[reason]), reason, strings.Join(r.reasons[reason], ", "))
	}
	for _, kind := range slices.Sorted(maps.Keys(r.faults)) {
		fmt.Fprintf(&out, "%4d faults: %s\n", r.faults[kind], kind)
	}
	slices.Sort(r.failed)
	for _, name := range r.failed {
		fmt.Fprintf(&out, "failed: %s\n", name)
	}
	t.Log(out.String())
}

// writePairs writes how many pairs were played how often, and those that never were if they are few.
func (r *momentReport) writePairs(out *strings.Builder, events []momentEvent) {
	times := map[int]int{}
	var never []string
	for _, first := range events {
		for _, second := range events {
			name := first.name + ", then " + second.name
			times[r.pairs[name]]++
			if r.pairs[name] == 0 {
				never = append(never, name)
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(times)) {
		fmt.Fprintf(out, "%4d pairs of events played %d times\n", times[n], n)
	}
	if len(never) <= momentNamed {
		fmt.Fprintf(out, "pairs of events never played: %s\n", strings.Join(never, "; "))
	}
}
