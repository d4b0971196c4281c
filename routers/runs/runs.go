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

// MaxBodyBytes bounds the body of a run.
const MaxBodyBytes = 16 << 20

// Routes are the agent's routes for entries.
type Routes struct {
	Agent *agent.Agent
	// Keys are the fleet keys; a request without one gets 401.
	Keys rpc.FleetKeys
}

// Handler builds the handler.
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

// start runs a granted request and streams its answer.
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

// readRunRequest reads the whole body before the request may start, so that a body
// that is cut short starts nothing.
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

// stream writes a run's answer from an offset on. A whole stream ends with the
// trailer of its outcome; one that breaks has none.
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

// writeRefusal tells the entry that there is no stream, and why.
func writeRefusal(w http.ResponseWriter, err error) {
	var refusal *agent.RefusalError
	if errors.As(err, &refusal) {
		w.Header().Set(control.HeaderRunOutcome, string(refusal.State))
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	http.Error(w, err.Error(), http.StatusBadGateway)
}
