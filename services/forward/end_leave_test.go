package forward

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestServerThatLeavesWhileAskedIsNoProof guards against a response that looks complete though its server begins to leave right
// behind its end.
func TestServerThatLeavesWhileAskedIsNoProof(t *testing.T) {
	for _, name := range []string{"stream", "once"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			first := delimited(event(1))
			s := &sender{}
			f := newCompletingForwarder(t, s, io.Discard)
			first.asked = func() { f.Dispatcher.SetServers(nil) }
			s.replies = []reply{first}
			_, _, err := serve(t.Context(), f, name)
			is.True(err != nil)
			is.Equal(counted(t, f), map[string]int{endBroken: 1})
		})
	}
}
