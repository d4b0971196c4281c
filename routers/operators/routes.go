package operators

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/runworks/runworks/modules/metrics"
)

// Routes serves the operators' HTTP routes of one process.
type Routes struct {
	// Ready returns nil if the process can take work, or the reason why it cannot.
	Ready func() error
	// Status returns the value that GET /status encodes as JSON.
	Status func() any
	// Release ends the quarantine of a request and reports whether the request was known; nil if
	// the process has no quarantine.
	Release func(fingerprint string) bool
	Metrics *metrics.Set
}

// Handler returns the handler of all routes.
func (rt *Routes) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/livez", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeText(w, http.StatusOK, "ok") })
	router.GET("/readyz", rt.readyz)
	router.GET("/status", rt.status)
	if rt.Release != nil {
		router.DELETE("/quarantine/:fingerprint", rt.release)
	}
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

func (rt *Routes) release(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	if !rt.Release(p.ByName("fingerprint")) {
		writeText(w, http.StatusNotFound, "no server is known to have ended under this request")
		return
	}
	writeText(w, http.StatusOK, "lifted")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
