package tests

import (
	"slices"
	"testing"

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
