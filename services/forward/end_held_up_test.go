package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUnprovenEndIsNotHeldUp guards against a stream whose end reaches its caller seconds after its last event, or after the
// stop of its front, as a server that was asked for the rest in vain is followed by one that is waited for without bound.
func TestUnprovenEndIsNotHeldUp(t *testing.T) {
	for name, stops := range map[string]bool{"runs on": false, "stops": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := delimited(event(1))
				first.pause = time.Second
				f := newForwarder(t, &sender{replies: []reply{first, {hang: true}}}, io.Discard)
				began, limit := time.Now(), time.Second+restTimeout
				if stops {
					limit = 1300 * time.Millisecond
					time.AfterFunc(time.Second/2, func() { f.StopAt(began.Add(limit)) })
				}
				_, body, _ := serve(t.Context(), f, "resumable")
				is.Equal(body, event(1))
				is.True(time.Since(began) <= limit)
			})
		})
	}
}
