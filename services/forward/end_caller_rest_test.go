package forward

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// serveResumed sends a call that resumes its stream after the second event and reads the whole response.
func serveResumed(t *testing.T, f *Forwarder) (string, error) {
	t.Helper()
	in := &runworks.Inbound{ID: "2", Method: http.MethodPost, Host: "h", Path: "/resumable/x", Target: "/resumable/x", Received: time.Now(), LastEventID: "2", Resumes: "1"}
	res, err := f.Serve(t.Context(), in)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// TestEmptyRestOfCallerIsAskedForOnce guards against the end of a whole stream that its caller resumed and that is lost, or
// comes after the time for the rest, as the request for the rest of the rest begins again; and against one that is proven
// and not counted so.
func TestEmptyRestOfCallerIsAskedForOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []reply
		sends   int
		result  string
	}{
		{"framed", []reply{delimited(""), {}}, 2, endProven},
		{"of another server", []reply{delimited(""), rejected, delimited(""), {hang: true}}, 3, endAssumed},
		{"late, of another server", []reply{delimited(""), rejected, {closeDelimited: true, pause: 700 * time.Millisecond}, {hang: true}}, 3, endAssumed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: c.replies}
				var out bytes.Buffer
				f := newCompletingForwarder(t, s, &out)
				began := time.Now()
				body, err := serveResumed(t, f)
				is.NoErr(err)
				is.Equal(body, "")
				is.True(time.Since(began) <= restTimeout)
				is.Equal(len(s.sends), c.sends)
				is.Equal(counted(t, f), map[string]int{c.result: 1})
				is.Equal(strings.Contains(out.String(), `"end_proof":"rest"`), c.result == endProven)
				is.True(idle(f))
			})
		})
	}
}
