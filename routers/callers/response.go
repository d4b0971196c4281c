package callers

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/eventstream"
	"github.com/runworks/runworks/services/entry"
)

const (
	// bufferedBytes is how much of a response is read before its header is written, so that the
	// failure of a short one is still answered with an error response.
	bufferedBytes   = 1 << 20
	copyBufferBytes = 32 << 10
)

// writeResponse forwards a response to the caller. If it fails after its header was written, the
// connection is aborted, so that the caller cannot take the response for complete.
func writeResponse(w http.ResponseWriter, id runworks.RequestID, res *entry.Response) {
	if eventstream.IsEventStream(http.Header(res.Head.Header)) {
		writeHead(w, res)
		_ = http.NewResponseController(w).Flush()
		abortOnError(w, id, copyEvents(w, res), true)
		return
	}
	first, err := io.ReadAll(io.LimitReader(res, bufferedBytes))
	if err != nil {
		writeFailure(w, id, err)
		return
	}
	writeHead(w, res)
	if _, err := w.Write(first); err != nil {
		return
	}
	_, err = io.Copy(w, res)
	abortOnError(w, id, err, false)
}

func writeHead(w http.ResponseWriter, res *entry.Response) {
	for name, values := range withoutHopHeaders(res.Head.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(res.Head.Status)
}

// copyEvents forwards an event stream and flushes after each read.
func copyEvents(w http.ResponseWriter, body io.Reader) error {
	flush := http.NewResponseController(w)
	p := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(p)
		if n > 0 {
			if _, werr := w.Write(p[:n]); werr != nil {
				return werr
			}
			_ = flush.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// abortOnError aborts the connection if err is not nil. In an event stream it sends an error event
// first.
func abortOnError(w http.ResponseWriter, id runworks.RequestID, err error, events bool) {
	if err == nil {
		return
	}
	if events {
		if data, merr := json.Marshal(errorBody(id, err)); merr == nil {
			_, _ = w.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
			_ = http.NewResponseController(w).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}

// errorReply is the JSON body of an error, as the completions API defines it.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string             `json:"message"`
	Type      string             `json:"type"`
	Code      string             `json:"code"`
	Outcome   runworks.Outcome   `json:"outcome"`
	RequestID runworks.RequestID `json:"request_id,omitempty"`
}

// errorResponse is the status and the error code for a cause.
type errorResponse struct {
	err    error
	status int
	code   string
}

var errorResponses = []errorResponse{
	{runworks.ErrNoKey, http.StatusUnauthorized, "no_key"},
	{runworks.ErrUnknownKey, http.StatusUnauthorized, "unknown_key"},
	{runworks.ErrUnknownModel, http.StatusNotFound, "unknown_model"},
	{runworks.ErrUnknownService, http.StatusNotFound, "unknown_service"},
	{runworks.ErrNoRule, http.StatusForbidden, "not_allowed"},
	{runworks.ErrLimit, http.StatusTooManyRequests, "customer_limit"},
	{runworks.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
	{runworks.ErrBadRequest, http.StatusBadRequest, "bad_request"},
	{runworks.ErrKeyReused, http.StatusUnprocessableEntity, "key_reused"},
	{runworks.ErrKeySpent, http.StatusConflict, "key_spent"},
	{runworks.ErrAnswerGone, http.StatusConflict, "answer_gone"},
	{runworks.ErrTimeLimit, http.StatusGatewayTimeout, "time_limit"},
	{runworks.ErrShortage, http.StatusServiceUnavailable, "shortage"},
	{runworks.ErrStopping, http.StatusServiceUnavailable, "stopping"},
	{runworks.ErrNotReady, http.StatusServiceUnavailable, "not_ready"},
	{runworks.ErrNotDispatched, http.StatusServiceUnavailable, "out_of_reach"},
	{runworks.ErrOutcomeUnknown, http.StatusBadGateway, "unknown"},
	{runworks.ErrBackend, http.StatusBadGateway, "backend_failed"},
}

// statusOf returns the status and the error code for an error.
func statusOf(err error) (int, string) {
	for _, one := range errorResponses {
		if errors.Is(err, one.err) {
			return one.status, one.code
		}
	}
	return http.StatusBadGateway, "failed"
}

func errorBody(id runworks.RequestID, err error) *errorReply {
	status, code := statusOf(err)
	outcome := runworks.OutcomeUnknown
	var failure *runworks.Failure
	if errors.As(err, &failure) {
		outcome = failure.Outcome
	}
	errorType := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		errorType = "server_error"
	}
	return &errorReply{Error: errorDetail{Message: err.Error(), Type: errorType, Code: code, Outcome: outcome, RequestID: id}}
}

// writeFailure writes the error response of a request.
func writeFailure(w http.ResponseWriter, id runworks.RequestID, err error) {
	status, _ := statusOf(err)
	body := errorBody(id, err)
	w.Header().Set(runworks.HeaderOutcome, string(body.Error.Outcome))
	// Common client libraries retry by default after many errors. This header allows it only if the
	// request did not run and a retry can succeed.
	w.Header().Set("X-Should-Retry", strconv.FormatBool(shouldRetry(err)))
	var failure *runworks.Failure
	if errors.As(err, &failure) {
		if failure.RetryAfter > 0 {
			w.Header().Set("Retry-After", seconds(failure.RetryAfter))
		}
		if failure.IdleAttempt {
			w.Header().Set(runworks.HeaderAttempt, string(runworks.OutcomeNotRun))
		}
	}
	writeJSON(w, status, body)
}

// seconds formats d for Retry-After, rounded up to whole seconds.
func seconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeRouteError(w, http.StatusNotFound, "unknown_path", "no such path: "+r.URL.Path)
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeRouteError(w, http.StatusMethodNotAllowed, "wrong_method", r.Method+" is not for "+r.URL.Path)
}

func writeRouteError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(runworks.HeaderOutcome, string(runworks.OutcomeNotRun))
	writeJSON(w, status, &errorReply{Error: errorDetail{
		Message: message, Type: "invalid_request_error", Code: code, Outcome: runworks.OutcomeNotRun,
	}})
}

// shouldRetry reports whether the caller may send the request again with a chance of success.
func shouldRetry(err error) bool {
	var failure *runworks.Failure
	return errors.As(err, &failure) && failure.Outcome == runworks.OutcomeNotRun && failure.RetryAfter > 0
}
