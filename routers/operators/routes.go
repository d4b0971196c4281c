package operators

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/runworks/runworks/modules/metrics"
)

// Routes are the operators' routes of one process.
type Routes struct {
	// Ready gives nil when the process takes work.
	Ready func() error
	// Status gives what GET /status shows, as JSON.
	Status  func() any
	Metrics *metrics.Set
}

// Handler builds the handler.
func (rt *Routes) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/livez", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeText(w, http.StatusOK, "ok") })
	router.GET("/readyz", rt.readyz)
	router.GET("/status", rt.status)
	router.Handler(http.MethodGet, "/metrics", rt.Metrics.Handler())
	return router
}

func (rt *Routes) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := rt.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ok")
}

func (rt *Routes) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rt.Status())
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
