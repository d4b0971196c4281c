package runs

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/propagation"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/agent"
	"github.com/runworks/runworks/services/control"
)

// MaxBodyBytes limits the request body of a run.
const MaxBodyBytes = 16 << 20

// Routes serves the agent's HTTP routes for entries.
type Routes struct {
	Agent *agent.Agent
	// Keys are the accepted fleet keys; requests without one are rejected with status 401.
	Keys rpc.FleetKeys
}

// Handler returns the handler of all routes.
func (rt *Routes) Handler() http.Handler {
	router := httprouter.New()
	router.GET(rpc.Path, rt.control)
	router.POST("/run/:id", rt.start)
	router.GET("/run/:id", rt.fetch)
	router.DELETE("/run/:id", rt.cancel)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !rt.Keys.Accept(r) {
			http.Error(w, "the fleet key is missing or wrong", http.StatusUnauthorized)
			return
		}
		router.ServeHTTP(w, r)
	})
}

func (rt *Routes) control(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	stream, err := rpc.Accept(w, r)
	if err != nil {
		return
	}
	rt.Agent.ServeControl(r.Context(), stream)
}

// start starts the run of a granted request and streams its response.
func (rt *Routes) start(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	order, err := readRunRequest(w, r, params)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := tracing.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	if err := rt.Agent.StartRun(ctx, order); err != nil {
		writeRefusal(w, err)
		return
	}
	rt.stream(w, r, order.ID, order.Incarnation, 0)
}

// readRunRequest reads the whole body before the run starts, so that a truncated body never starts
// a run.
func readRunRequest(w http.ResponseWriter, r *http.Request, params httprouter.Params) (*agent.RunRequest, error) {
	o := &agent.RunRequest{
		ID:          runworks.RequestID(params.ByName("id")),
		Incarnation: runworks.Incarnation(r.Header.Get(control.HeaderIncarnation)),
		KeepRunning: r.Header.Get(control.HeaderRetain) != "",
	}
	if err := json.Unmarshal([]byte(r.Header.Get(control.HeaderCall)), &o.Call); err != nil {
		return nil, err
	}
	left, err := time.ParseDuration(r.Header.Get(control.HeaderRemaining))
	if err != nil {
		return nil, err
	}
	o.Timeout = left
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	o.Call.Body = body
	return o, nil
}

func (rt *Routes) fetch(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	from := int64(0)
	if text := r.URL.Query().Get("from"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			http.Error(w, "from is not an offset in bytes", http.StatusBadRequest)
			return
		}
		from = n
	}
	incarnation := runworks.Incarnation(r.Header.Get(control.HeaderIncarnation))
	rt.stream(w, r, runworks.RequestID(params.ByName("id")), incarnation, from)
}

func (rt *Routes) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if runworks.Incarnation(r.Header.Get(control.HeaderIncarnation)) != rt.Agent.Incarnation() {
		writeRefusal(w, &agent.RefusalError{State: control.StateUnknown})
		return
	}
	rt.Agent.Cancel(runworks.RequestID(params.ByName("id")))
	w.WriteHeader(http.StatusNoContent)
}

// stream writes the response of a run from an offset in bytes. A complete stream ends with the
// outcome in a trailer; an aborted one has no trailer.
func (rt *Routes) stream(w http.ResponseWriter, r *http.Request, id runworks.RequestID, incarnation runworks.Incarnation, from int64) {
	reader, err := rt.Agent.Open(id, incarnation)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	defer reader.Close()
	head, err := reader.Head(r.Context())
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if err := reader.CheckOffset(from); err != nil {
		writeRefusal(w, err)
		return
	}
	encoded, err := json.Marshal(head)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(control.HeaderReply, string(encoded))
	w.Header().Set("Trailer", control.HeaderRunOutcome)
	w.WriteHeader(http.StatusOK)
	copyRun(w, r, reader, from)
}

func copyRun(w http.ResponseWriter, r *http.Request, reader *agent.Reader, from int64) {
	flush := http.NewResponseController(w)
	for {
		_ = flush.Flush()
		p, end, err := reader.Next(r.Context(), from)
		if end {
			w.Header().Set(control.HeaderRunOutcome, string(outcomeOf(err)))
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(p); err != nil {
			return
		}
		from += int64(len(p))
	}
}

func outcomeOf(err error) runworks.Outcome {
	if err != nil {
		return runworks.OutcomeFailed
	}
	return runworks.OutcomeDone
}

// writeRefusal writes the error response for a request without a stream, with the state of the run
// if the agent refused it.
func writeRefusal(w http.ResponseWriter, err error) {
	var refusal *agent.RefusalError
	if errors.As(err, &refusal) {
		w.Header().Set(control.HeaderRunOutcome, string(refusal.State))
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	http.Error(w, err.Error(), http.StatusBadGateway)
}
