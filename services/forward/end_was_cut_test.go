package forward

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestContinuedStreamIsNotAssumedWhole guards against a stream that looks complete though another server had to continue it,
// and nobody can be asked for the rest of that: what cut it inside an event, or with a reset, may have cut it again.
func TestContinuedStreamIsNotAssumedWhole(t *testing.T) {
	begin := event(1) + event(2)
	for name, first := range map[string]reply{
		"closed inside an event": delimited(begin + "id: 3\nda"),
		"reset inside an event":  {body: begin + "id: 3\nda", broken: errReset},
		"reset between events":   {body: begin, broken: errReset},
	} {
		for _, retries := range []float64{1, 100} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &sender{replies: []reply{first, delimited(event(3)), {}}}
					f := newCompletingForwarder(t, s, io.Discard)
					f.Budgets = &Budgets{Slack: retries}
					_, body, err := serve(t.Context(), f, "resumable")
					is.Equal(body, begin+event(3))
					is.Equal(err == nil, retries > 1) // the rest is asked for
					result := map[bool]string{true: endProven, false: endBroken}[retries > 1]
					is.Equal(counted(t, f), map[string]int{result: 1})
					is.True(idle(f))
				})
			})
		}
	}
}

// TestCutStreamWithoutItsRestIsNotAssumedWhole guards against a stream that looks complete though a rest of it has come, as
// the next rest that is asked for breaks or continues nothing.
func TestCutStreamWithoutItsRestIsNotAssumedWhole(t *testing.T) {
	begin := event(1) + event(2)
	for name, rest := range map[string]reply{
		"reset": {broken: errReset}, "without IDs": delimited("data: 4\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: []reply{delimited(begin), delimited(event(3)), rest, rest, rest}}
				f := newCompletingForwarder(t, s, io.Discard)
				f.Budgets = &Budgets{Slack: 100}
				_, body, err := serve(t.Context(), f, "resumable")
				is.Equal(body, begin+event(3))
				is.True(err != nil)
				is.Equal(counted(t, f), map[string]int{endBroken: 1})
				is.True(idle(f))
			})
		})
	}
}
