package tests

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// TestMomentPointsAreReached guards against points that streams of a form never reach, so that nothing is played there.
func TestMomentPointsAreReached(t *testing.T) {
	events := momentEvents()
	i := slices.IndexFunc(events, func(e momentEvent) bool { return e.name == "the other front reloads its settings" })
	pairs := append(slices.Clone(momentLate), [2]standin.Point{standin.PointResume, standin.PointRest})
	for _, points := range pairs {
		for _, form := range momentForms {
			play := momentPlay{pair: [2]momentEvent{events[i], events[i]}, points: points, form: form, kind: momentResumable}
			t.Run(play.name(), func(t *testing.T) {
				t.Parallel()
				p := newMomentSite(t, play)
				result := p.run()
				for _, f := range checkMoment(p.streams, p.ran()) {
					t.Errorf("%s: %s: %s", f.rule, f.kind, f.text)
				}
				if result.reasons != [2]string{} || !result.same {
					t.Errorf("events did not happen at points of one stream: %+v", result)
				}
			})
		}
	}
}

// TestMomentSitesAreApart guards against faults that are none: a process of another play that has the address of one that ended
// takes this play's calls.
func TestMomentSitesAreApart(t *testing.T) {
	play := momentPlay{pair: [2]momentEvent{momentEvents()[0], momentEvents()[0]}, form: momentForms[1], kind: momentResumable}
	p, other := newMomentSite(t, play), newMomentSite(t, play)
	check := func(n int, what string) {
		p.streams = append(p.streams, p.newStream(n, momentLength, momentResumable))
		p.streams[n].send(0)
		for _, f := range checkMoment(p.streams, p.ran()) {
			t.Errorf("%s: %s: %s: %s", what, f.rule, f.kind, f.text)
		}
	}
	p.callers["front-1"].setTarget(other.fronts["front-1"].address("callers"))
	check(0, "front")
	for i, s := range p.servers {
		s.path.setTarget(other.servers[i].address("standin"))
		s.path.set(proxyResets)
		s.path.set(proxyForwards)
	}
	check(1, "servers")
}

// TestMomentActsByItsNumber guards against an effect that ends as that of the other event where both meet one moment.
func TestMomentActsByItsNumber(t *testing.T) {
	is := is.New(t)
	ended := [2]int{-1, -1}
	event := func(n int) momentEvent {
		return momentEvent{act: func(_ *momentSite, m *moment) (func(), string) {
			return func() { ended[n] = m.event }, ""
		}}
	}
	p := &momentSite{platformSite: &platformSite{site: &site{t: t}}, play: momentPlay{pair: [2]momentEvent{event(0), event(1)}}}
	m := &moment{stream: &momentStream{}, server: &momentServer{process: &process{}}}
	first, _ := p.act(0, m)
	second, _ := p.act(1, m)
	second()
	first()
	is.Equal(ended, [2]int{0, 1})
}
