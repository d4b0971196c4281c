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

// TestServerRateLimit checks that a server's rate limit is taken from any response of its own: a
// success, a failure, or a rejection. An invalid report leaves the limit as it was and is logged,
// and the response of another server at the same address does not count.
func TestServerRateLimit(t *testing.T) {
	limit := runworks.RateLimit{Named: true, PerSecond: 2}
	two := runworks.ServerReport{Limit: &limit}
	unreadable := errors.New("no number")
	for _, c := range []struct {
		name    string
		replies []reply
		limited bool
		logged  bool
	}{
		{"a whole answer", []reply{{body: "good", report: two}}, true, false},
		{"a failure", []reply{{status: http.StatusInternalServerError, report: two}}, true, false},
		{"not run", []reply{{status: http.StatusServiceUnavailable, notRun: true, report: two}, good}, true, false},
		{"none", []reply{good}, false, false},
		{"unreadable", []reply{{body: "good", reportErr: unreadable}}, false, true},
		{"another server's", []reply{{status: http.StatusMisdirectedRequest, notRun: true, addressReused: true, report: two}, good}, false, false},
		{"another server's, not run", []reply{{status: http.StatusServiceUnavailable, notRun: true, addressReused: true, report: two}, good}, false, false},
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
				is.Equal(strings.Contains(out.String(), "invalid server report"), c.logged)
			})
		})
	}
}
