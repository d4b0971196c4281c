package forward

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestServersLimit takes a server's limit from any answer of its own: one that it gave, a
// failure, and its word that it did not run the call. What can't be read leaves the limit as
// it was and is logged, and the answer of another server at its address says nothing of it.
func TestServersLimit(t *testing.T) {
	limit := runworks.RateLimit{Named: true, PerSecond: 2}
	two := runworks.ServerReport{Limit: &limit}
	unreadable := errors.New("no number")
	for _, c := range []struct {
		name    string
		replies []reply
		limited bool
		logged  bool
	}{
		{"a whole answer", []reply{{body: "good", word: two}}, true, false},
		{"a failure", []reply{{status: http.StatusInternalServerError, word: two}}, true, false},
		{"not run", []reply{{status: http.StatusServiceUnavailable, notRun: true, word: two}, good}, true, false},
		{"none", []reply{good}, false, false},
		{"unreadable", []reply{{body: "good", wordErr: unreadable}}, false, true},
		{"another server's", []reply{{status: http.StatusMisdirectedRequest, gone: true, word: two}, good}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				s := &sender{replies: c.replies}
				f := newForwarder(t, s, &out)
				_, _, err := serve(context.Background(), f, "once")
				is.NoErr(err)
				limited := 0
				for _, one := range f.Dispatcher.ServerStatuses() {
					if one.Limit == limit {
						is.Equal(one.ID, s.sends[0].To.ID)
						limited++
					}
				}
				is.Equal(limited == 1, c.limited)
				is.Equal(strings.Contains(out.String(), "what a backend server says of itself can't be read"), c.logged)
			})
		})
	}
}
