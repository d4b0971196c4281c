package forward

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestRestOfReplacedServerIsNotJoined guards against a stream that goes on with what another server at the address of the one
// that ended it sends.
func TestRestOfReplacedServerIsNotJoined(t *testing.T) {
	whole, rest := event(1)+event(2), reply{body: event(3)}
	named := reply{body: whole, closeDelimited: true, named: true}
	for _, c := range []struct {
		name     string
		servers  int
		replies  []reply
		replaced bool
		body     string
		sends    int
	}{
		{"itself", 3, []reply{delimited(whole), rest}, false, whole + event(3), 2},
		{"another one, which does not name itself", 1, []reply{delimited(whole), rest}, true, whole, 1},
		{"another one, and a second server", 3, []reply{delimited(whole), rest}, true, whole + event(3), 2},
		{"itself, named", 3, []reply{named, {body: event(3), named: true}}, true, whole + event(3), 2},
		{"another one, which names itself", 1, []reply{named, taken}, false, whole, 2},
		{"another one, which does not name itself in the place of one that does", 1, []reply{named, rest}, false, whole, 2},
		{"the same, and a second server", 3, []reply{named, rest, rest}, false, whole + event(3), 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: c.replies, replaced: c.replaced}
				f := newForwarder(t, s, io.Discard)
				f.Dispatcher.SetServers(threeServers("s")[:c.servers])
				_, body, err := serve(t.Context(), f, "resumable")
				is.Equal(body, c.body)
				is.Equal(errors.Is(err, errUnproven), body == whole) // the response must not look complete
				is.Equal(len(s.sends), c.sends)
				is.True(idle(f))
			})
		})
	}
}
