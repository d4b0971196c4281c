package forward

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestUnprovenEndIsCountedAndNamed guards against ends of responses without length or chunks that are not counted as broken,
// or are counted as assumed though their service is not completed at a close.
func TestUnprovenEndIsCountedAndNamed(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []reply
		result  string
	}{
		{"not found", []reply{delimited(event(1)), {status: http.StatusNotFound}}, endBroken},
		{"reset, empty rest", []reply{{body: event(1), broken: errReset}, delimited("")}, endBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				f := newForwarder(t, &sender{replies: c.replies}, &out)
				setMaxAttempts(f, 4)
				_, _, _ = serve(t.Context(), f, "resumable")
				is.Equal(counted(t, f), map[string]int{c.result: 1})
				is.True(strings.Contains(out.String(), `"close_delimited":true`))
			})
		})
	}
}
