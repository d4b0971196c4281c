package tests

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

// momentDraws is how often the points and the form of a pair are drawn until it can be played.
const momentDraws = 200

// momentRounds is how often each pair is drawn at most.
const momentRounds = 20

// momentForm is a form of servers.
type momentForm struct {
	name string
	// http10 has the servers respond in HTTP/1.0, mixed has them send each other response without length or chunks, and
	// completeAtClose the fronts take the end of a connection for that of a response.
	http10, mixed, completeAtClose bool
}

var momentForms = []momentForm{
	{name: "HTTP/1.0", http10: true}, {name: "chunks"}, {name: "mixed", mixed: true}, {name: "complete at close", http10: true, completeAtClose: true},
}

// faults returns those of servers with the form.
func (f *momentForm) faults() standin.RoutedFaults {
	out := standin.RoutedFaults{CloseDelimited: f.http10}
	if f.mixed {
		out.CloseDelimitedEach = 2
	}
	return out
}

// momentPoints are the points in the order in which a stream passes them that is taken up early.
var momentPoints = []standin.Point{
	standin.PointHead, standin.PointFirst, standin.PointResume, standin.PointInside, standin.PointBetween, standin.PointLast, standin.PointRest,
}

// momentPlainPoints are those that a call without events passes.
var momentPlainPoints = []standin.Point{standin.PointHead, standin.PointBody}

// momentKind is a kind of call.
type momentKind string

const (
	momentStreams    momentKind = "streams"
	momentResumable  momentKind = "resumable streams"
	momentOnce       momentKind = "calls once"
	momentRepeatable momentKind = "repeatable calls"
)

// momentKinds are the kinds of the calls that stop, by how often they are drawn.
var momentKinds = []momentKind{momentResumable, momentResumable, momentResumable, momentStreams, momentOnce, momentRepeatable}

func (k momentKind) plain() bool { return k == momentOnce || k == momentRepeatable }

// repeatable reports whether calls may run more than once.
func (k momentKind) repeatable() bool { return k == momentResumable || k == momentRepeatable }

// points returns the points that calls pass; a stream that is not resumable is not taken up.
func (k momentKind) points() []standin.Point {
	switch {
	case k.plain():
		return momentPlainPoints
	case k == momentStreams:
		return []standin.Point{standin.PointHead, standin.PointFirst, standin.PointInside, standin.PointBetween, standin.PointLast}
	}
	return momentPoints
}

// momentLate are the pairs in which a stream is taken up after the first point.
var momentLate = [][2]standin.Point{{standin.PointInside, standin.PointResume}, {standin.PointBetween, standin.PointResume}}

// momentPlay is a pair of events, each at a point of a stream, and the form in which it is played.
type momentPlay struct {
	pair   [2]momentEvent
	points [2]standin.Point
	form   momentForm
	// kind is that of the calls that stop.
	kind momentKind
	// versions has servers of two versions, lasting the second event happen
	// while the effect of the first one lasts, and relist a server that takes an address have a record.
	versions, lasting, relist bool
	// hold is how long an effect lasts at least.
	hold time.Duration
	// back has callers take their streams up at the same front first, and pause is how long they wait before.
	back  bool
	pause time.Duration
}

// momentResult is what happened in a play.
type momentResult struct {
	// reasons are why the events could not happen; empty if they did.
	reasons [2]string
	// same is set if both happened at points of one stream.
	same bool
}

func (m *momentPlay) events() []momentEvent { return m.pair[:] }

func (m *momentPlay) needs(what func(momentEvent) bool) bool {
	return what(m.pair[0]) || what(m.pair[1])
}

func (m *momentPlay) hasPoint(point standin.Point) bool { return slices.Contains(m.points[:], point) }

// cut returns the event behind which streams break off that are to be taken up.
func (m *momentPlay) cut() int {
	if slices.Contains(momentLate, m.points) {
		return momentLateCut
	}
	return momentCut
}

func (m *momentPlay) name() string {
	words := []string{fmt.Sprintf("%s at %s, then %s at %s", m.pair[0].name, m.points[0], m.pair[1].name, m.points[1]), m.form.name}
	add := func(set bool, yes, no string) {
		if set {
			words = append(words, yes)
		} else if no != "" {
			words = append(words, no)
		}
	}
	add(m.versions, "two versions", "one version")
	words = append(words, string(m.kind))
	add(m.lasting, "while it lasts", "")
	add(m.relist && m.needs(func(e momentEvent) bool { return e.spare != nil && !e.writes }), "record replaced", "")
	words = append(words, m.hold.String())
	add(m.back, "back at the same front", "")
	add(m.pause > 0, "back after "+m.pause.String(), "")
	return strings.Join(words, ", ")
}

// momentReasons are the reasons why a play can't be played or judged.
var momentReasons = []struct {
	reason  string
	applies func(m *momentPlay, first, second momentEvent) bool
}{
	{"the store takes no record", func(m *momentPlay, first, second momentEvent) bool {
		return first.takesNone && second.writes && (m.lasting || !first.lasts)
	}},
	{"a process that is frozen has no turns", func(m *momentPlay, first, second momentEvent) bool {
		return m.lasting && first.at == second.at && (first.freezes && second.starves || first.starves && second.freezes)
	}},
	{"the first event has ended the process of the second one", func(m *momentPlay, first, second momentEvent) bool {
		return (m.points[0] == m.points[1] || first.ends == momentStore) && first.ends != "" && first.ends == second.at && (!first.endsLate || !m.lasting)
	}},
	{"the caller of a stream that is not resumable does not take it up", func(m *momentPlay, first, second momentEvent) bool {
		return m.kind != momentResumable && (first.resumable || second.resumable)
	}},
	{"completed at a close, nothing tells a close by a living server or a path from the end", func(m *momentPlay, first, second momentEvent) bool {
		return m.form.completeAtClose && (first.closes || second.closes)
	}},
	{"the first event has no effect that lasts", func(m *momentPlay, first, _ momentEvent) bool { return m.lasting && !first.lasts }},
}

