package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRestEndsBeforeStop guards against a whole stream that the stop of its front cuts, as that still waits for its rest.
func TestRestEndsBeforeStop(t *testing.T) {
	for _, left := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
		for name, rest := range map[string]reply{"no answer": {hang: true}, "no end": {pause: 4 * time.Second}} {
			t.Run(name+" "+left.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					first := delimited(event(1))
					first.pause = time.Second
					f := newCompletingForwarder(t, &sender{replies: []reply{first, rest}}, io.Discard)
					began := time.Now()
					time.AfterFunc(time.Second/2, func() { f.StopAt(began.Add(time.Second + left)) })
					_, body, err := serve(t.Context(), f, "resumable")
					is.NoErr(err)
					is.Equal(body, event(1))
					is.True(time.Since(began) <= time.Second+left)
					is.Equal(counted(t, f)[endAssumed], 1)
				})
			})
		}
	}
}
