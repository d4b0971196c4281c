package operators

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks/modules/metrics"
)

// TestRelease checks the status for a known and for an unknown request, and that the route does not
// exist in a process without a quarantine.
func TestRelease(t *testing.T) {
	is := is.New(t)
	set, err := metrics.New()
	is.NoErr(err)
	known := &Routes{Metrics: set, Release: func(f string) bool { return f == "known" }}
	for _, one := range []struct {
		routes *Routes
		target string
		status int
	}{
		{known, "/quarantine/known", http.StatusOK},
		{known, "/quarantine/other", http.StatusNotFound},
		{&Routes{Metrics: set}, "/quarantine/known", http.StatusNotFound},
	} {
		w := httptest.NewRecorder()
		one.routes.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, one.target, nil))
		is.Equal(w.Code, one.status)
	}
}