// unplayable returns why a play can't be played or judged; empty if it can.
func (m *momentPlay) unplayable() string {
	for _, one := range momentReasons {
		if one.applies(m, m.pair[0], m.pair[1]) {
			return one.reason
		}
	}
	return ""
}

// untold returns what nothing tells in the play; empty if there is nothing.
func (m *momentPlay) untold() string {
	if m.form.completeAtClose {
		return m.pair[0].untold + m.pair[1].untold
	}
	if m.form.http10 || m.form.mixed {
		for i, event := range m.pair {
			switch {
			case m.points[i] == standin.PointInside && event.untoldInside != "":
				return event.untoldInside
			case m.points[i] == standin.PointBody && event.odd:
				return "in a body that only its connection ends, nothing tells bytes that are none of it"
			}
		}
	}
	return ""
}

// momentHolds are how long effects last at least; the longest one is more than fronts wait for each other.
var momentHolds = []time.Duration{
	0, 0, 50 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, time.Second, 2500 * time.Millisecond,
}

// momentPauses are how long callers wait before they take streams up.
var momentPauses = []time.Duration{0, 0, 0, 10 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}

// momentDraw is a play that was drawn, by its number, or why the pair has none.
type momentDraw struct {
	number int
	play   momentPlay
	reason string
	// again are the reasons why its points or its form were drawn again.
	again []string
}

// drawMoments draws plays whose names match a pattern, from a seed: each pair of events once before any is drawn again, with
// points and a form in which it can be played. It also returns how often these were drawn again, by the reason.
func drawMoments(seed int64, count int, pattern *regexp.Regexp, all bool) (plays []momentDraw, again map[string]int) {
	pairs := len(momentEvents()) * len(momentEvents())
	order := rand.New(rand.NewPCG(uint64(seed), 0)).Perm(pairs)
	again = map[string]int{}
	for number := 0; len(plays) < count && number < momentRounds*pairs; number++ {
		d := drawMoment(seed, number, order, all)
		if pattern.MatchString(d.play.name()) {
			plays = append(plays, d)
			for _, reason := range d.again {
				again[reason]++
			}
		}
	}
	return plays, again
}

// drawMoment draws the play with a number.
func drawMoment(seed int64, number int, order []int, all bool) momentDraw {
	events, rng := momentEvents(), rand.New(rand.NewPCG(uint64(seed), uint64(number)+1))
	i := order[number%len(order)]
	d := momentDraw{number: number, play: momentPlay{pair: [2]momentEvent{events[i/len(events)], events[i%len(events)]}}}
	for range momentDraws {
		d.play.draw(rng)
		d.reason = d.play.unplayable()
		if d.reason == "" && !all {
			d.reason = d.play.untold()
		}
		if d.reason == "" {
			d.play.takeUpLate(rng)
			d.play.drawReturn(rng)
			return d
		}
		d.again = append(d.again, d.reason)
	}
	return d
}

// draw draws the kind of call, the points and the form.
func (m *momentPlay) draw(rng *rand.Rand) {
	m.kind = momentKinds[rng.IntN(len(momentKinds))]
	points := m.kind.points()
	first, second := rng.IntN(len(points)), rng.IntN(len(points))
	m.points = [2]standin.Point{points[min(first, second)], points[max(first, second)]}
	m.form = momentForms[rng.IntN(len(momentForms))]
	m.versions, m.lasting, m.relist = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	m.hold = momentHolds[rng.IntN(len(momentHolds))]
}

// TestMomentDrawsEachPair guards against pairs of events that are never played, or counted as another one.
func TestMomentDrawsEachPair(t *testing.T) {
	names := map[string]bool{}
	for _, event := range momentEvents() {
		if names[event.name] {
			t.Errorf("two events are called %q", event.name)
		}
		names[event.name] = true
	}
	pairs := len(names) * len(names)
	plays, _ := drawMoments(1, pairs, regexp.MustCompile(""), false)
	drawn := map[string]bool{}
	for _, d := range plays {
		first, second := d.play.pair[0], d.play.pair[1]
		drawn[first.name+", "+second.name] = true
		never := first.ends == momentStore && (second.writes || second.at == momentStore)
		if never != (d.reason != "") {
			t.Errorf("%s, then %s: %q", first.name, second.name, d.reason)
		}
	}
	if len(drawn) != pairs {
		t.Errorf("%d of %d pairs were drawn", len(drawn), pairs)
	}
}

// takeUpLate has the stream stop before it is taken up in half of the plays in which it can.
func (m *momentPlay) takeUpLate(rng *rand.Rand) {
	late := [2]standin.Point{m.points[1], m.points[0]}
	if slices.Contains(momentLate, late) && rng.IntN(2) == 0 {
		m.points = late
	}
}

// drawReturn draws where and when callers take streams up.
func (m *momentPlay) drawReturn(rng *rand.Rand) {
	m.back, m.pause = rng.IntN(3) == 0, momentPauses[rng.IntN(len(momentPauses))]
}
