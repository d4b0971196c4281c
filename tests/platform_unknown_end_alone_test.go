package tests

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// TestPlatformResponseOfOnlyServerIsWhole guards against a whole response that is lost because its server, the
// only one, is asked too briefly whether it has ended it.
func TestPlatformResponseOfOnlyServerIsWhole(t *testing.T) {
	p := newCloseDelimitedSite(t, map[string]time.Duration{"app-1": time.Millisecond, "llm-1": time.Millisecond})
	for _, server := range p.backends {
		p.setFaults(server, standin.RoutedFaults{CloseDelimited: true, StatusWaitMs: 800})
	}
	for _, one := range []platformCall{
		{id: "stream", method: http.MethodPost, target: "/chat/1?events=20", key: "yard-key"},
		{id: "resumable", method: http.MethodPost, target: resumableTarget, key: "yard-key"},
		{id: "unsafe", method: http.MethodPost, target: "/once/1", key: "yard-key"},
		{id: "safe", method: http.MethodGet, target: "/safe/1", key: "yard-key"},
	} {
		t.Run(one.id, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			res, err := p.begin(one)
			is.NoErr(err)
			data, err := io.ReadAll(res.Body)
			t.Logf("%d, %d bytes, %v after %v", res.StatusCode, len(data), err, time.Since(began))
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusOK)
		})
	}
}
