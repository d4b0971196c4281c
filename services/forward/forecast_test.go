package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/enginemodel"
)

// TestForecastIsLogged guards against forecasts whose error can't be seen: the line at the end of a
// call has the forecast and the outcome, and the metric counts the difference. Without a forecast
// there is none of either.
func TestForecastIsLogged(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(map[bool]string{true: "known", false: "unknown"}[known], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				f := newForwarder(t, &sender{replies: []reply{restOfStream}}, &out)
				f.Dispatcher.ForecastByEngine = true
				if known {
					for _, s := range threeServers("s") {
						f.Dispatcher.ApplyEngineEstimates([]enginemodel.Estimate{{Server: s.ID, GapMs: 20, PerTokenUs: 10, OverheadMs: 50, Samples: 40}})
					}
				}
				res, err := f.Serve(context.Background(), &runworks.Inbound{
					ID: "1", Method: http.MethodPost, Host: "h", Path: "/stream/x", Target: "/stream/x", Received: time.Now(), PromptTokens: 1000,
				})
				is.NoErr(err)
				_, err = io.ReadAll(res.Body)
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				is.True(strings.Contains(out.String(), `"first_event_ms":0`))
				is.Equal(strings.Contains(out.String(), `"forecast_ms":60`), known)
				is.Equal(strings.Contains(out.String(), `"forecast_ms"`), known)
				w := httptest.NewRecorder()
				f.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
				is.Equal(strings.Contains(w.Body.String(), `runworks_forecast_error_seconds_count{rank="0"} 1`), known)
			})
		})
	}
}
