package forward

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestEmptyRestOfCutStreamIsNotAssumedWhole guards against a stream that looks complete, in a service that is completed at a
// close, though a rest of it has come before: what cut it may have cut the next rest before its first event.
func TestEmptyRestOfCutStreamIsNotAssumedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{delimited(event(1)), delimited(event(2)), delimited("")}}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		_, body, err := serve(t.Context(), f, "resumable")
		is.Equal(body, event(1)+event(2))
		is.True(err != nil) // an empty rest without a length shows nothing
	})
}
