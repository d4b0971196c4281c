package callers

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/julienschmidt/httprouter"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/admission"
)

const (
	// bytesPerToken is used to estimate the tokens of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens is the estimate for a response if the request sets no limit.
	defaultMaxTokens = 256
)

// completion holds the fields of a completions request that runworks reads; the body is forwarded
// unchanged.
type completion struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// completions serves a call of the completions API.
func (rt *Routes) completions(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, span := rt.startSpan(r)
	defer span.End()
	body, err := rt.readBody(w, r)
	if err != nil {
		writeFailure(w, "", err)
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		writeFailure(w, "", badRequest("the body is not JSON of the completions interface: %v", err))
		return
	}
	req, err := newRequest(r)
	if err != nil {
		writeFailure(w, "", err)
		return
	}
	req.Model = c.Model
	req.PromptTokens = len(body) / bytesPerToken
	req.MaxTokens = completionTokens(&c)
	req.Call = runworks.Call{Method: http.MethodPost, Path: r.URL.Path, Header: engineHeader(r), Body: body}
	rt.serve(ctx, w, req)
}

func completionTokens(c *completion) int {
	if n := max(c.MaxTokens, c.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultMaxTokens
}

// engineHeader returns the header for an engine: only what the completions API defines.
func engineHeader(r *http.Request) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept"} {
		if value := r.Header.Get(name); value != "" {
			out.Set(name, value)
		}
	}
	return out
}

// newRequest returns an admission request with the fields that every call may set in its header.
func newRequest(r *http.Request) (*admission.Request, error) {
	req := &admission.Request{
		Key:            bearer(r),
		Kind:           r.Header.Get(runworks.HeaderKind),
		Tier:           r.Header.Get(runworks.HeaderTier),
		IdempotencyKey: r.Header.Get(runworks.HeaderIdempotencyKey),
	}
	text := r.Header.Get(runworks.HeaderTimeout)
	if text == "" {
		return req, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return nil, badRequest("%s: %q is not a time such as 30s", runworks.HeaderTimeout, text)
	}
	req.Timeout = timeout
	return req, nil
}

func bearer(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

func badRequest(format string, args ...any) error {
	return runworks.NotRun(errorx.Decorate(runworks.ErrBadRequest, format, args...), 0)
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller may use.
func (rt *Routes) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	active, customer, err := rt.Admission.Customer(bearer(r))
	if err != nil {
		writeFailure(w, "", err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for i := range active.Config.Services {
		s := &active.Config.Services[i]
		if !active.Allows(customer.Name, s.Name) {
			continue
		}
		for _, name := range s.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: s.Name})
		}
	}
	writeJSON(w, http.StatusOK, list)
}
