package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCutRestOfSameServerIsAskedForElsewhere guards against a cut stream that looks complete because the path to its server
// also cut the response to the request for its rest, though another server could go on.
func TestCutRestOfSameServerIsAskedForElsewhere(t *testing.T) {
	whole := event(1) + event(2)
	for _, c := range []struct {
		name   string
		rests  []reply
		body   string
		result string
	}{
		{"events elsewhere", []reply{{body: event(3)}}, whole + event(3), ""},
		{"events elsewhere, then nothing", []reply{delimited(event(3)), {}}, whole + event(3), endProven},
		{"nothing elsewhere", []reply{{}}, whole, endProven},
		{"nothing elsewhere, without length", []reply{delimited("")}, whole, endAssumed},
		{"rejected elsewhere", []reply{rejected}, whole, endAssumed},
		{"silent elsewhere", []reply{{hang: true}}, whole, endAssumed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: append([]reply{delimited(whole), delimited("")}, c.rests...)}
				f := newCompletingForwarder(t, s, io.Discard)
				began := time.Now()
				_, body, err := serve(t.Context(), f, "resumable")
				is.NoErr(err)
				is.True(time.Since(began) <= restTimeout)
				is.Equal(body, c.body)
				is.Equal(len(s.sends), 2+len(c.rests))
				is.Equal(s.sends[1].To.ID, s.sends[0].To.ID)
				is.True(s.sends[2].To.ID != s.sends[0].To.ID)
				want := map[string]int{}
				if c.result != "" {
					want[c.result] = 1
				}
				is.Equal(counted(t, f), want)
				is.True(idle(f))
			})
		})
	}
}
